"""Tests of which revisions may be put in force."""

import unittest

from .revision_tracker import ClaimVerdict, RevisionTracker


class RevisionBookTest(unittest.TestCase):
    """The revision in force only increases, and none with two contents is put in force."""

    def setUp(self) -> None:
        self.tracker = RevisionTracker()
        self.tracker.put_in_force(5, "five")

    def test_an_old_revision_is_refused(self) -> None:
        """The service is restored from an old copy and offers the previous revision. If it were put
        in force, the operators' last change would be undone."""
        self.assertIs(self.tracker.assess_claim(4, "four"), ClaimVerdict.OLD)
        self.assertFalse(self.tracker.put_in_force(4, "four"))
        self.assertEqual(self.tracker.revision, 5)

    def test_two_contents_of_one_revision_raise_an_alarm_and_neither_is_chosen(self) -> None:
        """The service was restored, and operators published under a number that was already used.
        Without the alarm two sites would run different contents as revision 6."""
        self.assertIs(self.tracker.assess_claim(6, "one"), ClaimVerdict.WANTED)
        self.assertIs(self.tracker.assess_claim(6, "other"), ClaimVerdict.CONFLICT)
        self.assertIs(self.tracker.assess_claim(6, "one"), ClaimVerdict.CONFLICT)
        self.assertFalse(self.tracker.put_in_force(6, "one"))
        self.assertIn("revision 6 has two contents", self.tracker.alarm)
        self.assertTrue(self.tracker.put_in_force(7, "seven"))
        self.assertEqual(self.tracker.alarm, "")

    def test_a_second_content_of_the_revision_in_force_changes_nothing(self) -> None:
        """A peer runs another content as the revision in force here. Operators see the alarm at
        both, and neither changes the configuration it serves."""
        self.assertIs(self.tracker.assess_claim(5, "other"), ClaimVerdict.CONFLICT)
        self.assertEqual(self.tracker.digest, "five")
        self.assertIn("revision 5", self.tracker.alarm)

    def test_an_invalid_value_is_not_fetched_again_and_a_later_one_clears_it(self) -> None:
        """An invalid revision is published. Every process must keep the previous one, report the
        reason once, and put the next valid one in force."""
        self.tracker.assess_claim(6, "bad")
        self.assertTrue(self.tracker.refuse(6, "bad", "models: expected object"))
        self.assertFalse(self.tracker.refuse(6, "bad", "models: expected object"))
        self.assertIs(self.tracker.assess_claim(6, "bad"), ClaimVerdict.REFUSED)
        self.assertEqual((self.tracker.revision, self.tracker.refusal.revision), (5, 6))
        self.assertTrue(self.tracker.put_in_force(7, "seven"))
        self.assertIsNone(self.tracker.refusal)

    def test_the_number_of_stored_claims_is_limited(self) -> None:
        for revision in range(10, 1000):
            self.tracker.assess_claim(revision, "x")
        self.assertEqual(self.tracker.highest, 999)
        self.assertTrue(self.tracker.put_in_force(999, "x"))
