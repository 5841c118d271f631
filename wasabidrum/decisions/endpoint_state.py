"""What the decisions of one entry keep of one endpoint."""

import math
import random

from ..core.load import Load
from .endpoint_health import EndpointHealth
from .endpoint_limit import EndpointLimit

RECENT_SECONDS = 5.0
REPORT_TRUSTED_SECONDS = 1.0


class EndpointState:
    """Limit, health, own work and the last report of one endpoint.

    Attributes:
      tier: 0 in the entry's data centre, 1 in its region, 2 in another region.
      in_progress: Requests of this entry that run there.
    """

    __slots__ = ("name", "tier", "limit", "health", "in_progress")
    __slots__ += ("_load", "_reported_at", "_own_at_report", "_recent", "_recent_at")

    def __init__(self, name: str, tier: int, rng: random.Random) -> None:
        self.name = name
        self.tier = tier
        self.limit = EndpointLimit()
        self.health = EndpointHealth(rng)
        self.in_progress = 0
        self._load = Load()
        self._reported_at = float("-inf")
        self._own_at_report = 0
        self._recent = 0.0
        self._recent_at = 0.0

    @property
    def slots(self) -> int:
        """How many requests the endpoint says it runs at once."""
        return max(1, self._load.slots)

    def take_report(self, load: Load, now: float, counts: bool) -> None:
        """Takes a report of load; counts says whether its queue speaks for the limit."""
        self._load = load
        self._reported_at = now
        self._own_at_report = self.in_progress
        if counts:
            self.limit.take_report(load.waiting, load.slots, 0.0, now)

    def occupied(self, now: float) -> float:
        """Returns how many requests probably run there now.

        What this entry sent is known exactly; what others sent is known late, and counts for
        less the older the report. Counting an old report in full sends every entry to the
        endpoint that looked idle a second ago.
        """
        reported = self._load.running + self._load.waiting
        others = max(0, reported - self._own_at_report)
        age = max(0.0, now - self._reported_at)
        return self.in_progress + others * math.exp(-age / REPORT_TRUSTED_SECONDS)

    def recent_work(self, now: float) -> float:
        """Returns the requests sent there lately, older ones counting for less."""
        return self._recent * math.exp((self._recent_at - now) / RECENT_SECONDS)

    def placed(self, now: float) -> None:
        """Counts a request that is sent there."""
        self._recent = self.recent_work(now) + 1.0
        self._recent_at = now
        self.in_progress += 1
        self.health.placed()

    def ended(self) -> None:
        """Counts a request that ended there."""
        self.in_progress -= 1
