"""Whether this process slept, and whether what it believes was confirmed since.

Load pattern: instances pause for seconds, and the process wakes up believing what was true
before. Messages that waited in its sockets look fresh and are not. Without this check it
would send orders under a revision that the fleet has left, and call every peer dead because
none was heard for the length of its own sleep.

All times are of a clock that counts while the instance is suspended; by one that stands still
then, a suspension would be no pause.
"""

PAUSE_SECONDS = 1.0
VERIFIED_SECONDS = 3.0


class ClockGap:
    """Notices pauses of the process from the turns of its event loop.

    Attributes:
      pauses: How many there were.
      paused_seconds: How long they were together.
    """

    __slots__ = ("_turn_at", "_woke_at", "_verified_at", "pauses", "paused_seconds")

    def __init__(self, now: float) -> None:
        self._turn_at = now
        self._woke_at = now
        self._verified_at = float("-inf")
        self.pauses = 0
        self.paused_seconds = 0.0

    def observe(self, now: float) -> float:
        """Takes a turn of the loop; returns the length of the pause before it, or zero.

        Whoever is about to act on what it believes calls this first, since after a pause
        any task may be the first to run.
        """
        length = now - self._turn_at
        self._turn_at = now
        if length <= PAUSE_SECONDS:
            return 0.0
        self._woke_at = now
        self.pauses += 1
        self.paused_seconds += length
        return length

    def confirm(self, asked_at: float, now: float) -> None:
        """Takes that someone who was asked at a time knows of nothing newer."""
        self.observe(now)
        # An answer to a question from before the pause may have been written before it too.
        if asked_at >= self._woke_at:
            self._verified_at = max(self._verified_at, asked_at)

    def hear(self, now: float) -> None:
        """Takes word that came unasked and tells of nothing newer.

        After a pause such word waited in the socket and proves nothing, until somebody has
        answered a question.
        """
        self.observe(now)
        if self._verified_at >= self._woke_at:
            self._verified_at = now

    def recently_verified(self, now: float) -> bool:
        """Returns whether this process may act on its revision without asking again."""
        self.observe(now)
        return self._verified_at >= self._woke_at and now - self._verified_at <= VERIFIED_SECONDS
