"""Fuzzes what reads a manifest."""

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
    """Whatever an origin publishes under a root, a manifest is sound or refused."""

    @FUZZ
    @hypothesis.given(SIZES, SIZES, CHUNKS)
    def test_sizes_that_do_not_add_up(self, chunk: int, total: int, chunks: list[str]) -> None:
        """A version was published by broken software: sizes are negative or do not fit the
        chunks, or a chunk's digest is a path. A sidecar that believed it would ask its peers
        for that path, or wait for chunks that do not exist."""
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
    def test_bytes_of_any_kind(self, patch: bytes, place: int) -> None:
        """The origin's copy of a manifest was damaged before its digest was taken."""
        content = bytearray(encode_manifest(Manifest(10, 15, (digest_of(b"x"), digest_of(b"x")))))
        content[place : place + len(patch)] = patch
        with self.subTest(content=bytes(content)):
            try:
                decode_manifest(bytes(content), digest_of(content))
            except CodedError as error:
                self.assertEqual(error.code, "manifest_invalid")
