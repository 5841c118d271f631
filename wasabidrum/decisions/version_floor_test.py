"""The oldest version that a request may begin on."""

import unittest

from .request_recall import BOUND_MARGIN_SECONDS
from .store_outage import Outage
from .version_floor import PLACE_MARGIN_SECONDS, UNKNOWN_SECONDS, VersionFloor

IN_TOUCH_SECONDS = 3.0
NEVER = float("-inf")


class VersionFloorTest(unittest.TestCase):
    """A model whose versions must be in force eight seconds after they were named."""

    def setUp(self) -> None:
        self.floor = VersionFloor(8.0)
        self.floor.take(1, 0.0, 0.0)

    def test_the_version_before_answers_until_just_before_the_bound(self) -> None:
        self.floor.take(2, 100.0, 100.0)
        self.assertEqual(self.floor.oldest_to_place(100.0 + 8.0 - PLACE_MARGIN_SECONDS - 0.01), 1)
        self.assertEqual(self.floor.oldest_to_place(100.0 + 8.0 - PLACE_MARGIN_SECONDS), 2)

    def test_each_of_two_versions_binds_by_its_own_time(self) -> None:
        """A version is named before the one before it is everywhere. Judged by the newest
        alone, an engine two versions back would be good for as long as operators go on
        naming new ones."""
        self.floor.take(2, 100.0, 100.0)
        self.floor.take(3, 102.0, 102.0)
        self.assertEqual(self.floor.oldest_to_place(107.5), 2)
        self.assertEqual(self.floor.oldest_to_place(109.5), 3)

    def test_it_tells_when_requests_are_no_longer_placed_on_what_each_version_replaces(
        self,
    ) -> None:
        self.floor.take(2, 100.0, 100.0)
        self.floor.take(3, 102.0, 102.0)
        limits = self.floor.placing_limits("m", 103.0)
        self.assertEqual([limit.version for limit in limits], [1, 2, 3])
        self.assertAlmostEqual(limits[1].seconds, 5.0 - PLACE_MARGIN_SECONDS)
        self.assertEqual([limit.version for limit in self.floor.placing_limits("m", 108.5)], [2, 3])
        later = self.floor.placing_limits("m", 108.5, Outage(101.0, 106.0))
        self.assertAlmostEqual(later[1].put_off, 6.0)
        self.assertAlmostEqual(later[1].seconds, 106.0 + 8.0 - PLACE_MARGIN_SECONDS - 108.5)

    def test_a_version_that_was_named_before_changes_nothing(self) -> None:
        self.floor.take(2, 100.0, 100.0)
        self.assertFalse(self.floor.take(2, 200.0, 200.0))
        self.assertFalse(self.floor.take(1, 200.0, 200.0))
        self.assertEqual(self.floor.oldest_to_place(150.0), 2)

    def test_a_restarted_process_does_not_serve_an_overdue_version(self) -> None:
        """All entries are killed seconds after a version was named. Whoever starts cannot
        know since when it has been wanted; counted from the start, callers would get the
        version before for seconds more than operators allow."""
        floor = VersionFloor(8.0)
        floor.take(2, NEVER, 100.0)
        binding = 100.0 + UNKNOWN_SECONDS - PLACE_MARGIN_SECONDS
        self.assertEqual(floor.oldest_to_place(binding - 0.01), 0)
        self.assertEqual(floor.oldest_to_place(binding), 2)
        self.assertLess(UNKNOWN_SECONDS, IN_TOUCH_SECONDS)

    def test_another_process_tells_for_how_long_a_version_has_been_wanted(self) -> None:
        floor = VersionFloor(8.0)
        floor.take(2, NEVER, 100.0)
        floor.record_reported(2, 7.5, 100.1)
        self.assertEqual(floor.oldest_to_place(100.1), 2)

    def test_a_younger_account_does_not_prolong_the_time(self) -> None:
        self.floor.take(2, 100.0, 100.0)
        self.floor.record_reported(2, 0.0, 105.0)
        self.assertEqual(self.floor.oldest_to_place(107.5), 2)
        self.assertAlmostEqual(self.floor.newest_seconds(103.0), 3.0)

    def test_a_version_that_is_heard_late_binds_by_the_last_answer_without_it(self) -> None:
        """An entry wakes after 5 s and hears of a version then. Counted from its hearing, its
        callers would get the version before until 5 s after everybody else has stopped."""
        self.floor.take(2, 100.0, 105.0)
        self.assertEqual(self.floor.oldest_to_place(100.0 + 8.0 - PLACE_MARGIN_SECONDS), 2)

    def test_one_that_may_be_overdue_is_good_for_a_moment_still(self) -> None:
        """The store was away for long, and a version is named as soon as it is back. Counted
        from the last answer before, the bound is over already, and all callers would be
        refused before any engine can have switched."""
        self.floor.take(2, 80.0, 100.0)
        last = 100.0 + UNKNOWN_SECONDS - PLACE_MARGIN_SECONDS
        self.assertEqual(self.floor.oldest_to_place(last - 0.01), 1)
        self.assertEqual(self.floor.oldest_to_place(last), 2)

    def test_others_are_told_when_it_was_heard_of_and_not_when_it_may_have_been_named(self) -> None:
        """An entry that has just started tells others for how long a version has been wanted.
        Were it to tell its worst guess, those that know better would refuse their callers."""
        floor = VersionFloor(8.0)
        floor.take(2, NEVER, 100.0)
        self.assertAlmostEqual(floor.newest_seconds(100.5), 0.5)

    def test_an_outage_of_the_store_does_not_count(self) -> None:
        """A version is named while the store does not answer. Counted from the naming, the bound
        is over when the store is back, and all callers are refused for as long as weights take."""
        self.floor.take(2, 100.0, 108.0)
        last = 108.0 + 8.0 - PLACE_MARGIN_SECONDS
        self.assertEqual(self.floor.oldest_to_place(last - 0.01, Outage(99.0, 108.0)), 1)
        self.assertEqual(self.floor.oldest_to_place(last, Outage(99.0, 108.0)), 2)

    def test_an_outage_after_the_bound_changes_nothing(self) -> None:
        """A version binds, and then the store goes away. Counted anew, requests would be placed
        on replaced weights again."""
        self.floor.take(2, 100.0, 100.0)
        self.assertEqual(self.floor.oldest_to_place(112.0, Outage(109.0, 113.0)), 2)

    def test_a_version_named_after_an_outage_binds_by_its_own_time(self) -> None:
        self.floor.take(2, 100.0, 100.0)
        last = 100.0 + 8.0 - PLACE_MARGIN_SECONDS
        self.assertEqual(self.floor.oldest_to_place(last, Outage(80.0, 90.0)), 2)

    def test_what_was_placed_in_time_may_begin_a_little_longer(self) -> None:
        """A request is placed in the last moment, and its engine takes half a second to begin
        it. Taken back at once its caller would lose its turn for nothing; left for longer it
        could begin after the bound."""
        self.floor.take(2, 100.0, 100.0)
        placed_last = 100.0 + 8.0 - PLACE_MARGIN_SECONDS
        self.assertEqual(self.floor.oldest_to_begin(placed_last + 0.5), 1)
        self.assertEqual(self.floor.oldest_to_begin(100.0 + 8.0 - BOUND_MARGIN_SECONDS), 2)
        # A look may come a tenth of a second later, and the reset takes its way.
        self.assertEqual(self.floor.oldest_to_begin(100.0 + 8.0 - 0.3), 2)
