"""The one refusal that proves something of every copy of a call with a caller's key."""

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions import keyed_key


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
    if keyed_key.parse_key(key) is None:
        # No daemon runs a call whose key is not of the issued form, so none ever ran.
        return error
    weaker = CodedError(error.code, str(error), error.http_status, Outcome.UNKNOWN)
    weaker.retry_after = error.retry_after
    weaker.idempotency_key = key
    return weaker
