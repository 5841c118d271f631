"""Which endpoint gets a request.

Load pattern: twenty entries read the same late reports. If each sends its next request to
the endpoint that reported the least load, all send it to the same one; a second later they
all leave it for the next. Some engines have queues and others idle, in turn.

Two endpoints are drawn at random and the better one is taken (power of two choices). Better
is the one that runs fewer of this entry's requests, was sent fewer lately, and usually has the
shorter queue by the reports averaged over seconds. What this entry sent is known exactly and
now; a single late report is not followed. Measured with twenty entries, ten endpoints at 0.7 of
capacity and reports 1 s late (bench.load_policies): see docs/measurements/load.md. Before the
draw, the endpoint that probably holds the prompt's prefix is taken while it has room and its
part of the recent work is not exceeded. The cost of a choice does not depend on how many
endpoints there are.

Endpoints of the entry's data centre go first, then those of its region; the thin link
between regions is crossed only when none of them has room.
"""

import collections.abc
import random

from .endpoint_state import EndpointState

DRAWS = 2
TRIES = 6
REGION_PENALTY = 0.05
AFFINITY_BOUND = 1.2
BUSY_QUEUE = 1.0
FAR_TIER = 2
SAMPLE = 8
# Endpoints queue what is beyond their slots; twice the limit bounds that queue to one turn.
OVERFLOW = 2.0


class EndpointPool:
    """Endpoints that may be given requests of one model or service."""

    __slots__ = ("_tiers", "_by_name", "_near", "_rng")

    def __init__(self, states: collections.abc.Iterable[EndpointState], rng: random.Random) -> None:
        self._tiers: tuple[list[EndpointState], ...] = ([], [], [])
        self._by_name: dict[str, EndpointState] = {}
        self._rng = rng
        for state in states:
            self._tiers[state.tier].append(state)
            self._by_name[state.name] = state
        self._near = self._tiers[0] + self._tiers[1] or self._tiers[FAR_TIER]

    def __len__(self) -> int:
        return len(self._by_name)

    def mean_recent(self, now: float) -> float:
        """Returns the mean recent work of an endpoint, from a sample where there are many."""
        states = self._near
        if len(states) > SAMPLE:
            states = [self._rng.choice(states) for _ in range(SAMPLE)]
        return sum(state.recent_work(now) for state in states) / max(1, len(states))

    def choose(
        self,
        allowed: collections.abc.Callable[[EndpointState], bool],
        preferred: collections.abc.Sequence[str],
        now: float,
    ) -> EndpointState | None:
        """Returns an endpoint with room, else one a little beyond its limit, or None.

        Args:
          allowed: Whether a request may be sent to an endpoint at all.
          preferred: Endpoints that probably hold the prompt's prefix.
        """

        def open_to(state: EndpointState) -> bool:
            return state.in_progress < state.limit.places and allowed(state)

        state = self._choose_preferred(open_to, preferred, now)
        if state is not None:
            return state
        for tiers in (self._tiers[:FAR_TIER], self._tiers[FAR_TIER:]):
            drawn = [state for tier in tiers for state in self._draw(tier, open_to)]
            if drawn:
                mean = self.mean_recent(now)
                return min(drawn, key=lambda state: self._score(state, mean, now))
        return self._choose_beyond_limit(allowed)

    def _choose_beyond_limit(self, allowed) -> EndpointState | None:
        """Returns the endpoint that is least beyond its limit, within a bound.

        A request that was let in while there was room can find none when it is placed: an
        endpoint began to leave meanwhile, and its work comes to the others. Refused here,
        callers would see a planned stop as errors although other endpoints are well.
        """
        for tiers in (self._tiers[:FAR_TIER], self._tiers[FAR_TIER:]):
            fit = [
                state
                for tier in tiers
                for state in tier
                if state.in_progress < OVERFLOW * state.limit.places and allowed(state)
            ]
            if fit:
                return min(fit, key=lambda state: state.in_progress / state.limit.places)
        return None

    def _choose_preferred(self, open_to, preferred, now: float) -> EndpointState | None:
        if not preferred:
            return None
        bound = AFFINITY_BOUND * self.mean_recent(now) + 1.0
        for name in preferred:
            state = self._by_name.get(name)
            if state is None or not open_to(state) or state.recent_work(now) > bound:
                continue
            if state.usual_queue(now) < BUSY_QUEUE:
                return state
        return None

    def _draw(self, tier: list[EndpointState], open_to) -> list[EndpointState]:
        if len(tier) <= TRIES:
            found = [state for state in tier if open_to(state)]
            return found if len(found) <= DRAWS else self._rng.sample(found, DRAWS)
        found = []
        for _ in range(TRIES):
            state = self._rng.choice(tier)
            if open_to(state) and state not in found:
                found.append(state)
                if len(found) == DRAWS:
                    return found
        # Nearly all are full. A whole pass is paid only now, and it is what keeps a request
        # from being refused while one endpoint still has room.
        return found or [state for state in tier if open_to(state)][:DRAWS]

    def _score(self, state: EndpointState, mean_recent: float, now: float) -> float:
        busy = 1.0 + state.usual_queue(now) / state.slots
        recent = busy * state.recent_work(now) / (1.0 + mean_recent)
        load = (state.in_progress + state.load_by_others(now) + recent) / state.slots
        return load + (REGION_PENALTY if state.tier else 0.0)
