"""Content addresses: the hexadecimal SHA-256 digest of the content."""

import hashlib
import typing

import msgspec

Digest = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]


def digest_of(content: bytes | memoryview) -> str:
    """Returns the content address of some content."""
    return hashlib.sha256(content).hexdigest()
