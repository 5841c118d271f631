"""Limits how many requests of this entry an endpoint may run at once.

Load pattern: endpoints differ in speed, slow down, and are shared by an unknown number of
entries. With a fixed limit, either the queue forms inside the engine, where priority class and
share do not count and the time to the first token grows with every request, or the engine
idles.

The limit grows while first tokens arrive promptly. It shrinks when they are late, compared with
the minimum seen in a time window, or when the endpoint reports waiting requests. It doubles
until the first sign of a queue (slow start), then follows additive increase and multiplicative
decrease (AIMD), which gives entries that share an endpoint equal parts. A fraction is
meaningful: the limits of all endpoints of a model are added before rounding.

Silence does not change the limit: a loss of reports must not stop the fleet.
"""

DECREASE_FACTOR = 0.85
DECREASE_INTERVAL_SECONDS = 1.0
GROWTH_PER_SECOND = 0.01
IDLE_FRACTION = 0.8
IDLE_GROWTH_PER_SECOND = 0.5
DEFAULT_SLOTS = 8
MAX_GROWTH_SECONDS = 1.0
LATE_SECONDS = 0.3
TOLERATED_QUEUE_SECONDS = 0.1
INITIAL_LIMIT = 1.0
MIN_LIMIT = 0.2
LIMITED_FRACTION = 0.7
MAX_LIMIT = 256.0
WINDOW_SECONDS = 10.0


class WindowedMinimum:
    """The minimum of the samples in the current and the previous time window."""

    __slots__ = ("_current", "_previous", "_ends")

    def __init__(self) -> None:
        self._current = float("inf")
        self._previous = float("inf")
        self._ends = 0.0

    @property
    def value(self) -> float:
        """The minimum; infinity without samples."""
        return min(self._current, self._previous)

    def add(self, sample: float, now: float) -> None:
        """Adds a sample."""
        if now >= self._ends:
            self._previous = self._current
            self._current = float("inf")
            self._ends = now + WINDOW_SECONDS
        self._current = min(self._current, sample)


class EndpointLimit:
    """The concurrency limit of one endpoint for one entry."""

    __slots__ = ("_limit", "_slots", "_min_first_token", "_decreased_at", "_slow_start", "_initial")
    __slots__ += ("_increased_at", "_no_growth_until", "_idle")

    def __init__(self, initial: float = INITIAL_LIMIT) -> None:
        self._initial = initial
        self._limit = initial
        self._slots = 0
        self._min_first_token = WindowedMinimum()
        self._decreased_at = float("-inf")
        self._slow_start = True
        self._increased_at = float("-inf")
        self._no_growth_until = float("-inf")
        self._idle = False

    @property
    def value(self) -> float:
        """How many requests may run at once; can be a fraction."""
        return self._limit

    @property
    def max_requests(self) -> int:
        """The limit of this endpoint alone, rounded up; at least one."""
        return max(1, -int(-self._limit // 1))

    def restart(self) -> None:
        """Restarts slow start, after the endpoint failed or was replaced."""
        self._limit = min(self._limit, self._initial)
        self._slow_start = True

    def record_report(
        self, running: float, waiting: float, slots: int, run_seconds: float, now: float
    ) -> None:
        """Records the reported load of an endpoint, averaged over several reports.

        Args:
          run_seconds: How long requests run on average; zero if that is not known.
        """
        self._slots = slots
        self._idle = running + waiting < IDLE_FRACTION * slots
        tolerated = TOLERATED_QUEUE_SECONDS * slots / run_seconds if run_seconds else 0.0
        if waiting > max(1.0, tolerated):
            self._no_growth_until = now + DECREASE_INTERVAL_SECONDS
            self._decrease(now)

    def record_first_token(self, seconds: float, in_progress: int, now: float) -> None:
        """Records the time to the first token and the number of requests then in progress."""
        self._min_first_token.add(seconds, now)
        if seconds - self._min_first_token.value > LATE_SECONDS:
            self._decrease(now)
        elif in_progress >= LIMITED_FRACTION * self._limit and now >= self._no_growth_until:
            self._increase(now)

    def record_failure(self, now: float) -> None:
        """Records a rejected or failed request."""
        self._decrease(now)

    def _increase(self, now: float) -> None:
        # The limit does not exceed the reported number of slots. Otherwise it would grow far
        # beyond it in quiet times, and the next burst would fill the engine's own queue.
        ceiling = float(self._slots) if self._slots else MAX_LIMIT
        step = 1.0
        if not self._slow_start:
            seconds = min(MAX_GROWTH_SECONDS, now - self._increased_at)
            step = GROWTH_PER_SECOND * (self._slots or DEFAULT_SLOTS) * seconds
            if self._idle:
                step += IDLE_GROWTH_PER_SECOND * self._limit * seconds
        self._increased_at = now
        self._limit = min(ceiling, self._limit + step)

    def _decrease(self, now: float) -> None:
        self._slow_start = False
        if now - self._decreased_at < DECREASE_INTERVAL_SECONDS:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
