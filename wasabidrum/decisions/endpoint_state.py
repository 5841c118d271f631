"""What the decisions of one entry keep of one endpoint."""

import math
import random

from ..core.load import Load
from .endpoint_health import EndpointHealth
from .endpoint_limit import EndpointLimit

RECENT_SECONDS = 5.0
REPORT_AVERAGE_SECONDS = 2.0
TRUST_SECONDS = 4.0


class EndpointState:
    """Limit, health, own work and the last report of one endpoint.

    Attributes:
      tier: 0 in the entry's data centre, 1 in its region, 2 in another region.
      in_progress: Requests of this entry that run there.
      streaming: Those of them that have had their first token and not their last.
      progress_at: When any of them last had a token.
    """

    __slots__ = ("name", "tier", "limit", "health", "in_progress", "streaming", "progress_at")
    __slots__ += (
        "_load",
        "_reported_at",
        "_own_at_report",
        "_queue_mean",
        "_running_mean",
        "_trust",
        "_recent",
        "_recent_at",
    )

    def __init__(self, name: str, tier: int, rng: random.Random) -> None:
        self.name = name
        self.tier = tier
        self.limit = EndpointLimit()
        self.health = EndpointHealth(rng)
        self.in_progress = 0
        self.streaming = 0
        self.progress_at = 0.0
        self._load = Load()
        self._reported_at = float("-inf")
        self._own_at_report = 0
        self._queue_mean = 0.0
        self._running_mean = 0.0
        self._trust = 0.0
        self._recent = 0.0
        self._recent_at = 0.0

    @property
    def slots(self) -> int:
        """How many requests the endpoint says it runs at once."""
        return max(1, self._load.slots)

    def pace(self, now: float) -> float:
        """Returns seconds per token now; zero where too few were seen.

        A token that is overdue counts with the time for which it has been awaited. Without it
        an endpoint that slows down together with others seems as fast as ever until its next
        token, and whichever of them sends one first is held to a pace of before.
        """
        seconds = self.health.token_seconds
        if not seconds or not self.streaming:
            return seconds
        return max(seconds, now - self.progress_at)

    def record_report(self, load: Load, run_seconds: float, now: float) -> None:
        """Records a report of load, and how long requests run on average."""
        keep = math.exp((self._reported_at - now) / REPORT_AVERAGE_SECONDS)
        self._queue_mean = keep * self._queue_mean + (1.0 - keep) * load.waiting
        self._running_mean = keep * self._running_mean + (1.0 - keep) * load.running
        self._load = load
        self._reported_at = now
        self._own_at_report = self.in_progress
        # A report is up to 1 s old when it arrives. How things stood then says little where
        # requests run for a fraction of that, and nearly all where they run for much longer.
        # Followed blindly, it sends every entry to the one that looked idle.
        self._trust = math.exp(-TRUST_SECONDS / run_seconds) if run_seconds else 0.0
        self.limit.record_report(self._running_mean, self._queue_mean, load.slots, run_seconds, now)

    def load_by_others(self, now: float) -> float:
        """Returns what others probably run there, as far as the last report can be trusted."""
        others = max(0, self._load.running + self._load.waiting - self._own_at_report)
        return others * self._trust * self._freshness(now)

    def usual_queue(self, now: float) -> float:
        """Returns how many requests wait there on average, by the reports of some seconds."""
        return self._queue_mean * self._freshness(now)

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

    def _freshness(self, now: float) -> float:
        return math.exp(min(0.0, self._reported_at - now) / REPORT_AVERAGE_SECONDS)
