"""Tests of which pieces contain a layer."""

import unittest

from .engine_client import pieces_of_layer


class PiecesOfLayerTest(unittest.TestCase):
    """Numbers of pieces that are multiples of the number of layers, and others."""

    def test_layers_have_pieces_of_their_own_where_they_divide_evenly(self) -> None:
        self.assertEqual([pieces_of_layer(n, 16, 48) for n in (0, 15)], [range(3), range(45, 48)])

    def test_adjacent_layers_share_the_piece_that_spans_their_boundary(self) -> None:
        """Guards against an order to load a layer while its first or last piece is missing."""
        parts = [pieces_of_layer(n, 4, 10) for n in range(4)]
        self.assertEqual(parts, [range(3), range(2, 5), range(5, 8), range(7, 10)])


if __name__ == "__main__":
    unittest.main()
