"""Tests of the rate limit for routine log lines."""

import unittest

from .line_rate_limit import ROUTINE_LINES_PER_SECOND, LineRateLimit


class LineRateLimitTest(unittest.TestCase):
    """Lines beyond the limit are dropped and counted."""

    def test_a_flood_is_limited_and_dropped_lines_are_counted_once(self) -> None:
        """A caller retries without pause, and each of its requests would write two lines. The
        process would spend its time on logging, and the log store would drop other lines."""
        limit = LineRateLimit()
        written = sum(limit.allow(5.1) for _ in range(3 * ROUTINE_LINES_PER_SECOND))
        self.assertEqual(written, ROUTINE_LINES_PER_SECOND)
        self.assertEqual(limit.reset_dropped_count(5.9), 0)
        self.assertEqual(limit.reset_dropped_count(6.0), 2 * ROUTINE_LINES_PER_SECOND)
        self.assertEqual(limit.reset_dropped_count(6.1), 0)

    def test_the_limit_resets_each_second(self) -> None:
        limit = LineRateLimit()
        for _ in range(ROUTINE_LINES_PER_SECOND):
            limit.allow(5.0)
        self.assertFalse(limit.allow(5.5))
        self.assertTrue(limit.allow(6.0))
