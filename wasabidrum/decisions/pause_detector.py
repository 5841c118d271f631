"""Detects pauses of this process, and whether its revision was confirmed since the last one.

Load pattern: instances are suspended for seconds, and the process resumes with the state from
before. Messages that were buffered in its sockets look fresh but are not. Without this check it
would send orders under a revision that the fleet has replaced, and mark every peer as dead
because it received no heartbeat during its own pause.

All times are of a clock that keeps counting while the instance is suspended. With a clock that
stops then, a suspension would not show as a pause.
"""

MIN_PAUSE_SECONDS = 1.0
VERIFICATION_EXPIRES_SECONDS = 3.0


class PauseDetector:
    """Detects pauses of the process from the time between its calls to observe.

    Also records when another process last confirmed the revision in force.

    Attributes:
      pauses: Number of pauses so far.
      paused_seconds: Total length of these pauses.
    """

    __slots__ = ("_last_observed_at", "_resumed_at", "_verified_at", "pauses", "paused_seconds")

    def __init__(self, now: float) -> None:
        self._last_observed_at = now
        self._resumed_at = now
        self._verified_at = float("-inf")
        self.pauses = 0
        self.paused_seconds = 0.0

    def observe(self, now: float) -> float:
        """Checks for a pause since the last call; returns its length in seconds, or zero.

        Each task calls this before it acts on state that may be outdated, because after a
        pause any task may be the first to run.
        """
        length = now - self._last_observed_at
        self._last_observed_at = now
        if length <= MIN_PAUSE_SECONDS:
            return 0.0
        self._resumed_at = now
        self.pauses += 1
        self.paused_seconds += length
        return length

    def record_reply(self, asked_at: float, now: float) -> None:
        """Records a reply that names no newer revision, to a request sent at a given time."""
        self.observe(now)
        # A reply to a request from before the pause may have been written before the pause too.
        if asked_at >= self._resumed_at:
            self._verified_at = max(self._verified_at, asked_at)

    def record_push(self, now: float) -> None:
        """Records an unsolicited message that names no newer revision.

        After a pause it may have been buffered in the socket and proves nothing. Such messages
        count again once a request that was sent after the pause has been answered.
        """
        self.observe(now)
        if self._verified_at >= self._resumed_at:
            self._verified_at = now

    def recently_verified(self, now: float) -> bool:
        """Returns whether this process may act on its revision without asking a peer first."""
        self.observe(now)
        return (
            self._verified_at >= self._resumed_at
            and now - self._verified_at <= VERIFICATION_EXPIRES_SECONDS
        )
