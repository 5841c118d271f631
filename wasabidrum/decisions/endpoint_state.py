"""Holds what one entry knows about the state of one endpoint."""

import math
import random

from ..core.load import Load
from .endpoint_health import EndpointHealth
from .endpoint_limit import EndpointLimit

RECENT_REQUESTS_SECONDS = 5.0
REPORT_AVERAGE_SECONDS = 2.0
REPORT_WEIGHT_SECONDS = 4.0


class EndpointState:
    """Concurrency limit, health, own requests and last load report of one endpoint.

    Attributes:
      tier: 0 in the entry's data centre, 1 in its region, 2 in another region.
      in_progress: Number of this entry's requests that run there.
      streaming: How many of them have received their first token but not their last.
      progress_at: Time of the last token received by any of them.
    """

    __slots__ = ("name", "tier", "limit", "health", "in_progress", "streaming", "progress_at")
    __slots__ += (
        "_load",
        "_reported_at",
        "_own_at_report",
        "_queue_mean",
        "_running_mean",
        "_report_weight",
        "_recent_requests",
        "_recent_requests_at",
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
        self._report_weight = 0.0
        self._recent_requests = 0.0
        self._recent_requests_at = 0.0

    @property
    def slots(self) -> int:
        """How many requests the endpoint reports it can run at once."""
        return max(1, self._load.slots)

    def seconds_per_token(self, now: float) -> float:
        """Returns the current seconds per token; zero if too few tokens were received.

        If the time since the last token exceeds the average, that time is returned. Otherwise,
        when several endpoints slow down together, each would appear as fast as before until
        its next token, and the first to deliver one would be compared with outdated values of
        its peers.
        """
        seconds = self.health.token_seconds
        if not seconds or not self.streaming:
            return seconds
        return max(seconds, now - self.progress_at)

    def record_report(self, load: Load, run_seconds: float, now: float) -> None:
        """Records a load report.

        Args:
          run_seconds: How long requests run on average; zero if that is not known.
        """
        keep = math.exp((self._reported_at - now) / REPORT_AVERAGE_SECONDS)
        self._queue_mean = keep * self._queue_mean + (1.0 - keep) * load.waiting
        self._running_mean = keep * self._running_mean + (1.0 - keep) * load.running
        self._load = load
        self._reported_at = now
        self._own_at_report = self.in_progress
        # A report is up to 1 s old when it arrives. It says little about the present if
        # requests run for a fraction of that time, and nearly everything if they run for much
        # longer. With full weight, it would send all entries to the endpoint that looked idle.
        self._report_weight = math.exp(-REPORT_WEIGHT_SECONDS / run_seconds) if run_seconds else 0.0
        self.limit.record_report(self._running_mean, self._queue_mean, load.slots, run_seconds, now)

    def load_of_other_entries(self, now: float) -> float:
        """Returns the estimated requests of other entries there, discounted by the report's age
        and by how long requests run."""
        others = max(0, self._load.running + self._load.waiting - self._own_at_report)
        return others * self._report_weight * self._freshness(now)

    def mean_queue(self, now: float) -> float:
        """Returns the queue length there, averaged over the reports of the last seconds."""
        return self._queue_mean * self._freshness(now)

    def recent_requests(self, now: float) -> float:
        """Returns the number of requests sent there recently, with exponential decay."""
        return self._recent_requests * math.exp(
            (self._recent_requests_at - now) / RECENT_REQUESTS_SECONDS
        )

    def record_placed(self, now: float) -> None:
        """Records that a request was sent there."""
        self._recent_requests = self.recent_requests(now) + 1.0
        self._recent_requests_at = now
        self.in_progress += 1
        self.health.record_placed()

    def record_ended(self) -> None:
        """Records that a request ended there."""
        self.in_progress -= 1

    def _freshness(self, now: float) -> float:
        return math.exp(min(0.0, self._reported_at - now) / REPORT_AVERAGE_SECONDS)
