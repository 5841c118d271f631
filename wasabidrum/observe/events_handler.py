"""HTTP endpoint that returns the logged events of a request."""

import msgspec
from tornado import web

from .event_log import EventLog


class FoundEvents(msgspec.Struct, frozen=True):
    """The events of a request that one daemon holds in memory.

    Attributes:
      oldest: Time of the oldest event in memory, in seconds since the epoch, or None.
    """

    daemon: str
    oldest: float | None
    events: list[dict[str, object]]


class EventsHandler(web.RequestHandler):
    """GET /internal/events?request=ID."""

    def initialize(self, log: EventLog) -> None:
        """Stores the log passed by the route."""
        self._event_log = log

    def get(self) -> None:
        """Responds with the events of a request and the time of the oldest event in memory."""
        buffer = self._event_log.buffer
        found = buffer.find(self.get_query_argument("request"))
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(FoundEvents(self._event_log.name, buffer.oldest(), found)))
