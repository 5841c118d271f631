"""The list of chunks that makes up one version of a model.

The configuration publishes only the digest of the encoded manifest, because the list of
a large model would not fit in a value of a megabyte. The manifest itself travels as
verified content, like any chunk.
"""

import typing

import msgspec

from .digest import Digest, digest_of
from .engine_report import PieceList
from .errors import CodedError


class Manifest(msgspec.Struct, frozen=True):
    """The chunks of a version, in order. Every chunk but the last has chunk_bytes bytes."""

    chunk_bytes: typing.Annotated[int, msgspec.Meta(ge=1)]
    total_bytes: typing.Annotated[int, msgspec.Meta(ge=0)]
    chunks: tuple[Digest, ...]

    def size_of(self, index: int) -> int:
        """Returns the number of bytes in the chunk at an index."""
        return min(self.chunk_bytes, self.total_bytes - index * self.chunk_bytes)


def build_manifest(content: bytes, chunk_bytes: int) -> Manifest:
    """Splits a version's bytes into chunks and returns their manifest."""
    view = memoryview(content)
    chunks = tuple(
        digest_of(view[start : start + chunk_bytes])
        for start in range(0, len(content), chunk_bytes)
    )
    return Manifest(chunk_bytes=chunk_bytes, total_bytes=len(content), chunks=chunks)


def manifest_of(pieces: PieceList) -> Manifest:
    """Returns the manifest of a version whose pieces are listed."""
    total = pieces.piece_bytes * len(pieces.digests)
    return Manifest(pieces.piece_bytes, total, pieces.digests)


def root_of(manifest: Manifest) -> str:
    """Returns the digest that names a version's content, the same at every process."""
    return digest_of(encode_manifest(manifest))


def encode_manifest(manifest: Manifest) -> bytes:
    """Returns the bytes whose digest the configuration publishes as the version's root."""
    return msgspec.json.encode(manifest)


def decode_manifest(content: bytes, root: str) -> Manifest:
    """Decodes a manifest that came from anywhere.

    Raises:
      CodedError: The bytes are not those that the root names, or are not a manifest.
    """
    if digest_of(content) != root:
        raise CodedError("manifest_corrupt", "the manifest does not match its root digest")
    try:
        manifest = msgspec.json.decode(content, type=Manifest)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise CodedError("manifest_invalid", str(error)) from error
    expected = -(-manifest.total_bytes // manifest.chunk_bytes)
    if expected != len(manifest.chunks):
        raise CodedError("manifest_invalid", "the sizes do not agree with the chunk count")
    return manifest
