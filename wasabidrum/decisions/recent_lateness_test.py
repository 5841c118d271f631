"""Tests of how much later than forecast an endpoint has recently begun requests."""

import unittest

from .recent_lateness import WINDOW_SECONDS, RecentLateness


class RecentLatenessTest(unittest.TestCase):
    """An endpoint behind a link whose queue grows and shrinks."""

    def test_the_worst_lateness_counts_while_it_is_recent(self) -> None:
        """A request takes 2 s to reach its engine, and the next one no time, because the queue
        on the link was short for a moment. The one after that may take 2 s again."""
        lateness = RecentLateness()
        lateness.record(2.0, 100.0)
        lateness.record(0.1, 101.0)
        self.assertEqual(lateness.worst(102.0), 2.0)
        self.assertEqual(lateness.worst(100.0 + WINDOW_SECONDS + 0.1), 0.0)

    def test_request_that_begins_earlier_than_forecast_is_not_late(self) -> None:
        lateness = RecentLateness()
        lateness.record(-0.3, 100.0)
        self.assertEqual(lateness.worst(100.0), 0.0)


if __name__ == "__main__":
    unittest.main()
