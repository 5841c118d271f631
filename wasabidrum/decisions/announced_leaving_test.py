"""Tests of the announcements of endpoints that they leave."""

import unittest

from .announced_leaving import MAX_RUNS, AnnouncedLeaving


class AnnouncedLeavingTest(unittest.TestCase):
    """One endpoint that has announced that it leaves."""

    def setUp(self) -> None:
        self.announced = AnnouncedLeaving()
        self.announced.record("a", 1000)

    def test_repeated_announcement_is_not_new(self) -> None:
        """Guards against a log line for each answer of an endpoint that leaves."""
        self.assertFalse(self.announced.record("a", 1000))

    def test_another_run_has_not_announced_it(self) -> None:
        """Guards against an endpoint that gets no requests after it has started again."""
        self.assertTrue(self.announced.includes("a", 1000))
        self.assertFalse(self.announced.includes("a", 2000))
        self.assertFalse(self.announced.includes("a", 500))

    def test_registration_without_a_start_is_no_other_run(self) -> None:
        """Guards against an incomplete registration that takes the announcement back."""
        self.assertTrue(self.announced.includes("a", 0))

    def test_announcement_outlasts_a_lapsed_registration(self) -> None:
        """Guards against requests to a run that is listed as ready again after an outage."""
        self.announced.record_unlisted("a")
        self.assertTrue(self.announced.includes("a", 1000))

    def test_run_without_a_start_ends_with_its_registration(self) -> None:
        """Guards against an endpoint that stays out for good because its runs look the same."""
        self.announced.record("b", 0)
        self.announced.record_unlisted("b")
        self.assertFalse(self.announced.includes("b", 0))

    def test_oldest_announcements_are_forgotten(self) -> None:
        """Guards against memory that grows with each endpoint that has ever left."""
        for number in range(MAX_RUNS):
            self.announced.record(f"e{number}", 1000)
        self.assertFalse(self.announced.includes("a", 1000))
        self.assertTrue(self.announced.includes("e0", 1000))
