"""Tracks how much later than forecast an endpoint has recently begun requests.

Load pattern: an endpoint's link is narrow and carries weights, or its queue is longer than it
reported. Requests reach it seconds after they were sent, and whatever is sent after them, a reset
included, arrives later still. A request that is placed there shortly before a bound begins after
it, and cannot be recalled: on links of 1 Mbit/s, 11 requests that had been recalled
0.4 s before a bound reached their engine 1.0 s after it and began, because the reset arrived 0.5 s
behind them.

So near a bound, placing allows for the worst lateness seen recently, of requests that have begun
and of those that still wait.
"""

WINDOW_SECONDS = 5.0


class RecentLateness:
    """The worst lateness within the last WINDOW_SECONDS."""

    __slots__ = ("_worst", "_seen_at")

    def __init__(self) -> None:
        self._worst = 0.0
        self._seen_at = float("-inf")

    def record(self, seconds: float, now: float) -> None:
        """Records how much later than forecast a request began, or how late it is so far."""
        if seconds >= self.worst(now):
            self._worst = max(0.0, seconds)
            self._seen_at = now

    def worst(self, now: float) -> float:
        """Returns the worst recent lateness in seconds; zero where all requests were in time."""
        return self._worst if now - self._seen_at <= WINDOW_SECONDS else 0.0
