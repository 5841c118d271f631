"""Limits workspaces that exceed their share, so that the others find free slots.

Load pattern: one workspace sends requests that run for ten seconds each, beside others whose
requests run for a fifth of a second. Whenever the others pause, the long requests take the
free slots and hold them. The next short requests wait for seconds, although their workspaces
use less than their share.

The demand of each workspace, that is its running and waiting requests, is averaged over time. A
workspace whose average exceeds its share of the limit may start another request only while the
slots that the others usually need stay free. Nothing is reserved for others that exceed their
share as well.
"""

import math

AVERAGE_SECONDS = 5.0
# Multiple of the square root of the mean demand.
RESERVE_MARGIN = 1.0
BURST_FACTOR = 2.0
MIN_MEAN_DEMAND = 0.01


class WorkspaceDemand:
    """The current and average demand of one workspace."""

    __slots__ = ("share", "running", "waiting", "_mean", "_at")

    def __init__(self, now: float, share: float) -> None:
        self.share = share
        self.running = 0
        self.waiting = 0
        self._mean = 0.0
        self._at = now

    def mean(self, now: float) -> float:
        """Returns the moving average of the demand."""
        keep = math.exp((self._at - now) / AVERAGE_SECONDS)
        return keep * self._mean + (1.0 - keep) * (self.running + self.waiting)

    def update_mean(self, now: float) -> None:
        """Updates the average; must be called before each change of running or waiting."""
        self._mean = self.mean(now)
        self._at = now


class FairShare:
    """The demand of all recently active workspaces."""

    __slots__ = ("_demands", "_shares")

    def __init__(self) -> None:
        self._demands: dict[str, WorkspaceDemand] = {}
        self._shares = 0.0

    def change(self, workspace: str, share: float, running: int, waiting: int, now: float) -> None:
        """Adds to the numbers of running and waiting requests of a workspace."""
        demand = self._demands.get(workspace)
        if demand is None:
            demand = self._demands[workspace] = WorkspaceDemand(now, share)
            self._shares += share
        demand.update_mean(now)
        self._shares += share - demand.share
        demand.share = share
        demand.running += running
        demand.waiting += waiting

    def is_over(self, workspace: str, limit: float, now: float) -> bool:
        """Returns whether a workspace exceeds its share of the limit; never if it is alone."""
        own = self._demands.get(workspace)
        if own is None or len(self._demands) == 1:
            return False
        # A workspace that briefly runs slightly more than its part of the limit does no harm.
        # One that runs far more does, even before its average shows it.
        part = self._part_of_limit(own, limit)
        return max(own.mean(now), own.running / BURST_FACTOR) > part

    def room_reserved_for_others(self, workspace: str, limit: float, now: float) -> float:
        """Returns how much of the limit a workspace must currently leave free for others."""
        if not self.is_over(workspace, limit, now):
            return 0.0
        needed = running = 0.0
        for name, demand in list(self._demands.items()):
            mean = demand.mean(now)
            if mean < MIN_MEAN_DEMAND and not demand.running and not demand.waiting:
                self._shares -= self._demands.pop(name).share
            elif name != workspace and mean <= self._part_of_limit(demand, limit):
                needed += mean
                running += demand.running
        own_part = self._part_of_limit(self._demands[workspace], limit)
        needed = min(needed + RESERVE_MARGIN * math.sqrt(needed), limit - own_part)
        return max(0.0, needed - running)

    def _part_of_limit(self, demand: WorkspaceDemand, limit: float) -> float:
        return limit * demand.share / max(self._shares, 1e-9)
