"""Estimates, at an entry, how long a sidecar incarnation has run.

Load pattern: statuses that arrive with delays of milliseconds to seconds when links are busy.

Without it an entry that takes a delayed status for a fresh one thinks the sidecar younger
than it is; deadlines told in the sidecar's time are then early, and short calls are refused.
"""

WINDOW_SECONDS = 30.0


class KeyedClock:
    """The largest difference between a sidecar's uptime and this process's clock of late."""

    __slots__ = ("_current", "_previous", "_window_ends")

    def __init__(self, uptime: float, heard_at: float) -> None:
        self._current = self._previous = uptime - heard_at
        self._window_ends = heard_at + WINDOW_SECONDS

    def take(self, uptime: float, heard_at: float) -> None:
        """Takes the uptime that a status told when it was heard, both in seconds."""
        difference = uptime - heard_at
        if heard_at >= self._window_ends:
            self._previous = self._current
            self._current = difference
            self._window_ends = heard_at + WINDOW_SECONDS
        self._current = max(self._current, difference)

    def uptime(self, now: float) -> float:
        """Returns the least that the sidecar's uptime can be now, in seconds."""
        return now + max(self._current, self._previous)
