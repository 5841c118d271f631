"""The one refusal that proves something of every copy of a call with a caller's key."""

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions.idempotency_key import parse_key


class KeyNeverRunsError(CodedError):
    """No copy of the call has run, and none ever will."""

    __slots__ = ()


def weaken_refusal(error: CodedError, key: str) -> CodedError:
    """Returns what a refusal says of a call with a caller's key.

    An entry that refuses one copy knows nothing of the copies that the caller sent through
    other entries. Without this a caller who resends to a full or leaving entry is told "not
    run" of a charge that ran, and charges again.
    """
    if error.outcome is not Outcome.NOT_RUN or isinstance(error, KeyNeverRunsError):
        return error
    if parse_key(key) is None:
        # No entry ever takes such a text for a key, so no copy with it can have run.
        return error
    weaker = CodedError(error.code, str(error), error.http_status, Outcome.UNKNOWN)
    weaker.retry_after = error.retry_after
    weaker.idempotency_key = key
    return weaker
