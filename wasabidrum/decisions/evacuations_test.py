"""Tests of which data centres are evacuated, by items that arrive late, twice or out of order."""

import unittest

from .evacuations import RESTORED_GRACE_SECONDS, EvacuationChange, Evacuations


class EvacuationsTest(unittest.TestCase):
    """Two data centres, of which "a" is evacuated with revision 5."""

    def setUp(self) -> None:
        self.evacuations = Evacuations(("a", "b"))
        self.assertIs(self.evacuations.apply("a", b"{}", 5, 1.0), EvacuationChange.BEGAN)

    def test_items_that_are_older_or_known_change_nothing(self) -> None:
        """Guards against an evacuation that an answer ends which was under way before it began."""
        for revision, value in ((5, b"{}"), (4, None), (5, None)):
            change = self.evacuations.apply("a", value, revision, 2.0)
            self.assertIs(change, EvacuationChange.NOTHING)
        self.assertEqual(self.evacuations.apply_listing((), 4, 2.0), [])
        self.assertEqual(self.evacuations.since("a"), 1.0)

    def test_evacuation_ends_and_begins_again(self) -> None:
        """Guards against a data centre that stays unused, or that an old item evacuates again."""
        self.assertIs(self.evacuations.apply("a", None, 6, 2.0), EvacuationChange.ENDED)
        self.assertIs(self.evacuations.apply("a", b"{}", 5, 3.0), EvacuationChange.NOTHING)
        self.assertEqual((self.evacuations.count, self.evacuations.ended_at("a")), (0, 2.0))
        self.assertIs(self.evacuations.apply("a", b'{"x":1}', 7, 4.0), EvacuationChange.BEGAN)
        self.assertEqual(self.evacuations.apply_listing(("b",), 8, 5.0), ["a"])
        self.assertEqual(self.evacuations.ended_at("a"), 5.0)

    def test_restored_store_decides_anew(self) -> None:
        """Guards against evacuations that go on without end, or do not begin again, because their
        revisions were given out before."""
        self.evacuations.begin_epoch(10.0)
        self.assertEqual(self.evacuations.apply_listing((), 3, 10.0), [])
        self.assertEqual(self.evacuations.expire(10.0 + RESTORED_GRACE_SECONDS), ["a"])
        self.assertIs(self.evacuations.apply("a", b"{}", 4, 12.0), EvacuationChange.BEGAN)

    def test_evacuation_that_is_written_again_goes_on(self) -> None:
        """Guards against requests to a data centre in the moment until its key is written again."""
        self.evacuations.begin_epoch(10.0)
        self.evacuations.apply_listing((), 3, 10.0)
        self.assertIs(self.evacuations.apply("a", b"{}", 4, 11.0), EvacuationChange.NOTHING)
        self.assertEqual(self.evacuations.expire(20.0), [])
        self.assertEqual(self.evacuations.apply_listing((), 5, 21.0), ["a"])

    def test_invalid_values_and_names_are_reported_once(self) -> None:
        """Guards against a log line for each answer, and a typing error that ends an evacuation."""
        for name, value, expected in (
            ("a", b"[]", EvacuationChange.NO_OBJECT),
            ("b", b"", EvacuationChange.NO_OBJECT),
            ("c", b"{}", EvacuationChange.UNKNOWN_NAME),
        ):
            self.assertIs(self.evacuations.apply(name, value, 6, 2.0), expected)
            change = self.evacuations.apply(name, value, 6, 2.0)
            self.assertIs(change, EvacuationChange.NOTHING)
        self.assertEqual(self.evacuations.apply_listing(("a", "b"), 7, 3.0), [])
        found = [self.evacuations.is_evacuated(name) for name in "abc"]
        self.assertEqual(found, [True, False, False])


if __name__ == "__main__":
    unittest.main()
