"""Tests of who gives way when there is no room."""

import itertools
import unittest

from .giving_way import (
    PROTECTED_SECONDS,
    SMALL_BYTES,
    Holding,
    Stage,
    connection_to_end,
    request_to_end,
)

MIB = 1_048_576


def receiving(held: int, age: float) -> Holding:
    """Returns what an unfinished request holds."""
    return Holding(Stage.RECEIVING, held, age)


class ConnectionToEndTest(unittest.TestCase):
    """Connections end for others in an order."""

    def test_order_over_all_pairs(self) -> None:
        """Guards against a client who behaves and loses its connection to one who does not."""
        in_order = [
            Holding(Stage.UNUSED, 0, 20.0),
            Holding(Stage.UNUSED, 0, 2.0),
            Holding(Stage.IDLE, 0, 9.0),
            Holding(Stage.IDLE, 0, 0.1),
            receiving(5, 9.0),
            receiving(4 * MIB, 2.0),
        ]
        for first, second in itertools.combinations(in_order, 2):
            self.assertEqual(connection_to_end([first, second]), 0)
            self.assertEqual(connection_to_end([second, first]), 1)

    def test_nobody_ends_who_is_served_or_new(self) -> None:
        """Guards against answers that are cut for newcomers, and newcomers who end each other."""
        new = PROTECTED_SECONDS / 2
        kept = [
            Holding(Stage.ANSWERING, MIB, 60.0),
            Holding(Stage.UNUSED, 0, new),
            receiving(MIB, new),
        ]
        self.assertIsNone(connection_to_end(kept))
        self.assertIsNone(connection_to_end([]))


class RequestToEndTest(unittest.TestCase):
    """Unfinished requests give way by what they cost."""

    def test_one_that_stands_still_gives_way(self) -> None:
        """Guards against room that is kept by those who do not go on."""
        still, fresh = receiving(4 * MIB, 5.0), receiving(4 * MIB, 1.1)
        self.assertEqual(request_to_end([still, fresh], 1), 0)
        self.assertEqual(request_to_end([fresh, still], 0), 1)

    def test_slow_small_request_outlasts_large_ones(self) -> None:
        """Guards against callers on slow links who give way to large bodies that stand still."""
        slow, large = receiving(2000, 20.0), receiving(4 * MIB, 1.5)
        self.assertEqual(request_to_end([slow, large], 0), 1)

    def test_large_ones_within_their_first_second_do_not_end_each_other(self) -> None:
        """Guards against uploads of which none ends, because each ends another one."""
        new = PROTECTED_SECONDS / 2
        large = [receiving(size * MIB, new) for size in (1, 2, 3)]
        for grown in range(3):
            self.assertEqual(request_to_end(large, grown), grown)

    def test_small_request_is_never_the_one_that_ends_beside_a_large_one(self) -> None:
        """Guards against callers of a usual size who are refused under large bodies."""
        for age, size in itertools.product((0.1, 0.9, 1.1, 5.0), (1, SMALL_BYTES)):
            small, large = receiving(size, 0.0), receiving(SMALL_BYTES + 1, age)
            self.assertEqual(request_to_end([small, large], 0), 1)


if __name__ == "__main__":
    unittest.main()
