"""Decides which outcome the end of an attempt proves, and which status the caller gets.

Load pattern: endpoints crash, lose responses, refuse requests when full or are cut off, while
callers send requests that are not idempotent, such as charges. A charge that is retried after a
lost response may run twice. So may one that is reported as "not run" after a lost response,
because its caller sends it again. A refused charge that is reported as "unknown" is given up by
its caller although it could be retried safely.

An attempt that was never sent, or that its endpoint refused before starting it, has not run. Any
other end proves nothing. After such an end only idempotent requests are retried elsewhere, and
the caller is told "not run" only if every attempt of the request provably did not run.
"""

import enum

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504


class AttemptEnd(enum.Enum):
    """How an attempt ended without a response for its caller.

    NOT_SENT and REFUSED prove that it has not run. FAILED is an error response that the
    endpoint sent after it ran the attempt. LOST proves nothing.
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
      sends: Attempts of which at least one byte may have been sent.
    """

    __slots__ = ("_idempotent", "_max_runs", "runs", "sends")

    def __init__(self, idempotent: bool, max_runs: int) -> None:
        self._idempotent = idempotent
        self._max_runs = max_runs
        self.runs = 0
        self.sends = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return self.runs > 0

    def record(self, end: AttemptEnd) -> None:
        """Records the end of an attempt."""
        if end is not AttemptEnd.NOT_SENT:
            self.sends += 1
        if end not in PROVES_NOT_RUN:
            self.runs += 1

    def allows_retry(self) -> bool:
        """Returns whether the ends so far allow an attempt at another endpoint."""
        if not self.may_have_run:
            return True
        return self._idempotent and self.runs < self._max_runs

    def allows_retry_of_running(self) -> bool:
        """Returns whether a running attempt may be abandoned for one at another endpoint."""
        return self._idempotent and self.runs + 1 < self._max_runs

    def final_status(self, timed_out: bool) -> int:
        """Returns the HTTP status of an error response that does not come from an endpoint."""
        if not self.may_have_run:
            return NOT_RUN_STATUS
        return TIMEOUT_STATUS if timed_out else UNKNOWN_STATUS
