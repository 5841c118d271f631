"""Tells the platform's balancer whether this entry takes requests."""

from .caller_handler import CallerHandler


class HealthHandler(CallerHandler):
    """GET /healthz: 200 where requests are taken, 503 before the start and while leaving."""

    def prepare(self) -> None:
        """Asks for no key."""

    def get(self) -> None:
        """Answers in one word."""
        ready = self.entry.follower.current is not None and not self.entry.leaving
        self.set_status(200 if ready else 503)
        self.write("ready\n" if ready else "not ready\n")
