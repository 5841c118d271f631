"""A short soak with clients that don't behave; `tests.crowds.stranger_soak` plays longer ones."""

import asyncio
import unittest

from tests.crowds.stranger_soak import StrangerSoak
from tests.entry_stops_soak import broken_promises, play_soak

SEED = 1
ENTRIES = 4
SECONDS = 15.0
PER_SECOND = 40.0


class StrangerSoakTest(unittest.TestCase):
    """Strangers at all ports beside stops, suspensions and changes."""

    def test_fixed_seed(self) -> None:
        """Guards against an entry that ends or leaves callers without an answer because of others'
        connections."""
        playing = play_soak(SEED, ENTRIES, SECONDS, PER_SECOND, kind=StrangerSoak)
        figures, played = asyncio.run(playing)
        self.assertEqual(broken_promises(figures, StrangerSoak), [], (figures, played))


if __name__ == "__main__":
    unittest.main()
