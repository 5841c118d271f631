"""A short soak of a restored store; `python -m tests.store_restored_soak` runs longer ones."""

import asyncio
import unittest

from tests.entry_stops_soak import broken_promises, play_soak
from tests.store_restored_soak import StoreRestoredSoak

SEED = 1
ENTRIES = 4
SECONDS = 20.0
PER_SECOND = 60.0


class StoreRestoredSoakTest(unittest.TestCase):
    """One play, with a store that comes back from copies."""

    @classmethod
    def setUpClass(cls) -> None:
        kind = StoreRestoredSoak
        played = asyncio.run(play_soak(SEED, ENTRIES, SECONDS, PER_SECOND, kind=kind))
        cls.figures, cls.played = played
        cls.broken = broken_promises(cls.figures, kind)

    def assert_kept(self, *promises: str) -> None:
        """Asserts that none of some guarantees was violated."""
        found = {name: self.figures.get(name) for name in promises if name in self.broken}
        self.assertEqual(found, {}, self.played)

    def test_endpoints_that_leave(self) -> None:
        """Guards against entries that go on sending to endpoints whose leaving was lost, or has a
        revision that was given out before."""
        self.assertGreater(self.figures["restorations"], 0)
        self.assertGreater(self.figures["leavings"], 0)
        self.assert_kept("late_arrivals")

    def test_new_configurations(self) -> None:
        """Guards against entries that go on with an older configuration than was accepted."""
        self.assertGreater(self.figures["probes"], 0)
        self.assert_kept("older_answers")

    def test_callers_are_served(self) -> None:
        """Guards against entries that refuse all requests, or answer with what is not whole."""
        self.assert_kept("served", "false_answers")


if __name__ == "__main__":
    unittest.main()
