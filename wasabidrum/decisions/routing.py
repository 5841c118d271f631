"""Chooses the endpoint for a request.

Load pattern: twenty entries receive the same delayed load reports. If each sent its next
request to the endpoint that reported the least load, all of them would choose the same one,
and a second later all of them would move on to the next. Some engines would build up queues
while others idle, in turn.

Two endpoints are drawn at random and the less loaded one is used (power of two choices). The
score counts this entry's requests in progress there, the requests it sent there recently, and
the queue length, which is averaged over several seconds of reports. An entry's own requests
are known exactly and without delay; a single delayed report does not decide a choice.
bench.load_policies measures this with twenty entries, ten endpoints at 0.7 of capacity and
reports that are 1 s late; docs/measurements/load.md has the results. Before the draw, the
endpoint that probably has the prompt's prefix cached is used if it has room and its share of
the recent requests is not exceeded. The cost of a choice does not depend on the number of
endpoints.

Endpoints in the entry's data centre come first, then those in its region. The thin link
between regions is used only when none of them has room.
"""

import collections.abc
import random

from .endpoint_state import EndpointState

CHOICES = 2
MAX_DRAWS = 6
REMOTE_PENALTY = 0.05
AFFINITY_LOAD_FACTOR = 1.2
MAX_AFFINITY_QUEUE = 1.0
OTHER_REGION_TIER = 2
MEAN_SAMPLE_SIZE = 8
# An endpoint queues the requests that exceed its slots. At twice the limit, the queue is at
# most as long as the number of requests that run at once.
OVERFLOW_FACTOR = 2.0


class EndpointPool:
    """The endpoints of one model or service that requests can be sent to."""

    __slots__ = ("_tiers", "_by_name", "_nearby", "_rng")

    def __init__(self, states: collections.abc.Iterable[EndpointState], rng: random.Random) -> None:
        self._tiers: tuple[list[EndpointState], ...] = ([], [], [])
        self._by_name: dict[str, EndpointState] = {}
        self._rng = rng
        for state in states:
            self._tiers[state.tier].append(state)
            self._by_name[state.name] = state
        self._nearby = self._tiers[0] + self._tiers[1] or self._tiers[OTHER_REGION_TIER]

    def __len__(self) -> int:
        return len(self._by_name)

    def mean_recent_requests(self, now: float) -> float:
        """Returns the mean number of recent requests per nearby endpoint.

        Above MEAN_SAMPLE_SIZE endpoints, the mean is taken over a random sample.
        """
        states = self._nearby
        if len(states) > MEAN_SAMPLE_SIZE:
            states = [self._rng.choice(states) for _ in range(MEAN_SAMPLE_SIZE)]
        return sum(state.recent_requests(now) for state in states) / max(1, len(states))

    def choose(
        self,
        allowed: collections.abc.Callable[[EndpointState], bool],
        preferred: collections.abc.Sequence[str],
        now: float,
    ) -> EndpointState | None:
        """Returns an endpoint below its limit, else one moderately above it, else None.

        Args:
          allowed: Whether the request may be sent to an endpoint at all.
          preferred: Names of endpoints that probably have the prompt's prefix cached.
        """

        def has_room(state: EndpointState) -> bool:
            return state.in_progress < state.limit.max_requests and allowed(state)

        state = self._choose_preferred(has_room, preferred, now)
        if state is not None:
            return state
        for tiers in (self._tiers[:OTHER_REGION_TIER], self._tiers[OTHER_REGION_TIER:]):
            drawn = [state for tier in tiers for state in self._draw_candidates(tier, has_room)]
            if drawn:
                mean = self.mean_recent_requests(now)
                return min(drawn, key=lambda state: self._score(state, mean, now))
        return self._choose_beyond_limit(allowed)

    def _choose_beyond_limit(self, allowed) -> EndpointState | None:
        """Returns the endpoint that exceeds its limit the least, up to OVERFLOW_FACTOR.

        A request that was admitted while there was room may find none when it is placed,
        because an endpoint started to drain in the meantime and its requests moved to the
        others. If it were refused here, callers would get errors during a planned stop
        although other endpoints are healthy.
        """
        for tiers in (self._tiers[:OTHER_REGION_TIER], self._tiers[OTHER_REGION_TIER:]):
            candidates = [
                state
                for tier in tiers
                for state in tier
                if state.in_progress < OVERFLOW_FACTOR * state.limit.max_requests and allowed(state)
            ]
            if candidates:
                return min(
                    candidates, key=lambda state: state.in_progress / state.limit.max_requests
                )
        return None

    def _choose_preferred(self, has_room, preferred, now: float) -> EndpointState | None:
        if not preferred:
            return None
        bound = AFFINITY_LOAD_FACTOR * self.mean_recent_requests(now) + 1.0
        for name in preferred:
            state = self._by_name.get(name)
            if state is None or not has_room(state) or state.recent_requests(now) > bound:
                continue
            if state.mean_queue(now) < MAX_AFFINITY_QUEUE:
                return state
        return None

    def _draw_candidates(self, tier: list[EndpointState], has_room) -> list[EndpointState]:
        if len(tier) <= MAX_DRAWS:
            found = [state for state in tier if has_room(state)]
            return found if len(found) <= CHOICES else self._rng.sample(found, CHOICES)
        found = []
        for _ in range(MAX_DRAWS):
            state = self._rng.choice(tier)
            if has_room(state) and state not in found:
                found.append(state)
                if len(found) == CHOICES:
                    return found
        # Nearly all endpoints are full. Only in this case are all of them checked, so that no
        # request is refused while an endpoint still has room.
        return found or [state for state in tier if has_room(state)][:CHOICES]

    def _score(self, state: EndpointState, mean_recent_requests: float, now: float) -> float:
        busy = 1.0 + state.mean_queue(now) / state.slots
        recent = busy * state.recent_requests(now) / (1.0 + mean_recent_requests)
        load = (state.in_progress + state.load_of_other_entries(now) + recent) / state.slots
        return load + (REMOTE_PENALTY if state.tier else 0.0)
