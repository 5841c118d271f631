"""The exception type of all packages: a stable code, an outcome and a retry hint."""

from .outcome import Outcome


class CodedError(Exception):
    """An error with a code that callers and operators may rely on.

    Attributes:
      code: A stable lower-case name, listed in docs/CALLERS.md.
      http_status: The status of the reply that carries this error.
      outcome: What is known of the execution of the caller's request.
      retry_after: Seconds after which a retry may succeed, or None.
      idempotency_key: With UNKNOWN, the key under which a resend learns the result; with
        NOT_RUN, a new key under which the call may be sent; else empty.
    """

    __slots__ = ("code", "http_status", "outcome", "retry_after", "idempotency_key")

    def __init__(
        self,
        code: str,
        message: str,
        http_status: int = 500,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.http_status = http_status
        self.outcome = outcome
        self.retry_after = retry_after
        self.idempotency_key = ""
