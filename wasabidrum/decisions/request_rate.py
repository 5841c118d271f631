"""Estimates how many requests per second an entry sends or refuses, by the latest requests."""

import math

DECAY_SECONDS = 1.0


class RequestRate:
    """An exponentially decaying rate."""

    __slots__ = ("_decayed_count", "_updated_at")

    def __init__(self) -> None:
        self._decayed_count = 0.0
        self._updated_at = 0.0

    def record(self, now: float) -> None:
        """Counts one request."""
        self._decayed_count = self.per_second(now) * DECAY_SECONDS + 1.0
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Returns the requests per second."""
        return (
            self._decayed_count
            * math.exp(-(now - self._updated_at) / DECAY_SECONDS)
            / DECAY_SECONDS
        )
