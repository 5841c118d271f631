"""Tests of what a process may act on after it was paused."""

import unittest

from .pause_detector import PauseDetector


class ClockGapTest(unittest.TestCase):
    """After a pause nothing counts as verified until a new request was answered."""

    def test_a_message_buffered_during_a_pause_verifies_nothing(self) -> None:
        """An instance is paused for ten seconds while ten revisions are published. Messages that
        arrived meanwhile look fresh when it resumes; acting on them, it would order an old version.
        """
        detector = PauseDetector(0.0)
        detector.record_reply(0.1, 0.2)
        self.assertTrue(detector.recently_verified(0.5))
        self.assertAlmostEqual(detector.observe(10.5), 10.0)
        detector.record_push(10.6)
        self.assertFalse(detector.recently_verified(10.7))
        detector.record_reply(0.4, 10.8)
        self.assertFalse(detector.recently_verified(10.8))
        detector.record_reply(10.8, 10.9)
        self.assertTrue(detector.recently_verified(11.0))
        detector.record_push(11.9)
        self.assertTrue(detector.recently_verified(12.8))

    def test_any_first_call_after_a_pause_detects_it(self) -> None:
        detector = PauseDetector(0.0)
        detector.record_reply(0.0, 0.0)
        self.assertFalse(detector.recently_verified(2.5))
        self.assertEqual(detector.pauses, 1)

    def test_verification_expires_without_further_messages(self) -> None:
        detector = PauseDetector(0.0)
        detector.record_reply(0.0, 0.0)
        for turn in range(40):
            detector.observe(turn / 10)
        self.assertFalse(detector.recently_verified(4.0))
        self.assertEqual(detector.pauses, 0)
