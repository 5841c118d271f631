"""How many requests an entry sends in a second, by its latest ones."""

import math

MEMORY_SECONDS = 1.0


class SendRate:
    """A rate that forgets what is long past."""

    __slots__ = ("_sum", "_at")

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def take(self, now: float) -> None:
        """Counts one request."""
        self._sum = self.per_second(now) * MEMORY_SECONDS + 1.0
        self._at = now

    def per_second(self, now: float) -> float:
        """Returns requests a second."""
        return self._sum * math.exp(-(now - self._at) / MEMORY_SECONDS) / MEMORY_SECONDS
