"""A short soak of what endpoints say; `python -m tests.endpoint_notices_soak` runs longer ones."""

import unittest

from tests.endpoint_notices_soak import EndpointNoticesSoak
from tests.soak_case import SoakCase


class EndpointNoticesSoakTest(SoakCase):
    """One play, with endpoints that say what they want, while the store comes and goes."""

    kind = EndpointNoticesSoak

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
