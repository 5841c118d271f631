"""Tests of what a process believes after it slept."""

import unittest

from .clock_gap import ClockGap


class ClockGapTest(unittest.TestCase):
    """After a pause nothing counts as verified until somebody was asked and answered."""

    def test_word_that_waited_in_the_socket_proves_nothing(self) -> None:
        """An instance pauses for ten seconds while ten revisions pass. Messages that arrived
        meanwhile look fresh when it wakes; without this it would order the old version."""
        gap = ClockGap(0.0)
        gap.confirm(0.1, 0.2)
        self.assertTrue(gap.recently_verified(0.5))
        self.assertAlmostEqual(gap.observe(10.5), 10.0)
        gap.hear(10.6)
        self.assertFalse(gap.recently_verified(10.7))
        gap.confirm(0.4, 10.8)
        self.assertFalse(gap.recently_verified(10.8))
        gap.confirm(10.8, 10.9)
        self.assertTrue(gap.recently_verified(11.0))
        gap.hear(11.9)
        self.assertTrue(gap.recently_verified(12.8))

    def test_whoever_acts_first_after_a_pause_notices_it(self) -> None:
        gap = ClockGap(0.0)
        gap.confirm(0.0, 0.0)
        self.assertFalse(gap.recently_verified(2.5))
        self.assertEqual(gap.pauses, 1)

    def test_silence_of_others_ends_the_belief(self) -> None:
        gap = ClockGap(0.0)
        gap.confirm(0.0, 0.0)
        for turn in range(40):
            gap.observe(turn / 10)
        self.assertFalse(gap.recently_verified(4.0))
        self.assertEqual(gap.pauses, 0)
