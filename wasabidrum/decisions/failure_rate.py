"""The recent failure rate of an endpoint.

Load pattern: an endpoint fails, rejects or hangs on two of five requests, answers the others and
passes its health checks. Two consecutive failures eject it for a moment and one good answer
returns it to service, so it goes on failing a fifth of the requests that all endpoints receive.
Its failure rate stays high between the good answers and counts against it whenever another
endpoint could process the request as well.
"""

SAMPLE_WEIGHT = 0.15
HALF_LIFE_SECONDS = 3.0


class FailureRate:
    """A failure rate between zero and one that decays exponentially with time."""

    __slots__ = ("_rate", "_updated_at")

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0

    def value(self, now: float) -> float:
        """Returns the rate at a time."""
        return self._rate * 0.5 ** ((now - self._updated_at) / HALF_LIFE_SECONDS)

    def record(self, failed: bool, now: float) -> None:
        """Records the end of a request."""
        before = self.value(now)
        self._rate = before + SAMPLE_WEIGHT * (float(failed) - before)
        self._updated_at = now
