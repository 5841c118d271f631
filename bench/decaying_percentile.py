"""A percentile over decaying samples in buckets, an alternative to the moving average.

After the Vertical Pod Autoscaler design proposal (kubernetes/community, "Recommendation
model"): usage is taken as independent samples of one distribution, and a request is set to a
high percentile of it. Buckets grow by a twentieth and samples lose half their weight per
half-life. Only the bench uses it: the average had the smaller error, see
docs/measurements/load.md.
"""

import collections
import math

BUCKET_GROWTH = 1.05


class DecayingPercentile:
    """A percentile estimate; each new sample has more weight than the one before."""

    def __init__(self, part: float, half_life: float) -> None:
        self._part = part
        self._growth = 2.0 ** (1.0 / half_life)
        self._weight = 1.0
        self._weights: collections.Counter[int] = collections.Counter()

    def learn(self, value: float) -> None:
        """Adds a sample."""
        self._weight *= self._growth
        self._weights[round(math.log(max(value, 1.0), BUCKET_GROWTH))] += self._weight

    def estimate(self) -> float:
        """Returns the percentile, or zero before the first sample."""
        left = self._part * sum(self._weights.values())
        for bucket in sorted(self._weights):
            left -= self._weights[bucket]
            if left <= 0.0:
                return BUCKET_GROWTH**bucket
        return 0.0
