"""The errors that tell callers why the decisions refuse them."""

from ..core.errors import CodedError
from ..decisions import poison
from ..decisions.ticket import Refusal


def refusal_error(refusal: Refusal) -> CodedError:
    """Returns what a caller is told that is refused."""
    return CodedError(refusal.code, refusal.reason, 503, retry_after=refusal.retry_after)


def blocked_error() -> CodedError:
    """Returns what the caller of a request is told that crashes endpoints."""
    return CodedError(
        "request_blocked",
        "this request was in progress at two endpoints that died",
        422,
        retry_after=poison.BLOCK_SECONDS,
    )
