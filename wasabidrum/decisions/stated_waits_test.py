"""Tests of telling callers that come back from new ones."""

import random
import unittest

from .stated_waits import MIN_SAMPLES, StatedWaits


class StatedWaitsTest(unittest.TestCase):
    """Callers that wait six seconds, or up to fifteen hundredths less."""

    def setUp(self) -> None:
        self.rng = random.Random(4)
        self.waits = StatedWaits()

    def learn(self, count: int = 60) -> None:
        """Records new callers."""
        for _ in range(count):
            self.waits.record(self.rng.uniform(5.1, 6.0))

    def test_callers_that_come_back_after_a_quarter_of_their_time_are_told_from_new_ones(
        self,
    ) -> None:
        """Guards against returns that take the places of callers who can be in time."""
        self.learn()
        new = [self.waits.is_return(self.rng.uniform(5.1, 6.0)) for _ in range(500)]
        back = [self.waits.is_return(self.rng.uniform(5.1, 6.0) - 1.5) for _ in range(500)]
        self.assertLess(sum(new), 10)
        self.assertGreater(sum(back), 490)

    def test_returns_are_told_although_many_come_back(self) -> None:
        """Guards against an entry that starts under overload and never learns what is usual."""
        for number in range(60):
            self.waits.record(self.rng.uniform(5.1, 6.0) - (2.0 if number % 3 == 0 else 0.0))
        new = [self.waits.is_return(self.rng.uniform(5.1, 6.0)) for _ in range(500)]
        back = [self.waits.is_return(self.rng.uniform(5.1, 6.0) - 2.0) for _ in range(500)]
        self.assertEqual(sum(new), 0)
        self.assertGreater(sum(back), 490)

    def test_a_few_callers_of_great_patience_change_nothing(self) -> None:
        """Guards against new callers that pass for returns because others wait longer."""
        self.learn(62)
        for _ in range(2):
            self.waits.record(30.0)
        self.assertFalse(self.waits.is_return(5.1))

    def test_a_few_tests_of_the_route_with_short_waits_change_nothing(self) -> None:
        """Guards against a route whose returns pass for new callers after a few odd ones."""
        self.learn(57)
        for _ in range(3):
            self.waits.record(0.9)
        self.assertTrue(self.waits.is_return(4.2))
        self.assertFalse(self.waits.is_return(5.1))

    def test_nobody_is_judged_before_new_callers_are_known(self) -> None:
        """Guards against an entry that has just started and takes all callers for returns."""
        self.learn(MIN_SAMPLES - 1)
        self.assertFalse(self.waits.is_return(0.5))

    def test_callers_that_all_state_one_wait_may_differ_a_little(self) -> None:
        """Guards against new callers refused for a millisecond that a link took."""
        for _ in range(MIN_SAMPLES):
            self.waits.record(6.0)
        self.assertFalse(self.waits.is_return(5.9))
        self.assertTrue(self.waits.is_return(5.0))
