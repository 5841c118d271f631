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
# Before the bound after which an endpoint that leaves gets no more work, as for weights.
RETIRED_MARGIN_SECONDS = 0.4


class Waiting(typing.Protocol):
    """An attempt in progress."""

    @property
    def placed(self) -> Placed:
        """Where it was sent, and on which weights."""

    @property
    def repeatable(self) -> bool:
        """Whether its request may run more than once."""

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

    __slots__ = ("_state", "_placer", "_attempts", "_looked_at", "_drain", "_retired_at")

    def __init__(self, state: PublishedState, placer: Placer, drain: float) -> None:
        """Takes the seconds from an endpoint's leaving until it must get no more work."""
        self._state = state
        self._drain = drain
        # Since when each endpoint with work of this entry is leaving or gone, by its id.
        self._retired_at: dict[str, float] = {}
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
        self._note_retired(now)
        for attempt in list(self._attempts):
            reason = self._reason_to_take_back(attempt, now, late)
            if reason is not None:
                attempt.take_back(reason)

    def _reason_to_take_back(self, attempt: Waiting, now: float, late: bool) -> TakenBack | None:
        placed = attempt.placed
        if not attempt.begun and not self.may_begin(placed):
            return TakenBack.WEIGHTS_OVERDUE
        if late or not self._placer.is_silent(placed):
            return None
        if attempt.may_move():
            return TakenBack.ENDPOINT_SILENT
        if not attempt.begun and attempt.repeatable and self._is_retired(placed, now):
            return TakenBack.ENDPOINT_RETIRED
        return None

    def _note_retired(self, now: float) -> None:
        listed = self._state.endpoints
        used = {attempt.placed.endpoint.id for attempt in self._attempts}
        known = ((name, listed.get(name)) for name in used)
        retired = (name for name, endpoint in known if endpoint is None or endpoint.leaving)
        self._retired_at = {name: self._retired_at.get(name, now) for name in retired}

    def _is_retired(self, placed: Placed, now: float) -> bool:
        """Returns whether an endpoint has been leaving, or gone, for as long as the bound allows.

        Suspended, it would begin on waking what lies unread on its connections. What may run
        only once stays: it may have begun, and then its answer is the only one there will be.
        """
        retired_at = self._retired_at.get(placed.endpoint.id, now)
        return now - retired_at >= self._drain - RETIRED_MARGIN_SECONDS
