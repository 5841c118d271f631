"""Tests of the slowdown that is learned from the events of running streams."""

import unittest

from .endpoint_speed import LIFETIME_SECONDS, EndpointSpeed

PASS_SECONDS = 0.06


class EndpointSpeedTest(unittest.TestCase):
    """An engine whose passes take 0.06 s at its published speed."""

    def setUp(self) -> None:
        self.speed = EndpointSpeed()
        self.now = 10.0

    def record(self, *ratios: float) -> None:
        """Records gaps that follow each other."""
        for ratio in ratios:
            self.now += ratio * PASS_SECONDS
            self.speed.record_gap(ratio * PASS_SECONDS, PASS_SECONDS, self.now)

    def test_half_speed_is_known_after_three_passes(self) -> None:
        """Guards against a slowdown that is known only once half a second of it is over."""
        self.record(1.0, 1.0, 1.0)
        began_at = self.now
        self.record(2.0, 2.0, 2.0)
        self.assertAlmostEqual(self.speed.slowdown(1.0, self.now), 2.0)
        self.assertLess(self.now - began_at, 0.4)

    def test_the_first_event_at_full_speed_ends_it_although_reports_still_tell_of_it(self) -> None:
        """Guards against an engine that is avoided for as long as its last report is old."""
        self.record(2.0, 2.0, 2.0, 1.0)
        self.assertLess(self.speed.slowdown(2.0, self.now), 1.31)

    def test_a_pass_that_reads_a_long_prompt_is_no_slowdown(self) -> None:
        """Guards against an engine that is avoided because it has just got a request."""
        self.record(1.0, 3.0, 1.1)
        self.assertEqual(self.speed.slowdown(1.0, self.now), 1.0)

    def test_streams_of_the_same_pass_count_once(self) -> None:
        """Guards against one long pass of several streams that counts as several."""
        self.record(1.0)
        self.now += 3.0 * PASS_SECONDS
        for _ in range(4):
            self.speed.record_gap(3.0 * PASS_SECONDS, PASS_SECONDS, self.now)
        self.assertEqual(self.speed.slowdown(1.0, self.now), 1.0)

    def test_without_recent_gaps_the_reported_pace_counts(self) -> None:
        """Guards against an engine that is avoided for good, as nothing is sent there."""
        self.record(4.0, 4.0, 4.0)
        self.assertEqual(self.speed.slowdown(1.5, self.now + 2.0 * LIFETIME_SECONDS), 1.5)
