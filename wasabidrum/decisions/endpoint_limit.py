"""How many requests of this entry an endpoint may run at once.

Load pattern: endpoints differ, slow down and are shared by a number of entries that nobody
knows. With a fixed number, the queue forms inside the engine, where class and share do not
count, and time to the first token grows with every request in it; or the engine idles.

The limit grows while first tokens come as soon as they can, and shrinks when they come late
(against the least time seen in a window) or when the endpoint reports that requests wait.
It doubles up to the first sign of a queue (slow start), then adds and cuts (AIMD), which
gives entries that share an endpoint equal parts. A fraction is meaningful: limits of all
endpoints of a model are added up before they are rounded.

Silence changes nothing: a report older than REPORT_EXPIRES_SECONDS says nothing, and no
limit shrinks for want of reports, so that lost reports cannot stop the fleet.

Grounds:
- LATE_SECONDS: a quarter of the 1.2 s that the users allow for the first token; prompts of
  some hundred words prefill within it, so that long prompts are not taken for a queue.
- WAITING_TOLERATED: a request waiting for each eight slots keeps slots busy over the round
  trip between a slot's end and the entry's next request.
- Growth of a tenth of the limit a second, and 0.02, over all entries that share an endpoint
  is about what one cut takes; the constant part is what makes their limits even out.
- CUT at most once in CUT_PAUSE_SECONDS: reports lag by up to 1 s, and a cut shows only then;
  cutting for the same queue again and again would collapse the limit.
"""

CUT = 0.85
CUT_PAUSE_SECONDS = 1.0
GROWTH_FRACTION = 0.1
GROWTH_CONSTANT = 0.02
LONGEST_GROWTH_SECONDS = 1.0
LATE_SECONDS = 0.3
WAITING_TOLERATED = 1.0 / 8.0
REPORT_EXPIRES_SECONDS = 2.0
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
    __slots__ += ("_grown_at", "_queue_until")

    def __init__(self, initial: float = INITIAL_LIMIT) -> None:
        self._initial = initial
        self._limit = initial
        self._slots = 0
        self._least = WindowedMinimum()
        self._cut_at = float("-inf")
        self._slow_start = True
        self._grown_at = float("-inf")
        self._queue_until = float("-inf")

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

    def take_report(self, waiting: int, slots: int, age: float, now: float) -> None:
        """Takes an endpoint's report of its queue."""
        if age > REPORT_EXPIRES_SECONDS or slots <= 0:
            return
        self._slots = slots
        if waiting > max(1.0, slots * WAITING_TOLERATED):
            self._queue_until = now + CUT_PAUSE_SECONDS
            self._shrink(now)

    def take_first_token(self, seconds: float, in_progress: int, now: float) -> None:
        """Takes how long an answer took to begin, and how many requests ran then."""
        self._least.take(seconds, now)
        if seconds - self._least.value > LATE_SECONDS:
            self._shrink(now)
        elif in_progress >= LIMITED_FRACTION * self._limit and now >= self._queue_until:
            self._grow(now)

    def take_failure(self, now: float) -> None:
        """Takes a refusal or a failure."""
        self._shrink(now)

    def _grow(self, now: float) -> None:
        # Without a ceiling at what the endpoint says it can run, a quiet hour would let the
        # limit grow far past it, and the next burst would land in the engine's own queue.
        ceiling = self._slots * (1.0 + WAITING_TOLERATED) if self._slots else LARGEST_LIMIT
        step = 1.0
        if not self._slow_start:
            seconds = min(LONGEST_GROWTH_SECONDS, now - self._grown_at)
            step = (GROWTH_FRACTION * self._limit + GROWTH_CONSTANT) * seconds
        self._grown_at = now
        self._limit = min(ceiling, self._limit + step)

    def _shrink(self, now: float) -> None:
        self._slow_start = False
        if now - self._cut_at < CUT_PAUSE_SECONDS:
            return
        self._cut_at = now
        self._limit = max(SMALLEST_LIMIT, self._limit * CUT)
