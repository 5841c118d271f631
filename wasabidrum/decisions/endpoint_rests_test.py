"""Tests of the rests that endpoints have asked for."""

import unittest

from .endpoint_rests import EndpointRests

RUN = ("i-1", 7)


class EndpointRestsTest(unittest.TestCase):
    """Endpoints that want no requests for some time."""

    def setUp(self) -> None:
        self.rests = EndpointRests()
        self.rests.record(RUN, 3.0, 100.0)

    def test_rest_ends_after_its_seconds(self) -> None:
        self.assertEqual(self.rests.seconds_left(RUN, 100.5), 2.5)
        self.assertEqual(self.rests.seconds_left(RUN, 103.0), 0.0)
        self.assertEqual((self.rests.count(102.9), self.rests.count(103.0)), (1, 0))

    def test_later_refusal_prolongs_and_never_shortens(self) -> None:
        """Guards against a rest that a refusal with less time to go ends too soon."""
        self.rests.record(RUN, 1.0, 100.5)
        self.assertEqual(self.rests.seconds_left(RUN, 101.0), 2.0)
        self.rests.record(RUN, 3.0, 101.0)
        self.assertEqual(self.rests.seconds_left(RUN, 101.0), 3.0)

    def test_another_run_has_no_rest(self) -> None:
        """Guards against a rest that outlives the run of the endpoint that asked for it."""
        self.assertEqual(self.rests.seconds_left(("i-1", 8), 101.0), 0.0)

    def test_rests_that_have_ended_are_forgotten(self) -> None:
        """Guards against memory that grows with each endpoint that ever rested."""
        for number in range(50):
            self.rests.record((f"j-{number}", 0), 1.0, 200.0 + 2.0 * number)
        self.assertEqual(len(self.rests._ends), 1)


if __name__ == "__main__":
    unittest.main()
