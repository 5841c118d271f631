"""One call to a plain service as it arrives at a sidecar, checked and typed."""

import math

import msgspec
from tornado import httputil

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions.idempotency_key import IdempotencyKey, parse_key
from ..outcomes.call_digest import digest_call
from ..wire import headers

LONGEST_PATIENCE_SECONDS = 3600.0


class ServiceAttempt(msgspec.Struct, frozen=True):
    """What an entry asks a sidecar to send to its service.

    Attributes:
      key: What names the only incarnation that may run the call; None for a read.
      patience: Seconds that the entry waits, counted from when this copy was read.
      start_before: The sidecar's uptime after which the call must not start; zero where the
        entry did not know that time, so that only an earlier copy's outcome is told.
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


def read_seconds(text: str, factor: float) -> float:
    """Returns a positive number of seconds written in a header.

    Raises:
      ValueError: It is not such a number.
    """
    seconds = float(text) * factor
    if not 0.0 <= seconds < math.inf:
        raise ValueError(text)
    return seconds


def read_attempt(asked: httputil.HTTPHeaders, body: bytes) -> ServiceAttempt:
    """Reads and checks an attempt.

    Raises:
      CodedError: A part is missing, or a link changed it. The outcome is UNKNOWN, as the
        same call may have arrived undamaged by another copy.
    """
    try:
        key_text = asked.get(headers.CALL_KEY, "")
        call = (
            asked[headers.WORKSPACE],
            key_text,
            asked[headers.FORWARDED_METHOD],
            asked[headers.FORWARDED_PATH],
            asked.get("Content-Type", ""),
            body,
        )
        fingerprint = digest_call(*call)
        if asked[headers.CALL_DIGEST] != fingerprint.hex():
            raise ValueError("the digest does not match")
        key = parse_key(key_text)
        if key is None and (key_text or asked.get(headers.IDEMPOTENT) != "1"):
            raise ValueError("a call that may not be repeated has no valid key")
        patience = read_seconds(asked[headers.DEADLINE_MILLISECONDS], 0.001)
        # Nobody can tell for how long a call without this time has waited in the socket.
        start_before = read_seconds(asked.get(headers.START_BEFORE, "0"), 1.0)
        return ServiceAttempt(
            attempt_id=asked[headers.ATTEMPT_ID],
            workspace=call[0],
            method=call[2],
            path=call[3],
            content_type=call[4],
            body=body,
            key=key,
            fingerprint=fingerprint,
            patience=min(patience, LONGEST_PATIENCE_SECONDS),
            start_before=start_before,
        )
    except (KeyError, ValueError) as error:
        raise CodedError("call_corrupt", repr(error), 400, Outcome.UNKNOWN) from error
