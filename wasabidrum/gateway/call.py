"""A caller's request in progress, and how much of its stream has been relayed."""

import asyncio
import dataclasses

from ..core.request_head import RequestHead
from ..core.request_scope import RequestScope
from ..core.route import Route

# Applies to requests that state no deadline.
DEFAULT_DEADLINE_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An accepted request.

    Attributes:
      scope: Its route and workspace as of when it was accepted.
      arrived_at: When the request arrived, by the event loop's clock.
      deadline: When the caller's deadline or the route's timeout ends, by the same clock.
    """

    head: RequestHead
    scope: RequestScope
    body: bytes
    arrived_at: float
    deadline: float

    @property
    def route(self) -> Route:
        """The route as of when the request was accepted."""
        return self.scope.route

    @property
    def workspace(self) -> str:
        """The workspace that the API key belongs to; empty if the route needs no key."""
        return self.scope.workspace.name if self.scope.workspace else ""

    @property
    def caller_seconds_left(self) -> float:
        """Seconds until the caller gives up, which may be later than the route's timeout."""
        waited = asyncio.get_running_loop().time() - self.arrived_at
        return (self.head.deadline or DEFAULT_DEADLINE_SECONDS) - waited

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    def seconds_until_disconnect(self, last_event_at: float) -> float:
        """Returns in how many seconds the caller will disconnect unless it receives an event.

        Args:
          last_event_at: When the last event was passed on; zero before the first.
        """
        leaves_at = min(self.deadline, (last_event_at or self.arrived_at) + self.route.patience)
        return leaves_at - asyncio.get_running_loop().time()


class StreamProgress:
    """How much of a stream has been relayed to the caller, over all attempts.

    Attributes:
      weights: The version of the weights that produced the first event, which must also produce
        the rest; zero before the first event.
      last_event_id: The id of the last event passed on, or of the last that the caller already
        had when it asked.
      event_count: Events passed on.
      first_event_at: When the first event was passed on, by the event loop's clock.
      last_event_at: When the last event was passed on, by the same clock; zero before the first.
    """

    __slots__ = ("weights", "last_event_id", "event_count", "first_event_at", "last_event_at")

    def __init__(self, last_event_id: str) -> None:
        self.weights = 0
        self.last_event_id = last_event_id
        self.event_count = 0
        self.first_event_at = 0.0
        self.last_event_at = 0.0
