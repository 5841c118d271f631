"""Decides which ranks of requests are admitted while there is too little room for all.

Load pattern: a third of the engines is gone, or weights have not arrived yet, and callers send one
and a half times what the others can process, most of it less urgent work. If all ranks are refused
alike, urgent requests are refused as often as the others, and those that wait longest for their
first event win: a kind whose objective is twice as long is still placed where queues are too long
for an urgent one.

Engines begin waiting requests in the order of their ranks, so that a less urgent request that
waits costs an urgent one nothing, and one that runs costs it the time until any slot is free. What
remains is whom an entry admits. Each rank has the limits that follow from how often its own and
more urgent requests are refused, so that a flood of less urgent ones lowers no limit but their
own. While more urgent requests are refused, a less urgent one is placed only where an engine has
room now.

No rank is shut out: one that is served far less often than requests of all ranks together is
placed as if it were the most urgent, until it is served often enough again.
"""

import math

# Over this time earlier requests lose their influence on what is admitted now. A burst of urgent
# requests has to find room within a second.
REFUSAL_DECAY_SECONDS = 1.0
# Over this time a rank has to get its least share.
LEAST_SHARE_DECAY_SECONDS = 4.0
# A rank gets at least this part of the share of requests that is served over all ranks. Callers
# need a quarter; the rest is for requests that are admitted and fail.
LEAST_SHARE = 0.3
# A less urgent request has to find a free slot if one in twenty of the more urgent ones is refused.
YIELD_SLOPE = 20.0
# From this share of refused urgent requests on the others are said to yield, and below the second
# one no more.
YIELD_BEGINS_SHARE = 0.05
YIELD_ENDS_SHARE = 0.01
# The position of a workspace that uses just its share.
AT_SHARE_POSITION = 0.5
# Fewer requests than this tell nothing about how often a rank is served.
MIN_OFFERED = 2.0


class RankCount:
    """Decaying counts of the requests of one rank."""

    __slots__ = ("_decay", "_offered", "_admitted", "_updated_at")

    def __init__(self, decay_seconds: float) -> None:
        self._decay = decay_seconds
        self._offered = 0.0
        self._admitted = 0.0
        self._updated_at = 0.0

    def record(self, admitted: bool, now: float, returning: bool = False) -> None:
        """Counts one request; that of a caller who comes back was offered before."""
        factor = self._factor(now)
        self._offered = self._offered * factor + (not returning)
        self._admitted = self._admitted * factor + admitted
        self._updated_at = now

    def counts(self, now: float) -> tuple[float, float]:
        """Returns the requests that were offered and those that were admitted."""
        factor = self._factor(now)
        return self._offered * factor, self._admitted * factor

    def _factor(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._updated_at) / self._decay)


class AdmissionOrder:
    """How often one entry has admitted the requests of each rank of a service lately."""

    __slots__ = ("_recent", "_long", "_yielding")

    def __init__(self) -> None:
        self._yielding = False
        self._recent: dict[int, RankCount] = {}
        self._long: dict[int, RankCount] = {}

    def record(self, rank: int, admitted: bool, now: float, returning: bool = False) -> None:
        """Records whether a request was admitted when it arrived.

        Args:
          returning: Its caller was refused before. That it is refused again does not lower the
            limits of others, but that it is served counts for its rank.
        """
        longer = self._long.setdefault(rank, RankCount(LEAST_SHARE_DECAY_SECONDS))
        longer.record(admitted, now, returning)
        if not returning:
            recent = self._recent.setdefault(rank, RankCount(REFUSAL_DECAY_SECONDS))
            recent.record(admitted, now)

    @property
    def yielding(self) -> bool:
        """Whether less urgent requests yield, as of the last update."""
        return self._yielding

    def update_yielding(self, now: float) -> bool:
        """Updates whether less urgent requests yield; returns whether that has changed."""
        last = max(self._recent, default=0)
        share = self.urgent_refused_share(last, now)
        before = self._yielding
        self._yielding = share > (YIELD_ENDS_SHARE if before else YIELD_BEGINS_SHARE)
        return self._yielding is not before

    def refused_share(self, rank: int, now: float) -> float:
        """Returns the share of requests of a rank, and of more urgent ones, that were refused."""
        return refused_share([c for r, c in self._recent.items() if r <= rank], now)

    def urgent_refused_share(self, rank: int, now: float) -> float:
        """Returns the largest share that was refused of any rank more urgent than one."""
        shares = (refused_share([c], now) for r, c in self._recent.items() if r < rank)
        return max(shares, default=0.0)

    def refused_shares(self, now: float) -> dict[int, float]:
        """Returns the share of the requests of each rank that was refused lately."""
        return {r: round(refused_share([c], now), 3) for r, c in sorted(self._recent.items())}

    def admitted_shares(self, rank: int, now: float) -> tuple[float, float]:
        """Returns which share of the requests of a rank, and of all, was admitted lately."""
        own = [count for known, count in self._long.items() if known == rank]
        every = list(self._long.values())
        return tuple(1.0 - refused_share(counts, now) for counts in (own, every))

    def admission_rank(self, rank: int, now: float) -> int:
        """Returns the rank as which a request is placed: the first if its own gets too little."""
        known = self._long.get(rank)
        if not rank or known is None:
            return rank
        offered, admitted = known.counts(now)
        totals = [count.counts(now) for count in self._long.values()]
        all_offered = sum(total[0] for total in totals)
        all_admitted = sum(total[1] for total in totals)
        if offered < MIN_OFFERED:
            return rank
        behind = admitted / offered < LEAST_SHARE * all_admitted / all_offered
        return 0 if behind else rank


def refused_share(counts: list[RankCount], now: float) -> float:
    """Returns the share of the requests in some counts that was refused."""
    known = [count.counts(now) for count in counts]
    offered = sum(total[0] for total in known)
    admitted = sum(total[1] for total in known)
    return (offered - admitted) / max(1.0, offered)


def share_limit(
    limit: float, target: float, free_slot_seconds: float, position: float, refused_share: float
) -> float:
    """Returns the latest forecast with which a request of a workspace is placed.

    Under overload, a workspace that uses more than its share gets only free slots.

    Args:
      limit: The same for a workspace that uses its share, in seconds.
      target: Seconds within which its first event is on time.
      free_slot_seconds: The forecast at an engine that has room for it.
      position: How far the workspace is over its share; see WorkspaceShares.position.
      refused_share: The share of requests of its rank, and of more urgent ones, that is refused.
    """
    over = max(0.0, position - AT_SHARE_POSITION)
    return yielding_limit(limit, target, free_slot_seconds, over * refused_share)


def yielding_limit(
    limit: float, target: float, free_slot_seconds: float, urgent_refused_share: float
) -> float:
    """Returns the latest forecast with which a request is placed that has to yield.

    Args:
      limit: The same while no more urgent requests are refused, in seconds.
      target: Seconds within which its first event is on time.
      free_slot_seconds: The forecast at an engine that has room for it.
      urgent_refused_share: The share of more urgent requests that is refused.
    """
    lowered = limit - YIELD_SLOPE * urgent_refused_share * target
    return min(limit, max(free_slot_seconds, lowered))
