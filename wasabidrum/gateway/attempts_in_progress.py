"""Monitors requests that were sent to endpoints, and recalls them where that is necessary.

To recall a request is to close its connection to the endpoint, so that the endpoint does not
start or continue it. The rules are in decisions/request_recall.py.
"""

import asyncio
import typing

from ..core.boot_clock import boot_seconds
from ..decisions.request_recall import PlacedRequest, RecallReason, recall_reason
from ..observe.event import Event
from ..observe.event_log import EventLog
from .placement import Placement, Placer
from .published_state import PublishedState

CHECK_INTERVAL_SECONDS = 0.1
# If a check runs later than this, the event loop was held up and has not read what arrived
# meanwhile, so that an endpoint's silence may be due to this process.
LOOP_DELAY_TOLERANCE_SECONDS = 0.3


class AttemptInProgress(typing.Protocol):
    """An attempt that was sent and has not ended."""

    @property
    def placement(self) -> Placement:
        """The endpoint it was sent to, and the version of the weights that must answer."""

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""

    @property
    def response_started(self) -> bool:
        """Whether a part of the reply has arrived."""

    @property
    def streams_response(self) -> bool:
        """Whether the reply starts as soon as the endpoint starts to work on the request."""

    @property
    def waits_for_caller(self) -> bool:
        """Whether parts of the reply have arrived that its caller has not read yet."""

    @property
    def last_activity_at(self) -> float:
        """When the last event arrived, or else the request was placed, by the loop's clock."""

    @property
    def seconds_until_disconnect(self) -> float:
        """Seconds until the caller will disconnect; infinite once it has received something."""

    def reserve_elsewhere(self) -> bool:
        """Reserves a place for the request at another endpoint; returns whether there is one."""

    def recall(self, reason: RecallReason) -> None:
        """Withdraws the request, so that its endpoint does not start or continue it."""


class AttemptsInProgress:
    """The attempts of one entry that were sent and have not ended.

    An engine does not know the deadlines by which requests must have begun, and does not report
    that it has stalled. The entry therefore checks each attempt, and closes the connection of a
    request that must not begin any more.
    """

    __slots__ = ("_state", "_placer", "_drain_seconds", "_attempts", "_checked_at", "_retired_at")
    __slots__ += ("_log",)

    def __init__(
        self, state: PublishedState, placer: Placer, drain_seconds: float, log: EventLog
    ) -> None:
        """Initializes the set.

        Args:
          drain_seconds: From the time that an endpoint announces that it leaves until it must
            get no more work.
        """
        self._state = state
        self._placer = placer
        self._drain_seconds = drain_seconds
        self._log = log
        # Ordered by the time of sending, so that the request that has waited longest is the first
        # to get a place elsewhere.
        self._attempts: dict[AttemptInProgress, None] = {}
        self._checked_at = float("-inf")
        # Since when each endpoint with requests of this entry has been leaving or unlisted, by id.
        self._retired_at: dict[str, float] = {}

    def add(self, attempt: AttemptInProgress) -> None:
        """Adds an attempt that is about to be sent."""
        self._attempts[attempt] = None

    def discard(self, attempt: AttemptInProgress) -> None:
        """Removes an attempt that has ended."""
        self._attempts.pop(attempt, None)

    def may_begin(self, placement: Placement) -> bool:
        """Returns whether a request may still begin on the weights it was placed on."""
        return not placement.weights or self._state.may_begin(
            placement.endpoint.model, placement.weights
        )

    def count_evacuated(self) -> int:
        """Returns how many attempts are in progress in evacuated data centres."""
        evacuations = self._state.evacuations
        if not evacuations.count:
            return 0
        endpoints = (attempt.placement.endpoint for attempt in self._attempts)
        return sum(evacuations.is_evacuated(endpoint.data_centre) for endpoint in endpoints)

    async def run(self) -> None:
        """Checks the attempts periodically until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def check(self) -> None:
        """Recalls requests that must not begin any more, or that another endpoint can take."""
        now = boot_seconds()
        delay = now - self._checked_at - CHECK_INTERVAL_SECONDS
        loop_delayed = delay > LOOP_DELAY_TOLERANCE_SECONDS
        if loop_delayed and self._checked_at > float("-inf"):
            self._log.write(Event.PROCESS_WOKE_LATE, seconds=round(delay, 3))
        self._checked_at = now
        self._update_retired(now)
        loop_now = asyncio.get_running_loop().time()
        for attempt in list(self._attempts):
            placement = attempt.placement
            if attempt.waits_for_caller:
                # The endpoint has sent more than the caller has read, and is not silent.
                self._placer.record_progress(placement, attempt.last_activity_at)
            if not attempt.response_started:
                self._placer.record_waiting(placement, attempt.last_activity_at)
            waiting = PlacedRequest(
                begun=attempt.response_started,
                repeatable=attempt.repeatable,
                may_begin=self.may_begin(placement),
                start_is_visible=attempt.streams_response,
                silent=not loop_delayed
                and self._placer.is_stalled(
                    placement, attempt.last_activity_at, attempt.response_started
                ),
                retired_seconds=now - self._retired_at.get(placement.endpoint.id, now),
                caller_leaves_in=attempt.seconds_until_disconnect,
                waited=loop_now - attempt.last_activity_at,
                reserve=attempt.reserve_elsewhere,
                waits_evacuated=self._state.evacuations.is_evacuated(placement.endpoint.data_centre)
                and placement.load.reports_waiting(loop_now),
            )
            reason = recall_reason(waiting, self._drain_seconds)
            if reason is not None:
                attempt.recall(reason)

    def _update_retired(self, now: float) -> None:
        listed = self._state.endpoints
        used = {attempt.placement.endpoint.id for attempt in self._attempts}
        known = ((name, listed.get(name)) for name in used)
        retired = (name for name, endpoint in known if endpoint is None or endpoint.leaving)
        self._retired_at = {name: self._retired_at.get(name, now) for name in retired}
