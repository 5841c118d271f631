"""Judges by what callers saw whether entries that stop left whole requests unanswered."""

import dataclasses
import enum

# A connection may be closed while a request on it is on its way.
CROSSING_SECONDS = 0.2
# What an endpoint still works on in this last part of the grace period may be cut off, if it was
# sent soon enough after SIGTERM.
LAST_FRACTION = 1.0 / 6.0
SOON_SECONDS = 3.0


class Ending(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    LOST = "lost"
    CROSSED = "crossed"
    EXCUSED = "excused"


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A whole request that was sent on an established connection.

    Times are by the event loop's clock.

    Attributes:
      first: Whether it was the first one on its connection.
      began_at: When its first byte was sent.
      sent_at: When its last byte was sent.
      ended_at: When its answer was complete, or its connection had ended.
      delayed: Seconds by which the caller itself may have seen that end late.
      answered: Whether it got a complete answer; a refusal is one.
      passed_on: Whether it reached an endpoint.
      at_work: Whether an endpoint was still at work on it when it ended.
      term_at: When its entry's process got SIGTERM, if it did.
      killed: Whether its entry's process was killed before it ended, within its grace period.
    """

    name: str
    first: bool
    began_at: float
    sent_at: float = 0.0
    ended_at: float = 0.0
    delayed: float = 0.0
    answered: bool = False
    passed_on: bool = False
    at_work: bool = False
    term_at: float | None = None
    killed: bool = False

    @property
    def waited(self) -> float:
        """Seconds from its last byte to its end."""
        return self.ended_at - self.sent_at - self.delayed


class LostJudge:
    """The limits that excuse an end without an answer."""

    def __init__(self, timeout: float, grace: float) -> None:
        """Creates a judge.

        Args:
          timeout: Seconds that an endpoint has for a request.
          grace: Seconds from SIGTERM until a process is killed.
        """
        self._timeout = timeout
        self._grace = grace

    def judge(self, request: CallerRequest) -> Ending:
        """Returns how a request ended."""
        if request.answered:
            return Ending.ANSWERED
        if request.killed:
            return Ending.EXCUSED
        if request.passed_on and request.ended_at - request.began_at >= self._timeout:
            return Ending.EXCUSED
        if request.at_work and self._ended_with_grace(request):
            return Ending.EXCUSED
        if request.first or request.passed_on or request.waited > CROSSING_SECONDS:
            return Ending.LOST
        return Ending.CROSSED

    def _ended_with_grace(self, request: CallerRequest) -> bool:
        if request.term_at is None or request.sent_at > request.term_at + SOON_SECONDS:
            return False
        return request.ended_at >= request.term_at + self._grace * (1.0 - LAST_FRACTION)
