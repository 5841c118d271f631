"""What the end of an attempt proves, and what its caller is told.

Load pattern: endpoints crash, lose answers, refuse when they are full and are cut off, while
callers send charges. Sent again after a loss, a charge runs twice; told "not run" after one,
its caller sends it again and it runs twice all the same. Told "unknown" where it was refused, a
caller gives up a charge that could have been made.

An attempt that never left, or that its endpoint refused before it began, has not run. Any other
end proves nothing, so that only requests that may be repeated go elsewhere after it, and the
caller is told "not run" only where every attempt of its request has that proof.
"""

import enum

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
LATE_STATUS = 504


class AttemptEnd(enum.Enum):
    """How an attempt ended without an answer for its caller.

    NOT_SENT and REFUSED prove that it has not run. FAILED is the endpoint's own failure, after
    it ran. LOST proves nothing.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"


PROVES_NOT_RUN = frozenset((AttemptEnd.NOT_SENT, AttemptEnd.REFUSED))


class AttemptHistory:
    """The attempts of one request.

    Attributes:
      runs: Attempts that may have run.
      sends: Attempts of which a byte may have left.
    """

    __slots__ = ("_idempotent", "_most_runs", "runs", "sends")

    def __init__(self, idempotent: bool, most_runs: int) -> None:
        self._idempotent = idempotent
        self._most_runs = most_runs
        self.runs = 0
        self.sends = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return self.runs > 0

    def take(self, end: AttemptEnd) -> None:
        """Takes the end of an attempt."""
        if end is not AttemptEnd.NOT_SENT:
            self.sends += 1
        if end not in PROVES_NOT_RUN:
            self.runs += 1

    def may_go_on(self) -> bool:
        """Returns whether another endpoint may be asked, as far as outcomes go."""
        if not self.may_have_run:
            return True
        return self._idempotent and self.runs < self._most_runs

    def may_follow_a_run(self) -> bool:
        """Returns whether a run may be given up for another, as far as outcomes go."""
        return self._idempotent and self.runs + 1 < self._most_runs

    def final_status(self, late: bool) -> int:
        """Returns the status of a final answer that is not an endpoint's."""
        if not self.may_have_run:
            return NOT_RUN_STATUS
        return LATE_STATUS if late else UNKNOWN_STATUS
