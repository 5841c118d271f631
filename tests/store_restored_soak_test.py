"""A short soak of a restored store; `python -m tests.store_restored_soak` runs longer ones."""

import unittest

from tests.soak_case import SoakCase
from tests.store_restored_soak import StoreRestoredSoak


class StoreRestoredSoakTest(SoakCase):
    """One play, with a store that comes back from copies."""

    kind = StoreRestoredSoak
    seconds = 20.0

    def test_endpoints_that_leave(self) -> None:
        """Guards against entries that go on sending to endpoints whose leaving was lost, or has a
        revision that was given out before."""
        self.assertGreater(self.figures["restorations"], 0)
        self.assertGreater(self.figures["leavings"], 0)
        self.assert_kept("late_arrivals")

    def test_new_configurations(self) -> None:
        """Guards against entries that go on with an older configuration than was accepted."""
        self.assertGreater(self.figures["probes"], 0)
        self.assertGreater(self.figures["strangers"], 0)
        self.assert_kept("older_answers")

    def test_callers_are_served(self) -> None:
        """Guards against entries that refuse all requests, or answer with what is not whole."""
        self.assert_kept("served", "false_answers")


if __name__ == "__main__":
    unittest.main()
