"""Refusals of calls with a caller's idempotency key, and what they prove about other copies."""

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions.idempotency_key import parse_key


class KeyPermanentlyRefusedError(CodedError):
    """A refusal of all copies of a call: none has run, and none ever will."""

    __slots__ = ()


def weaken_refusal(error: CodedError, key: str) -> CodedError:
    """Returns the refusal of a call with a caller's key, with an outcome that is certain.

    An entry that refuses one copy of a call knows nothing of copies that the caller sent through
    other entries. If it answered NOT_RUN, a caller that resends to an overloaded or leaving entry
    would be told so of a charge that another entry has run, and would charge again. The outcome
    becomes UNKNOWN, unless the refusal holds for every copy.
    """
    if error.outcome is not Outcome.NOT_RUN or isinstance(error, KeyPermanentlyRefusedError):
        return error
    if parse_key(key) is None:
        # Every entry refuses a malformed key, so no copy with this one can have run.
        return error
    weaker = CodedError(error.code, str(error), error.http_status, Outcome.UNKNOWN)
    weaker.retry_after = error.retry_after
    weaker.idempotency_key = key
    return weaker
