"""HTTP endpoint that Prometheus scrapes."""

from prometheus_client import CONTENT_TYPE_LATEST
from tornado import web

from .event_log import EventLog


class MetricsHandler(web.RequestHandler):
    """GET /metrics."""

    def initialize(self, log: EventLog) -> None:
        """Stores the log passed by the route."""
        self._event_log = log

    def get(self) -> None:
        """Responds with all metrics."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(self._event_log.metrics.expose())
