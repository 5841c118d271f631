"""The list of the chunks of one version of a model.

The configuration publishes only the digest of the encoded manifest, because the list of a large
model exceeds the limit of a megabyte on a published value. The manifest itself is transferred as
content verified by its digest, like any chunk.
"""

import typing

import msgspec

from .decoding import decode_json
from .digest import Digest, digest_of
from .engine_report import PieceList
from .errors import CodedError


class Manifest(msgspec.Struct, frozen=True):
    """The chunks of a version, in order. All but the last have chunk_bytes bytes."""

    chunk_bytes: typing.Annotated[int, msgspec.Meta(ge=1)]
    total_bytes: typing.Annotated[int, msgspec.Meta(ge=0)]
    chunks: tuple[Digest, ...]

    def size_of(self, index: int) -> int:
        """Returns the size in bytes of the chunk at an index."""
        return min(self.chunk_bytes, self.total_bytes - index * self.chunk_bytes)


def build_manifest(content: bytes, chunk_bytes: int) -> Manifest:
    """Splits the content of a version into chunks and returns their manifest."""
    view = memoryview(content)
    chunks = tuple(
        digest_of(view[start : start + chunk_bytes])
        for start in range(0, len(content), chunk_bytes)
    )
    return Manifest(chunk_bytes=chunk_bytes, total_bytes=len(content), chunks=chunks)


def manifest_of(pieces: PieceList) -> Manifest:
    """Converts the list of a version's pieces to a manifest."""
    total = pieces.piece_bytes * len(pieces.digests)
    return Manifest(pieces.piece_bytes, total, pieces.digests)


def root_of(manifest: Manifest) -> str:
    """Returns the digest that identifies the content of a version."""
    return digest_of(encode_manifest(manifest))


def encode_manifest(manifest: Manifest) -> bytes:
    """Returns the encoding whose digest the configuration publishes as the root of a version."""
    return msgspec.json.encode(manifest)


def decode_manifest(content: bytes, root: str) -> Manifest:
    """Verifies and decodes a manifest from an untrusted source.

    Raises:
      CodedError: The content does not have the digest root, or is not a valid manifest.
    """
    if digest_of(content) != root:
        raise CodedError("manifest_corrupt", "the manifest does not match its root digest")
    manifest = decode_json(content, Manifest, "manifest_invalid")
    expected = -(-manifest.total_bytes // manifest.chunk_bytes)
    if expected != len(manifest.chunks):
        raise CodedError("manifest_invalid", "the sizes do not agree with the chunk count")
    return manifest
