"""What a sidecar remembers of one key."""

import dataclasses
import enum


class KeyState(enum.Enum):
    """What became of the call with a key. A key that was never seen has no record."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    TOMBSTONE = "tombstone"


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A whole answer of the service; the body is None once it was evicted."""

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(slots=True)
class KeyedRecord:
    """One key's record.

    Attributes:
      fingerprint: The digest of the request that first came with the key.
      expires: When it may be forgotten, in seconds since the incarnation started.
      code: Why the call was not run or is unknown; empty else.
    """

    fingerprint: bytes
    expires: float
    state: KeyState
    answer: KeptAnswer | None = None
    code: str = ""
