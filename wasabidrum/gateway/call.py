"""One caller's request while it is worked on, and how far its stream has come."""

import asyncio
import dataclasses

from ..core.request_head import RequestHead
from ..core.route import Route


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request that was let in.

    Attributes:
      workspace: The holder of its key; empty where the route asks for none.
      came_at: When the request came, by the event loop's clock.
      ends_at: When its caller or its route gives up, by the same clock.
    """

    head: RequestHead
    route: Route
    workspace: str
    body: bytes
    came_at: float
    ends_at: float

    @property
    def left(self) -> float:
        """Seconds until the caller or the route gives up."""
        return self.ends_at - asyncio.get_running_loop().time()

    def leaves_in(self, last_event_at: float) -> float:
        """Returns the seconds until its caller leaves unless an event comes.

        Args:
          last_event_at: When the last event was passed on; zero before the first.
        """
        leaves_at = min(self.ends_at, (last_event_at or self.came_at) + self.route.patience)
        return leaves_at - asyncio.get_running_loop().time()


class StreamProgress:
    """How far a stream has come, over all attempts.

    Attributes:
      weights: The version that it began with, which must go on with it; zero before.
      last_event: The id of the last event passed on, or that the caller had before.
      events: Events passed on.
      first_event_at: When the first was, by the event loop's clock.
      last_event_at: When the last was, by the same clock; zero before the first.
    """

    __slots__ = ("weights", "last_event", "events", "first_event_at", "last_event_at")

    def __init__(self, last_event: str) -> None:
        self.weights = 0
        self.last_event = last_event
        self.events = 0
        self.first_event_at = 0.0
        self.last_event_at = 0.0
