"""How much room a workspace that has more than its share must leave for the others.

Load pattern: a workspace asks for speeches that run ten seconds each, beside others whose
drafts run a fifth of one. Whenever the others pause, long jobs take the free slots and hold
them; the next drafts wait for seconds, although their workspaces use less than their share.

Each workspace's demand (what it runs and has waiting) is averaged. One that usually needs more
than its share of the limit may start another request only while the room that the others
usually need stays free. Others that are over their share as well have no claim on it.
"""

import math

AVERAGE_SECONDS = 5.0
MARGIN = 1.0
BURST = 2.0
FORGOTTEN_BELOW = 0.01


class WorkspaceDemand:
    """What one workspace runs and usually needs."""

    __slots__ = ("share", "running", "waiting", "_mean", "_at")

    def __init__(self, now: float, share: float) -> None:
        self.share = share
        self.running = 0
        self.waiting = 0
        self._mean = 0.0
        self._at = now

    def mean(self, now: float) -> float:
        """Returns the demand averaged over the last seconds."""
        keep = math.exp((self._at - now) / AVERAGE_SECONDS)
        return keep * self._mean + (1.0 - keep) * (self.running + self.waiting)

    def settle(self, now: float) -> None:
        """Averages up to now; called before each change of running or waiting."""
        self._mean = self.mean(now)
        self._at = now


class FairShare:
    """The demand of every workspace that was active lately."""

    __slots__ = ("_demands", "_shares")

    def __init__(self) -> None:
        self._demands: dict[str, WorkspaceDemand] = {}
        self._shares = 0.0

    def change(self, workspace: str, share: float, running: int, waiting: int, now: float) -> None:
        """Counts requests that begin or end to run or to wait."""
        demand = self._demands.get(workspace)
        if demand is None:
            demand = self._demands[workspace] = WorkspaceDemand(now, share)
            self._shares += share
        demand.settle(now)
        self._shares += share - demand.share
        demand.share = share
        demand.running += running
        demand.waiting += waiting

    def is_over(self, workspace: str, limit: float, now: float) -> bool:
        """Returns whether a workspace usually needs more than its part, beside others."""
        own = self._demands.get(workspace)
        if own is None or len(self._demands) == 1:
            return False
        # A small workspace that for a moment runs more than its part is not the cause of
        # anything; one that runs far more is, before its average shows it.
        part = self._part(own, limit)
        return max(own.mean(now), own.running / BURST) > part

    def room_kept(self, workspace: str, limit: float, now: float) -> float:
        """Returns how much of the limit a workspace must leave free for others now."""
        if not self.is_over(workspace, limit, now):
            return 0.0
        needed = running = 0.0
        for name, demand in list(self._demands.items()):
            mean = demand.mean(now)
            if mean < FORGOTTEN_BELOW and not demand.running and not demand.waiting:
                self._shares -= self._demands.pop(name).share
            elif name != workspace and mean <= self._part(demand, limit):
                needed += mean
                running += demand.running
        own_part = self._part(self._demands[workspace], limit)
        needed = min(needed + MARGIN * math.sqrt(needed), limit - own_part)
        return max(0.0, needed - running)

    def _part(self, demand: WorkspaceDemand, limit: float) -> float:
        return limit * demand.share / max(self._shares, 1e-9)
