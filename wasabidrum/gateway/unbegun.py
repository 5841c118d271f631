"""Takes back requests that would begin at their engine after the bound on its weights."""

import asyncio
import typing

from .attempt import WEIGHTS_OVERDUE
from .placement import Placed
from .published_state import PublishedState

# Half of what the limit for beginning leaves before the bound goes to this and a busy loop.
LOOK_SECONDS = 0.1


class Unbegun(typing.Protocol):
    """An attempt of which no event has come."""

    @property
    def placed(self) -> Placed:
        """Where it was sent, and on which weights."""

    def take_back(self, reason: str) -> None:
        """Sees to it that the endpoint does not begin it."""


class UnbegunAttempts:
    """The attempts at engines of which no event has come yet.

    What was placed in time may wait for seconds on a link, in a queue, or at an engine that is
    suspended, and begin when other callers have had the new weights for long. An engine knows
    of no bound; a request that is gone from its connection is what it does not begin.
    """

    __slots__ = ("_state", "_attempts")

    def __init__(self, state: PublishedState) -> None:
        self._state = state
        self._attempts: set[Unbegun] = set()

    def __len__(self) -> int:
        return len(self._attempts)

    def add(self, attempt: Unbegun) -> None:
        """Takes an attempt that is about to be sent."""
        self._attempts.add(attempt)

    def discard(self, attempt: Unbegun) -> None:
        """Takes that an attempt has begun or has ended."""
        self._attempts.discard(attempt)

    def may_begin(self, placed: Placed) -> bool:
        """Returns whether a request may still begin where it was placed."""
        return not placed.weights or self._state.may_begin(placed.endpoint.model, placed.weights)

    async def run(self) -> None:
        """Looks for overdue attempts for ever."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_SECONDS)

    def look(self) -> None:
        """Takes back what may not begin any more."""
        overdue = [attempt for attempt in self._attempts if not self.may_begin(attempt.placed)]
        for attempt in overdue:
            self.discard(attempt)
            attempt.take_back(WEIGHTS_OVERDUE)
