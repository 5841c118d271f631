"""How many requests of this entry an endpoint may run at once.

Load pattern: endpoints differ, slow down and are shared by a number of entries that nobody
knows. With a fixed number, the queue forms inside the engine, where class and share do not
count, and time to the first token grows with every request in it; or the engine idles.

The limit grows while first tokens come as soon as they can, and shrinks when they come late
(against the least time seen in a window) or when the endpoint reports that requests wait.
It doubles up to the first sign of a queue (slow start), then adds and cuts (AIMD), which
gives entries that share an endpoint equal parts. A fraction is meaningful: limits of all
endpoints of a model are added up before they are rounded.

Silence changes nothing: no limit shrinks for want of reports, so that lost reports cannot
stop the fleet.
"""

CUT = 0.85
CUT_PAUSE_SECONDS = 1.0
GROWTH = 0.01
IDLE_FRACTION = 0.8
IDLE_GROWTH = 0.5
USUAL_SLOTS = 8
LONGEST_GROWTH_SECONDS = 1.0
LATE_SECONDS = 0.3
QUEUE_SECONDS = 0.1
INITIAL_LIMIT = 1.0
SMALLEST_LIMIT = 0.2
LIMITED_FRACTION = 0.7
LARGEST_LIMIT = 256.0
WINDOW_SECONDS = 10.0


class WindowedMinimum:
    """The least of what was seen in the last one or two windows."""

    __slots__ = ("_current", "_previous", "_ends")

    def __init__(self) -> None:
        self._current = float("inf")
        self._previous = float("inf")
        self._ends = 0.0

    @property
    def value(self) -> float:
        """The least, or infinity."""
        return min(self._current, self._previous)

    def take(self, sample: float, now: float) -> None:
        """Takes a sample."""
        if now >= self._ends:
            self._previous = self._current
            self._current = float("inf")
            self._ends = now + WINDOW_SECONDS
        self._current = min(self._current, sample)


class EndpointLimit:
    """The concurrency limit of one endpoint for one entry."""

    __slots__ = ("_limit", "_slots", "_least", "_cut_at", "_slow_start", "_initial")
    __slots__ += ("_grown_at", "_queue_until", "_idle")

    def __init__(self, initial: float = INITIAL_LIMIT) -> None:
        self._initial = initial
        self._limit = initial
        self._slots = 0
        self._least = WindowedMinimum()
        self._cut_at = float("-inf")
        self._slow_start = True
        self._grown_at = float("-inf")
        self._queue_until = float("-inf")
        self._idle = False

    @property
    def value(self) -> float:
        """How many requests may run at once; may be a fraction."""
        return self._limit

    @property
    def places(self) -> int:
        """How many requests this endpoint alone may run at once."""
        return max(1, -int(-self._limit // 1))

    def restart(self) -> None:
        """Starts small again, after the endpoint failed or was replaced."""
        self._limit = min(self._limit, self._initial)
        self._slow_start = True

    def record_report(
        self, running: float, waiting: float, slots: int, run_seconds: float, now: float
    ) -> None:
        """Records what an endpoint reports, averaged over some reports.

        Args:
          run_seconds: How long requests run on average, or zero where that is not known.
        """
        self._slots = slots
        self._idle = running + waiting < IDLE_FRACTION * slots
        tolerated = QUEUE_SECONDS * slots / run_seconds if run_seconds else 0.0
        if waiting > max(1.0, tolerated):
            self._queue_until = now + CUT_PAUSE_SECONDS
            self._shrink(now)

    def record_first_token(self, seconds: float, in_progress: int, now: float) -> None:
        """Records how long an answer took to begin, and how many requests ran then."""
        self._least.take(seconds, now)
        if seconds - self._least.value > LATE_SECONDS:
            self._shrink(now)
        elif in_progress >= LIMITED_FRACTION * self._limit and now >= self._queue_until:
            self._grow(now)

    def record_failure(self, now: float) -> None:
        """Records a refusal or a failure."""
        self._shrink(now)

    def _grow(self, now: float) -> None:
        # Without a ceiling at what the endpoint says it can run, a quiet hour would let the
        # limit grow far past it, and the next burst would land in the engine's own queue.
        ceiling = float(self._slots) if self._slots else LARGEST_LIMIT
        step = 1.0
        if not self._slow_start:
            seconds = min(LONGEST_GROWTH_SECONDS, now - self._grown_at)
            step = GROWTH * (self._slots or USUAL_SLOTS) * seconds
            if self._idle:
                step += IDLE_GROWTH * self._limit * seconds
        self._grown_at = now
        self._limit = min(ceiling, self._limit + step)

    def _shrink(self, now: float) -> None:
        self._slow_start = False
        if now - self._cut_at < CUT_PAUSE_SECONDS:
            return
        self._cut_at = now
        self._limit = max(SMALLEST_LIMIT, self._limit * CUT)
