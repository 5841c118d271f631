"""Converts refusals of the decisions package into errors for callers."""

from ..core.errors import CodedError
from ..decisions import poison
from ..decisions.ticket import Refusal


def refusal_error(refusal: Refusal) -> CodedError:
    """Returns the error for a refused request."""
    return CodedError(refusal.code, refusal.reason, 503, retry_after=refusal.retry_after)


def blocked_error() -> CodedError:
    """Returns the error for a request that is blocked because it seems to crash endpoints."""
    return CodedError(
        "request_blocked",
        "this request was in progress during two endpoint crashes",
        422,
        retry_after=poison.BLOCK_SECONDS,
    )
