"""A short soak of what endpoints say; `python -m tests.endpoint_notices_soak` runs longer ones."""

import asyncio
import unittest

from tests.endpoint_notices_soak import EndpointNoticesSoak
from tests.entry_stops_soak import broken_promises, play_soak

SEED = 1
ENTRIES = 4
SECONDS = 12.0
PER_SECOND = 60.0


class EndpointNoticesSoakTest(unittest.TestCase):
    """One play, with endpoints that say what they want, while the store comes and goes."""

    @classmethod
    def setUpClass(cls) -> None:
        kind = EndpointNoticesSoak
        played = asyncio.run(play_soak(SEED, ENTRIES, SECONDS, PER_SECOND, kind=kind))
        cls.figures, cls.played = played
        cls.broken = broken_promises(cls.figures, kind)

    def assert_kept(self, *promises: str) -> None:
        """Asserts that none of some guarantees was violated."""
        found = {name: self.figures.get(name) for name in promises if name in self.broken}
        self.assertEqual(found, {}, self.played)

    def test_endpoints_that_leave(self) -> None:
        """Guards against entries that hear only from the store that an endpoint leaves."""
        self.assertGreater(self.figures["leavings_passed_on"], 0)
        self.assert_kept("late_arrivals")

    def test_endpoints_that_want_rest(self) -> None:
        """Guards against entries that go on sending to endpoints that have turned them away."""
        self.assertGreater(self.figures["rests"], 0)
        self.assert_kept("disturbed_rests")

    def test_callers_are_served(self) -> None:
        """Guards against entries that refuse all requests, or answer with what is not whole."""
        self.assert_kept("served", "false_answers")


if __name__ == "__main__":
    unittest.main()
