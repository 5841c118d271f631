"""What is known of the execution of a request that was not answered completely."""

import enum


class Outcome(enum.StrEnum):
    """How far one request was executed.

    NOT_RUN is reported only where it is certain that no endpoint started the request and that none
    will. FAILED means that an endpoint executed it and it ended in an error. UNKNOWN means that
    neither is certain.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
