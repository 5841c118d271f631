"""Answers operators who ask what became of a request."""

import msgspec
from tornado import web

from .event_log import EventLog


class FoundEvents(msgspec.Struct, frozen=True):
    """What one daemon remembers of a request.

    Attributes:
      oldest: When the daemon's memory begins, in seconds since the epoch, or None.
    """

    daemon: str
    oldest: float | None
    events: list[dict[str, object]]


class EventsHandler(web.RequestHandler):
    """GET /internal/events?request=ID."""

    def initialize(self, log: EventLog) -> None:
        """Takes the log from the route."""
        self._log = log

    def get(self) -> None:
        """Answers with the events of a request, and how far back the memory goes."""
        memory = self._log.memory
        found = memory.find(self.get_query_argument("request"))
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(FoundEvents(self._log.name, memory.oldest(), found)))
