"""Idempotency keys that name the one sidecar incarnation that may run a call, and until when.

No state of the fleet outlives its process, so no process can look up which sidecar may run a call.
The key itself contains that. Its times count from the start of the incarnation that it names. No
wall clock is involved, so neither a stepped clock nor a difference between two clocks can extend
the lifetime of a key.
"""

import re
import secrets

import msgspec

MAX_LIFETIME_SECONDS = 900.0
MAX_KEY_LENGTH = 255
KEY_PATTERN = re.compile(
    r"wk1\.([0-9a-z-]{1,64})\.(0|[1-9][0-9]{0,14})\.([1-9][0-9]{0,8})\.([0-9a-f]{24})\.([!-~]{1,99})"
)


class IdempotencyKey(msgspec.Struct, frozen=True):
    """An idempotency key.

    Attributes:
      endpoint: The slot of the sidecar, by which entries find its address.
      incarnation: The only incarnation of that sidecar that may run a call with this key.
      issued_ms: When it was issued, in milliseconds since that incarnation started.
      lifetime_ms: Milliseconds after the issue within which a call may start.
      nonce: Distinguishes keys that were issued in the same millisecond.
    """

    endpoint: str
    incarnation: str
    issued_ms: int
    lifetime_ms: int
    nonce: str

    @property
    def issued(self) -> float:
        """When it was issued, in seconds since the incarnation started."""
        return self.issued_ms / 1000.0

    @property
    def expires(self) -> float:
        """When it expires, in seconds since the incarnation started."""
        return (self.issued_ms + self.lifetime_ms) / 1000.0

    def __str__(self) -> str:
        times = f"{self.issued_ms}.{self.lifetime_ms}"
        return f"wk1.{self.incarnation}.{times}.{self.nonce}.{self.endpoint}"


def make_key(endpoint: str, incarnation: str, uptime: float, lifetime: float) -> IdempotencyKey:
    """Returns a new key.

    Args:
      uptime: The present uptime of the incarnation, in seconds.
      lifetime: Lifetime of the key, in seconds; limited to the longest one allowed.
    """
    lifetime = min(max(lifetime, 0.001), MAX_LIFETIME_SECONDS)
    times = (max(0, int(uptime * 1000)), max(1, int(lifetime * 1000)))
    return IdempotencyKey(endpoint, incarnation, *times, secrets.token_hex(12))


def parse_key(text: str) -> IdempotencyKey | None:
    """Returns the key that a text encodes, or None if it is not a valid encoding.

    Each key has exactly one encoding, so that one key cannot appear as two different ones.
    """
    match = KEY_PATTERN.fullmatch(text) if len(text) <= MAX_KEY_LENGTH else None
    if match is None or int(match[3]) > MAX_LIFETIME_SECONDS * 1000:
        return None
    return IdempotencyKey(match[5], match[1], int(match[2]), int(match[3]), match[4])
