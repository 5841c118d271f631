"""Tests which layers of a partly staged version are complete."""

import asyncio
import unittest

from ..core.engine_report import PieceList
from .staged_version import StagedVersion

LAYERS = 4
PIECES = tuple(f"digest-{n}" for n in range(12))


class AcceptingEngine:
    """A staging area that accepts every piece."""

    async def put_piece(self, model: str, number: int, content: bytes) -> None:
        """See EngineClient."""


class CompleteLayerTest(unittest.IsolatedAsyncioTestCase):
    """A version of four layers, three pieces each."""

    async def test_a_layer_is_complete_once_all_its_pieces_are_staged(self) -> None:
        """Guards against a command to load a layer of which a piece is missing."""
        staged = StagedVersion(
            AcceptingEngine(), None, PieceList("m", 2, 1, PIECES), asyncio.Lock()
        )
        for number in (0, 1, 6, 7, 11):
            await staged._put(number, b"x")
        self.assertIsNone(staged.complete_layer(LAYERS))
        await staged._put(8, b"x")
        self.assertEqual(staged.complete_layer(LAYERS), 2)
        self.assertEqual(staged.pieces_of(2, LAYERS), range(6, 9))


if __name__ == "__main__":
    unittest.main()
