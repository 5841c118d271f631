"""Tests of the deadline that an engine gets for a request."""

import unittest

from .begin_deadline import DEADLINE_MARGIN_SECONDS, limit_seconds


class LimitSecondsTest(unittest.TestCase):
    """A caller that waits six seconds."""

    def test_request_that_ends_before_the_bound_cannot_begin_after_it(self) -> None:
        """Guards against an engine that wakes after the bound with a request that it has read, and
        begins it because its caller would still have waited."""
        self.assertEqual(limit_seconds(6.0, 4.0, 2.0), 4.0 - DEADLINE_MARGIN_SECONDS)

    def test_forecast_counts_without_a_margin_once_a_newer_version_is_known(self) -> None:
        """Guards against the same where the answer is forecast to end just before the bound."""
        self.assertEqual(limit_seconds(6.0, 3.0, 2.7, replaced=True), 3.0 - DEADLINE_MARGIN_SECONDS)
        self.assertEqual(limit_seconds(6.0, 3.0, 2.7), 6.0)
        self.assertEqual(limit_seconds(6.0, 3.0, 2.9, replaced=True), 6.0)

    def test_deadline_of_the_caller_is_never_exceeded(self) -> None:
        self.assertEqual(limit_seconds(3.0, 8.0, 2.0), 3.0)

    def test_answer_that_may_last_beyond_the_bound_is_not_stopped_there(self) -> None:
        """Guards against an engine that stops an answer that began in time."""
        self.assertEqual(limit_seconds(6.0, 2.0, 1.8), 6.0)
        self.assertEqual(limit_seconds(6.0, -1.0, 0.5), 6.0)


if __name__ == "__main__":
    unittest.main()
