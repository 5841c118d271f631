"""Looks after what was sent to endpoints and waits there, and recalls it where that is due."""

import asyncio
import typing

from ..core.awake_clock import awake_seconds
from ..decisions.request_recall import PlacedRequest, RecallReason, recall_reason
from .placement import Placed, Placer
from .published_state import PublishedState

LOOK_SECONDS = 0.1
# A loop that is later than this has not read what came meanwhile: the silence may be its own.
LATE_SECONDS = 0.3


class AttemptInProgress(typing.Protocol):
    """An attempt that was sent and has not ended."""

    @property
    def placed(self) -> Placed:
        """Where it was sent, and on which weights."""

    @property
    def repeatable(self) -> bool:
        """Whether its request may run more than once."""

    @property
    def begun(self) -> bool:
        """Whether something of an answer came."""

    @property
    def tells_beginning(self) -> bool:
        """Whether its answer begins when its endpoint begins to work on it."""

    @property
    def heard_at(self) -> float:
        """When something came of it, or it was placed, by the event loop's clock."""

    @property
    def leaves_in(self) -> float:
        """The seconds until its caller leaves; infinite once something was passed on."""

    def reserve_elsewhere(self) -> bool:
        """Reserves a place at another endpoint that may go on with it, if there is one."""

    def recall(self, reason: RecallReason) -> None:
        """Drops it where it is, so that its endpoint does not begin it or go on with it."""


class AttemptsInProgress:
    """The attempts of one entry that were sent and have not ended.

    An engine knows of no bound, and does not tell that it stands still. A request that is gone
    from its connection is what it does not begin.
    """

    __slots__ = ("_state", "_placer", "_drain", "_attempts", "_looked_at", "_retired_at")

    def __init__(self, state: PublishedState, placer: Placer, drain: float) -> None:
        """Takes the seconds from an endpoint's leaving until it must get no more work."""
        self._state = state
        self._placer = placer
        self._drain = drain
        # In the order in which they were sent; who has waited longest goes first.
        self._attempts: dict[AttemptInProgress, None] = {}
        self._looked_at = float("-inf")
        # Since when each endpoint with work of this entry is leaving or gone, by its id.
        self._retired_at: dict[str, float] = {}

    def add(self, attempt: AttemptInProgress) -> None:
        """Takes an attempt that is about to be sent."""
        self._attempts[attempt] = None

    def discard(self, attempt: AttemptInProgress) -> None:
        """Takes that an attempt has ended."""
        self._attempts.pop(attempt, None)

    def may_begin(self, placed: Placed) -> bool:
        """Returns whether a request may still begin where it was placed."""
        return not placed.weights or self._state.may_begin(placed.endpoint.model, placed.weights)

    async def run(self) -> None:
        """Looks for what is to be recalled, for ever."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_SECONDS)

    def look(self) -> None:
        """Recalls what may not begin any more, and what can go on elsewhere."""
        now = awake_seconds()
        late = now - self._looked_at > LOOK_SECONDS + LATE_SECONDS
        self._looked_at = now
        self._note_retired(now)
        for attempt in list(self._attempts):
            placed = attempt.placed
            if not attempt.begun:
                self._placer.record_waiting(placed, attempt.heard_at)
            waiting = PlacedRequest(
                begun=attempt.begun,
                repeatable=attempt.repeatable,
                may_begin=self.may_begin(placed),
                start_is_visible=attempt.tells_beginning,
                silent=not late
                and self._placer.is_stalled(placed, attempt.heard_at, attempt.begun),
                retired_seconds=now - self._retired_at.get(placed.endpoint.id, now),
                caller_leaves_in=attempt.leaves_in,
                reserve=attempt.reserve_elsewhere,
            )
            reason = recall_reason(waiting, self._drain)
            if reason is not None:
                attempt.recall(reason)

    def _note_retired(self, now: float) -> None:
        listed = self._state.endpoints
        used = {attempt.placed.endpoint.id for attempt in self._attempts}
        known = ((name, listed.get(name)) for name in used)
        retired = (name for name, endpoint in known if endpoint is None or endpoint.leaving)
        self._retired_at = {name: self._retired_at.get(name, now) for name in retired}
