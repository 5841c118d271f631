"""How often an endpoint has failed lately.

Load pattern: an endpoint fails, sheds or hangs on two of five requests and answers the others
well, and its health check is good. Two failures in a row take it out of service for a moment and
one good answer brings it back, so that it goes on failing a fifth of what all endpoints get. Its
rate of failures stays high through the good answers in between, and counts against it whenever
another endpoint could take the request as well.
"""

WEIGHT = 0.15
HALF_LIFE_SECONDS = 3.0


class FailureRate:
    """A rate between zero and one that fades with time."""

    __slots__ = ("_rate", "_at")

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0

    def value(self, now: float) -> float:
        """Returns the rate."""
        return self._rate * 0.5 ** ((now - self._at) / HALF_LIFE_SECONDS)

    def take(self, failed: bool, now: float) -> None:
        """Takes the end of one request."""
        before = self.value(now)
        self._rate = before + WEIGHT * (float(failed) - before)
        self._at = now
