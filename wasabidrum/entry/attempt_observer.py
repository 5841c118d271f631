"""Updates endpoint health, limits and poison suspicion from the course of attempts."""

from ..decisions.endpoint_rests import MIN_REST_SECONDS
from ..decisions.endpoint_state import EndpointState
from ..decisions.poison import PoisonGuard
from ..observe.event import Event
from ..observe.event_log import EventLog
from .placement import Placement
from .target_pool import TargetPool

# Error codes that say nothing about the endpoint's health.
NEUTRAL_CODES = frozenset(
    (
        "cancelled",
        "attempt_cancelled",
        "attempt_invalid",
        "deadline_passed",
        "endpoint_leaving",
        "version_mismatch",
        "answer_crossed",
    )
)
DEATH_CODES = frozenset(("engine_lost", "answer_cut", "peer_unreachable"))
DEADLINE_TOLERANCE_SECONDS = 1e-6


class AttemptObserver:
    """Derives endpoint health, concurrency limits and poison suspicion from attempts."""

    __slots__ = ("_guard", "_log", "_paused_at")

    def __init__(self, guard: PoisonGuard, log: EventLog) -> None:
        self._guard = guard
        self._log = log
        self._paused_at = float("-inf")

    def record_pause(self, now: float) -> None:
        """Records that this process was paused until now."""
        self._paused_at = now

    def record_progress(
        self, placement: Placement, pool: TargetPool, tokens: int, now: float
    ) -> None:
        """Records that tokens of an attempt arrived."""
        item, state = placement.item, placement.state
        last = placement.progress_at
        placement.progress_at = now
        placement.tokens += tokens
        item.tokens_received += tokens
        state.progress_at = now
        if last is None:
            state.streaming += 1
            self._record_first_token(placement, state.in_progress, now)
            return
        state.health.record_tokens(tokens, now - last)
        if self._is_slow(state, pool, now):
            self.eject(pool, state, f"{state.health.token_seconds:.3f} s per token")

    def record_end(self, placement: Placement, pool: TargetPool, code: str, now: float) -> None:
        """Records the end of an attempt, with an empty code if it succeeded."""
        item, state = placement.item, placement.state
        state.record_ended()
        if placement.progress_at is not None:
            state.streaming -= 1
        if placement.suspect:
            self._guard.record_ended(state.name)
        if not code:
            self._record_success(placement, pool, now)
        elif (
            code in NEUTRAL_CODES
            # An endpoint that rests gets nothing anyway.
            or placement.rest_seconds >= MIN_REST_SECONDS
            or now >= item.deadline - DEADLINE_TOLERANCE_SECONDS
        ):
            # A short deadline chosen by the caller says nothing about the endpoint. Counted as
            # failures, a few such callers could have every endpoint taken out of service.
            state.health.end_probe(now)
        else:
            self._record_failure(placement, code, pool, now)

    def eject(self, pool: TargetPool, state: EndpointState, reason: str) -> None:
        """Takes an endpoint out of service until a probe request succeeds there."""
        pool.invalidate()
        state.limit.restart()
        self._log.write(
            Event.ENDPOINT_EJECTED,
            endpoint=state.name,
            health=state.health.health.value,
            reason=reason,
        )

    def _is_slow(self, state: EndpointState, pool: TargetPool, now: float) -> bool:
        """Records the endpoint's token rate; returns whether it is ejected as slow."""
        # Tokens arrive thousands of times a second, so the median over all peers is computed
        # only for an endpoint that is slow compared with the fastest one of the last refresh.
        suspicious = state.health.is_slower(pool.fastest_token_seconds)
        median = pool.peer_token_seconds(state, now) if suspicious else 0.0
        return state.health.record_pace(median, now)

    def _record_first_token(self, placement: Placement, in_progress: int, now: float) -> None:
        # A pause of this process delays first tokens at all endpoints. Attributed to them, it
        # would cut their limits and end their slow start: callers would be refused although
        # endpoints have room.
        if placement.started_at > self._paused_at:
            seconds = now - placement.started_at
            placement.state.limit.record_first_token(seconds, in_progress, now)

    def _record_success(self, placement: Placement, pool: TargetPool, now: float) -> None:
        item, state = placement.item, placement.state
        item.completed = True
        if item.fingerprint:
            self._guard.clear(item.fingerprint)
        if item.service:
            self._record_first_token(placement, state.in_progress + 1, now)
        if state.health.record_success(pool.median_token_seconds):
            state.limit.restart()
            pool.invalidate()
            self._log.write(Event.ENDPOINT_RETURNED, endpoint=state.name)

    def _record_failure(
        self, placement: Placement, code: str, pool: TargetPool, now: float
    ) -> None:
        item, state = placement.item, placement.state
        state.limit.record_failure(now)
        lost = code == "engine_lost" or placement.head_at is not None
        if item.fingerprint and lost and code in DEATH_CODES:
            self._guard.record_death(item.fingerprint, state.name, now)
            self._log.write(
                Event.REQUEST_SUSPECTED,
                request=item.request_id,
                endpoint=state.name,
                fingerprint=item.fingerprint,
            )
        if state.health.record_failure(now):
            self.eject(pool, state, code)
