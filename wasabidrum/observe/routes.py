"""The paths under which a daemon of either role shows what it logged and counted."""

from .event_log import EventLog
from .events_handler import EventsHandler
from .metrics_handler import MetricsHandler


def make_routes(log: EventLog) -> list[tuple[str, type, dict[str, object]]]:
    """Returns routes for the fleet's own port."""
    given = {"log": log}
    return [(r"/internal/events", EventsHandler, given), (r"/metrics", MetricsHandler, given)]
