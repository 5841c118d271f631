"""Content addresses: the hexadecimal SHA-256 of the bytes that they name."""

import hashlib
import typing

import msgspec

Digest = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]


def digest_of(content: bytes | memoryview) -> str:
    """Returns the content address of some bytes."""
    return hashlib.sha256(content).hexdigest()
