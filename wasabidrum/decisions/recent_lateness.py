"""By how much an endpoint has lately begun requests later than was forecast.

Load pattern: an endpoint's link is narrow and carries weights, or its queue is longer than told.
Requests reach it seconds after they were sent, and what is sent behind them, a reset too, comes
later still. A request that is placed there before a bound begins after it, and nothing can call
it back: on a day with links of 1 Mbit/s, 11 requests that had been recalled 0.4 s before a bound
reached their engine 1.0 s after it and began, because the reset came 0.5 s behind them.

So where a bound is near, what is placed allows for the worst lateness seen lately, of requests
that have begun and of those that still wait.
"""

KEPT_SECONDS = 5.0


class RecentLateness:
    """The worst lateness of the last seconds."""

    __slots__ = ("_worst", "_seen_at")

    def __init__(self) -> None:
        self._worst = 0.0
        self._seen_at = float("-inf")

    def take(self, seconds: float, now: float) -> None:
        """Takes by how much a request began, or has not begun, later than forecast."""
        if seconds >= self.worst(now):
            self._worst = max(0.0, seconds)
            self._seen_at = now

    def worst(self, now: float) -> float:
        """Returns the worst lateness of the last seconds; zero where all were in time."""
        return self._worst if now - self._seen_at <= KEPT_SECONDS else 0.0
