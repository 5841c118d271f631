"""By how much an endpoint has lately begun requests later than forecast."""

import unittest

from .recent_lateness import KEPT_SECONDS, RecentLateness


class RecentLatenessTest(unittest.TestCase):
    """An endpoint behind a link that fills and empties."""

    def test_the_worst_counts_while_it_is_recent(self) -> None:
        """A request takes 2 s to its engine, and the next is there at once because the queue
        on the link was short for a moment. The one after that may take 2 s again."""
        lateness = RecentLateness()
        lateness.take(2.0, 100.0)
        lateness.take(0.1, 101.0)
        self.assertEqual(lateness.worst(102.0), 2.0)
        self.assertEqual(lateness.worst(100.0 + KEPT_SECONDS + 0.1), 0.0)

    def test_what_begins_sooner_than_forecast_is_in_time(self) -> None:
        lateness = RecentLateness()
        lateness.take(-0.3, 100.0)
        self.assertEqual(lateness.worst(100.0), 0.0)


if __name__ == "__main__":
    unittest.main()
