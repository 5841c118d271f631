"""Tests of the minimum transfer time of a version over given links."""

import unittest

from .weights_floor import Links, floor_seconds


class FloorTest(unittest.TestCase):
    """A version of eight chunks of a megabit each."""

    def test_the_narrowest_link_carries_all_and_the_others_one_chunk_each(self) -> None:
        links = Links(origin=10.0, thin=5.0, instance=2.0)
        self.assertAlmostEqual(floor_seconds(8, 125_000, links), 8 / 2 + 1 / 10 + 1 / 5)

    def test_a_narrow_origin_sets_the_time(self) -> None:
        links = Links(origin=1.0, thin=5.0, instance=2.0)
        self.assertAlmostEqual(floor_seconds(8, 125_000, links), 8 / 1 + 1 / 5 + 1 / 2)


if __name__ == "__main__":
    unittest.main()
