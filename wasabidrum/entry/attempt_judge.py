"""What attempts tell of the endpoints that they run at, and of the requests that they run."""

from ..decisions.endpoint_state import EndpointState
from ..decisions.poison import PoisonGuard
from ..observe.event import Event
from ..observe.event_log import EventLog
from .placement import Placement
from .target_pool import TargetPool

# Ends that say nothing against the endpoint.
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
SHORTEST_TIME = 1e-6


class AttemptJudge:
    """Turns the course of attempts into health, limits and suspicion."""

    __slots__ = ("_guard", "_log", "_paused_at")

    def __init__(self, guard: PoisonGuard, log: EventLog) -> None:
        self._guard = guard
        self._log = log
        self._paused_at = float("-inf")

    def record_pause(self, now: float) -> None:
        """Records that this process stood still until now."""
        self._paused_at = now

    def record_progress(
        self, placement: Placement, pool: TargetPool, tokens: int, now: float
    ) -> None:
        """Records tokens that arrived at one attempt."""
        item, state = placement.item, placement.state
        last = placement.progress_at
        placement.progress_at = now
        placement.tokens += tokens
        item.tokens_done += tokens
        state.progress_at = now
        if last is None:
            state.streaming += 1
            self._record_first_token(placement, state.in_progress, now)
            return
        state.health.record_tokens(tokens, now - last)
        if self._is_slow(state, pool, now):
            self.eject(pool, state, f"{state.health.token_seconds:.3f} s a token")

    def record_end(self, placement: Placement, pool: TargetPool, code: str, now: float) -> None:
        """Records the end of one attempt."""
        item, state = placement.item, placement.state
        state.record_ended()
        if placement.progress_at is not None:
            state.streaming -= 1
        if placement.suspect:
            self._guard.record_ended(state.name)
        if not code:
            self._take_success(placement, pool, now)
        elif code in NEUTRAL_CODES or now >= item.deadline - SHORTEST_TIME:
            # A caller's own short deadline says nothing against the endpoint; counted as a
            # failure, a few such callers could have every endpoint taken out of service.
            state.health.end_probe(now)
        else:
            self._take_failure(placement, code, pool, now)

    def eject(self, pool: TargetPool, state: EndpointState, reason: str) -> None:
        """Takes an endpoint out of service until a probe succeeds there."""
        pool.refresh_soon()
        state.limit.restart()
        self._log.write(
            Event.ENDPOINT_EJECTED,
            endpoint=state.name,
            health=state.health.health.value,
            reason=reason,
        )

    def _is_slow(self, state: EndpointState, pool: TargetPool, now: float) -> bool:
        """Takes the pace of an endpoint; returns whether that takes it out of service."""
        # Tokens come thousands of times a second, so that all peers are read only where the
        # endpoint is slow beside the fastest one of the last refresh.
        suspicious = state.health.is_slower(pool.fastest)
        median = pool.peer_token_seconds(state, now) if suspicious else 0.0
        return state.health.record_pace(median, now)

    def _record_first_token(self, placement: Placement, in_progress: int, now: float) -> None:
        # Taken for the endpoint's, this process's own pause would cut the limits of all endpoints
        # and end their first quick growth: callers would be refused beside endpoints with room.
        if placement.began > self._paused_at:
            seconds = now - placement.began
            placement.state.limit.record_first_token(seconds, in_progress, now)

    def _take_success(self, placement: Placement, pool: TargetPool, now: float) -> None:
        item, state = placement.item, placement.state
        item.whole = True
        if item.fingerprint:
            self._guard.clear(item.fingerprint)
        if item.service:
            self._record_first_token(placement, state.in_progress + 1, now)
        if state.health.record_success(pool.median):
            state.limit.restart()
            pool.refresh_soon()
            self._log.write(Event.ENDPOINT_RETURNED, endpoint=state.name)

    def _take_failure(self, placement: Placement, code: str, pool: TargetPool, now: float) -> None:
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
