"""Which log lines are written when there are too many of them.

Load pattern: callers flood an entry, or one retries without pause. A line for each placement and
each whole answer grows with them: writing takes processor time from the requests themselves, and
whoever keeps the logs drops what they need most. So lines of what went well are bounded by the
second and counted beyond that; every refusal, failure, retry, ejection, order and change of
belief is written.
"""

ROUTINE_LINES_PER_SECOND = 600


class LineBudget:
    """The routine lines that may still be written in this second."""

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

    def take_dropped(self, now: float) -> int:
        """Returns how many were left out in the seconds before this one, once."""
        if not self._dropped or int(now) == self._second:
            return 0
        dropped, self._dropped = self._dropped, 0
        return dropped
