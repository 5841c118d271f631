"""Rate limit for routine log lines.

Load pattern: callers flood an entry, or one retries without pause. There is a line for each
placement and each complete answer, so the lines grow with the requests: writing them takes
processor time from the requests, and an overloaded log store drops the lines that matter most. So
lines about successful work are limited per second and only counted beyond that; every refusal,
failure, retry, ejection, command and state change is written.
"""

ROUTINE_LINES_PER_SECOND = 600


class LineRateLimit:
    """Counts the routine lines that may still be written in the current second."""

    __slots__ = ("_second", "_left", "_dropped")

    def __init__(self) -> None:
        self._second = 0
        self._left = ROUTINE_LINES_PER_SECOND
        self._dropped = 0

    def allow(self, now: float) -> bool:
        """Returns whether one more routine line may be written, and counts it."""
        if int(now) != self._second:
            self._second = int(now)
            self._left = ROUTINE_LINES_PER_SECOND
        if self._left <= 0:
            self._dropped += 1
            return False
        self._left -= 1
        return True

    def reset_dropped_count(self, now: float) -> int:
        """Returns the number of lines dropped in earlier seconds, and resets the count."""
        if not self._dropped or int(now) == self._second:
            return 0
        dropped, self._dropped = self._dropped, 0
        return dropped
