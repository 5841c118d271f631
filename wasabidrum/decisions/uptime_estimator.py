"""Estimates the uptime of a sidecar incarnation at an entry.

Load pattern: on busy links, statuses arrive with delays of milliseconds to seconds. An entry that
treats a delayed status as fresh underestimates the uptime of the sidecar. Deadlines that it
converts to the sidecar's time are then too early, and short calls are refused.
"""

WINDOW_SECONDS = 30.0


class UptimeEstimator:
    """The largest recent difference between a sidecar's uptime and this process's clock.

    Covers the current and the previous window.
    """

    __slots__ = ("_current", "_previous", "_window_ends_at")

    def __init__(self, uptime: float, received_at: float) -> None:
        self._current = self._previous = uptime - received_at
        self._window_ends_at = received_at + WINDOW_SECONDS

    def record(self, uptime: float, received_at: float) -> None:
        """Records the uptime in a status and the time at which it arrived, in seconds."""
        difference = uptime - received_at
        if received_at >= self._window_ends_at:
            self._previous = self._current
            self._current = difference
            self._window_ends_at = received_at + WINDOW_SECONDS
        self._current = max(self._current, difference)

    def uptime(self, now: float) -> float:
        """Returns a lower bound of the sidecar's uptime, in seconds."""
        return now + max(self._current, self._previous)
