"""HTTP routes for events and metrics, the same for daemons of both roles."""

from .event_log import EventLog
from .events_handler import EventsHandler
from .metrics_handler import MetricsHandler


def make_routes(log: EventLog) -> list[tuple[str, type, dict[str, object]]]:
    """Returns the routes for the port that is internal to the fleet."""
    given = {"log": log}
    return [(r"/internal/events", EventsHandler, given), (r"/metrics", MetricsHandler, given)]
