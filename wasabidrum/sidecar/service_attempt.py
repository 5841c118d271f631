"""A call to a plain service as a sidecar receives it, validated and typed."""

import math

import msgspec
from tornado import httputil

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions.idempotency_key import IdempotencyKey, parse_key
from ..outcomes.call_digest import digest_call
from ..wire import headers

MAX_PATIENCE_SECONDS = 3600.0


class ServiceAttempt(msgspec.Struct, frozen=True):
    """A call that an entry sends to a sidecar, for its service.

    Attributes:
      key: The idempotency key, which names the only incarnation that may run the call; None for
        a call that may be repeated.
      fingerprint: The digest of the call.
      patience: Seconds that the entry waits for the answer, from when this copy was parsed.
      start_before: The sidecar's uptime after which the call must not start. Zero if the entry
        did not know that time: the call then never starts, and only the outcome of an earlier
        copy is returned.
    """

    attempt_id: str
    workspace: str
    method: str
    path: str
    content_type: str
    body: bytes
    key: IdempotencyKey | None
    fingerprint: bytes
    patience: float
    start_before: float


def parse_seconds(text: str, factor: float) -> float:
    """Parses a header's number and multiplies it by the factor, which gives seconds.

    Raises:
      ValueError: It is not a finite number of at least zero.
    """
    seconds = float(text) * factor
    if not 0.0 <= seconds < math.inf:
        raise ValueError(text)
    return seconds


def parse_attempt(request_headers: httputil.HTTPHeaders, body: bytes) -> ServiceAttempt:
    """Parses and validates an attempt.

    Raises:
      CodedError: A part is missing, or was corrupted on the way. The outcome is UNKNOWN, as
        another copy of the same call may have arrived intact and run.
    """
    try:
        key_text = request_headers.get(headers.CALL_KEY, "")
        call = (
            request_headers[headers.WORKSPACE],
            key_text,
            request_headers[headers.FORWARDED_METHOD],
            request_headers[headers.FORWARDED_PATH],
            request_headers.get("Content-Type", ""),
            body,
        )
        fingerprint = digest_call(*call)
        if request_headers[headers.CALL_DIGEST] != fingerprint.hex():
            raise ValueError("the digest does not match")
        key = parse_key(key_text)
        if key is None and (key_text or request_headers.get(headers.IDEMPOTENT) != "1"):
            raise ValueError("a call that is not idempotent has no valid key")
        patience = parse_seconds(request_headers[headers.DEADLINE_MILLISECONDS], 0.001)
        # Without this time, the sidecar cannot know how long the call waited in the socket.
        start_before = parse_seconds(request_headers.get(headers.START_BEFORE, "0"), 1.0)
        return ServiceAttempt(
            attempt_id=request_headers[headers.ATTEMPT_ID],
            workspace=call[0],
            method=call[2],
            path=call[3],
            content_type=call[4],
            body=body,
            key=key,
            fingerprint=fingerprint,
            patience=min(patience, MAX_PATIENCE_SECONDS),
            start_before=start_before,
        )
    except (KeyError, ValueError) as error:
        raise CodedError("call_corrupt", repr(error), 400, Outcome.UNKNOWN) from error
