"""Which pieces an engine loads for a layer."""

import unittest

from .engine_client import pieces_of_layer


class PiecesOfLayerTest(unittest.TestCase):
    """Pieces and layers that divide evenly, and others."""

    def test_each_layer_has_its_own_pieces_where_they_divide_evenly(self) -> None:
        self.assertEqual([pieces_of_layer(n, 16, 48) for n in (0, 15)], [range(3), range(45, 48)])

    def test_layers_share_the_piece_in_which_one_ends_and_the_next_begins(self) -> None:
        """Guards against a layer that is ordered while its first or last piece is missing."""
        parts = [pieces_of_layer(n, 4, 10) for n in range(4)]
        self.assertEqual(parts, [range(3), range(2, 5), range(5, 8), range(7, 10)])


if __name__ == "__main__":
    unittest.main()
