"""Looks after what was sent to endpoints and waits there, and takes it back where that is due."""

import asyncio
import typing

from ..core.awake_clock import awake_seconds
from .attempt import TakenBack
from .placement import Placed, Placer
from .published_state import PublishedState

# A quarter of what the limit for beginning leaves before the bound; the rest is for the reset's
# way and a busy loop.
LOOK_SECONDS = 0.1
# A loop that is later than this has not read what came meanwhile: silence may be its own.
LATE_SECONDS = 0.3


class Waiting(typing.Protocol):
    """An attempt in progress."""

    @property
    def placed(self) -> Placed:
        """Where it was sent, and on which weights."""

    @property
    def begun(self) -> bool:
        """Whether something of an answer came."""

    def may_move(self) -> bool:
        """Returns whether another endpoint may and can go on with it."""

    def take_back(self, reason: TakenBack) -> None:
        """Drops it where it is, so that its endpoint does not begin it or go on with it."""


class AttemptsInProgress:
    """The attempts of one entry that were sent and have not ended.

    What was placed in time may wait for seconds on a link, in a queue, or at an engine that is
    suspended, and begin when other callers have had the new weights for long. An engine knows
    of no bound; a request that is gone from its connection is what it does not begin. Nor does
    an engine tell that it stands still; its callers notice, and leave after some seconds.
    """

    __slots__ = ("_state", "_placer", "_attempts", "_looked_at")

    def __init__(self, state: PublishedState, placer: Placer) -> None:
        self._state = state
        self._placer = placer
        self._attempts: set[Waiting] = set()
        self._looked_at = float("-inf")

    def __len__(self) -> int:
        return len(self._attempts)

    def add(self, attempt: Waiting) -> None:
        """Takes an attempt that is about to be sent."""
        self._attempts.add(attempt)

    def discard(self, attempt: Waiting) -> None:
        """Takes that an attempt has ended."""
        self._attempts.discard(attempt)

    def may_begin(self, placed: Placed) -> bool:
        """Returns whether a request may still begin where it was placed."""
        return not placed.weights or self._state.may_begin(placed.endpoint.model, placed.weights)

    async def run(self) -> None:
        """Looks for what is to be taken back, for ever."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_SECONDS)

    def look(self) -> None:
        """Takes back what may not begin any more, and what can go on elsewhere."""
        now = awake_seconds()
        late = now - self._looked_at > LOOK_SECONDS + LATE_SECONDS
        self._looked_at = now
        for attempt in list(self._attempts):
            if not attempt.begun and not self.may_begin(attempt.placed):
                attempt.take_back(TakenBack.WEIGHTS_OVERDUE)
            elif not late and self._placer.is_silent(attempt.placed) and attempt.may_move():
                attempt.take_back(TakenBack.ENDPOINT_SILENT)
