"""The health check by which the platform's load balancer decides whether to send requests."""

from .caller_handler import CallerHandler


class HealthHandler(CallerHandler):
    """Serves GET /healthz: 200 if ready, 503 without a configuration or while shutting down."""

    def prepare(self) -> None:
        """Skips authentication: the health check needs no key."""

    def get(self) -> None:
        """Responds with the readiness."""
        ready = self.entry.follower.current is not None and not self.entry.leaving
        self.set_status(200 if ready else 503)
        self.write("ready\n" if ready else "not ready\n")
