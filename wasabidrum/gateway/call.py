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
      ends_at: When its caller or its route gives up, by the event loop's clock.
    """

    head: RequestHead
    route: Route
    workspace: str
    body: bytes
    ends_at: float

    @property
    def left(self) -> float:
        """Seconds until the caller or the route gives up."""
        return self.ends_at - asyncio.get_running_loop().time()


class StreamProgress:
    """How far a stream has come, over all attempts.

    Attributes:
      weights: The version that it began with, which must go on with it; zero before.
      last_event: The id of the last event passed on, or that the caller had before.
      events: Events passed on.
      first_event_at: When the first was, by the event loop's clock.
    """

    __slots__ = ("weights", "last_event", "events", "first_event_at")

    def __init__(self, last_event: str) -> None:
        self.weights = 0
        self.last_event = last_event
        self.events = 0
        self.first_event_at = 0.0
