"""Fuzz tests of decoding a manifest."""

import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from .digest import digest_of
from .errors import CodedError
from .manifest import Manifest, decode_manifest, encode_manifest

FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=500, database=None)
SIZES = strategies.integers(-10, 40) | strategies.integers()
CHUNKS = strategies.lists(strategies.just(digest_of(b"x")) | strategies.text(max_size=5))


class ManifestFuzzTest(unittest.TestCase):
    """Any content with the right digest is decoded to a consistent manifest, or refused."""

    @FUZZ
    @hypothesis.given(SIZES, SIZES, CHUNKS)
    def test_inconsistent_sizes(self, chunk: int, total: int, chunks: list[str]) -> None:
        """Faulty software published a version whose sizes are negative or do not agree with the
        chunks, or whose digests are paths. A sidecar that accepted it would request that path
        from its peers, or wait for chunks that do not exist."""
        content = msgspec.json.encode(
            {"chunk_bytes": chunk, "total_bytes": total, "chunks": chunks}
        )
        try:
            manifest = decode_manifest(content, digest_of(content))
        except CodedError as error:
            self.assertEqual(error.code, "manifest_invalid")
            return
        sizes = [manifest.size_of(index) for index in range(len(manifest.chunks))]
        self.assertEqual(sum(sizes), manifest.total_bytes)
        self.assertTrue(all(0 < size <= manifest.chunk_bytes for size in sizes))
        self.assertTrue(all(name == digest_of(b"x") for name in manifest.chunks))

    @FUZZ
    @hypothesis.given(strategies.binary(max_size=100), strategies.integers(0, 200))
    def test_corrupted_bytes(self, patch: bytes, place: int) -> None:
        """A manifest was corrupted at the origin before its digest was computed."""
        content = bytearray(encode_manifest(Manifest(10, 15, (digest_of(b"x"), digest_of(b"x")))))
        content[place : place + len(patch)] = patch
        with self.subTest(content=bytes(content)):
            try:
                decode_manifest(bytes(content), digest_of(content))
            except CodedError as error:
                self.assertEqual(error.code, "manifest_invalid")
