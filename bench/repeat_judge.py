"""Judges by what endpoints saw how often entries sent requests more than once."""

import bisect
import collections
import collections.abc


class RepeatJudge:
    """What callers have sent, and what has arrived at the endpoints of a service.

    A request is one that a caller has sent, by its name. Times are in seconds, by one clock.
    """

    def __init__(self, fraction: float, extra: float, window: float) -> None:
        """Creates a judge without records.

        Args:
          fraction: The repeats that each request allows.
          extra: The repeats that are allowed beyond these in each window.
          window: The length of the window.
        """
        self._fraction = fraction
        self._extra = extra
        self._window = window
        self._sent_at: list[float] = []
        self._arrivals: collections.Counter[str] = collections.Counter()
        self._repeated_at: list[float] = []

    @property
    def repeats(self) -> int:
        """How many arrivals came beyond the first of each request."""
        return len(self._repeated_at)

    def record_request(self, at: float) -> None:
        """Records that a caller has sent a request."""
        self._sent_at.append(at)

    def record_arrival(self, name: str, at: float) -> None:
        """Records that a request has reached an endpoint."""
        self._arrivals[name] += 1
        if self._arrivals[name] > 1:
            self._repeated_at.append(at)

    def repeated(self, once: collections.abc.Callable[[str], bool]) -> list[str]:
        """Returns the requests that reached endpoints twice and may run only once.

        Args:
          once: Whether a request may run only once.
        """
        return [name for name, count in self._arrivals.items() if count > 1 and once(name)]

    def over_budget(self) -> list[str]:
        """Returns the windows with more repeats than allowed, each by its first repeat's time.

        The requests are those of the same window, of the one before or of the one half a window
        before, whichever has most.
        """
        found = []
        repeated_at, sent_at = sorted(self._repeated_at), sorted(self._sent_at)
        for place, start in enumerate(repeated_at):
            count = bisect.bisect_left(repeated_at, start + self._window) - place
            starts = (start, start - self._window / 2.0, start - self._window)
            sent = max(
                bisect.bisect_left(sent_at, each + self._window) - bisect.bisect_left(sent_at, each)
                for each in starts
            )
            if count > self._fraction * sent + self._extra:
                found.append(f"{start:.3f}: {count} of {sent} requests")
        return found
