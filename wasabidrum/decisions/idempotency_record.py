"""Defines what a sidecar stores for each idempotency key."""

import dataclasses
import enum


class KeyState(enum.Enum):
    """The state of the call with a key. A key that was never received has no record."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    TOMBSTONE = "tombstone"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete answer of the service; the body is None after eviction."""

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(slots=True)
class IdempotencyRecord:
    """The record of one key.

    Attributes:
      fingerprint: The digest of the first request with the key.
      expires: When the record may be removed, in seconds since the incarnation started.
      code: Why the call was not run or its outcome is unknown; otherwise empty.
    """

    fingerprint: bytes
    expires: float
    state: KeyState
    answer: StoredAnswer | None = None
    code: str = ""
