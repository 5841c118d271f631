"""Tests of encoding, verifying and decoding a manifest."""

import unittest

from . import manifest
from .digest import digest_of
from .errors import CodedError


class ManifestTest(unittest.TestCase):
    """A manifest is decoded as it was encoded; any other content is refused."""

    def test_chunk_sizes_add_up_to_the_total(self) -> None:
        built = manifest.build_manifest(b"x" * 1000, 300)
        sizes = [built.size_of(index) for index in range(len(built.chunks))]
        self.assertEqual(sizes, [300, 300, 300, 100])

    def test_a_corrupted_manifest_is_refused(self) -> None:
        """A peer or a link corrupts a byte of the manifest. Without verification the engine would
        be given chunks of another version, and callers would get wrong answers."""
        encoded = manifest.encode_manifest(manifest.build_manifest(b"x" * 1000, 300))
        root = digest_of(encoded)
        self.assertEqual(len(manifest.decode_manifest(encoded, root).chunks), 4)
        for place in range(0, len(encoded), 7):
            corrupted = bytearray(encoded)
            corrupted[place] ^= 1
            with self.assertRaises(CodedError):
                manifest.decode_manifest(bytes(corrupted), root)
