"""Tests of the order of revisions."""

import unittest

from .revision_book import Claim, RevisionBook


class RevisionBookTest(unittest.TestCase):
    """The revision in force goes up only, and is never one of two contents."""

    def setUp(self) -> None:
        self.book = RevisionBook()
        self.book.put_in_force(5, "five")

    def test_an_old_revision_is_refused(self) -> None:
        """The service comes back from an old copy and offers the revision before. Without the
        book operators would see their last change undo itself."""
        self.assertIs(self.book.judge(4, "four"), Claim.OLD)
        self.assertFalse(self.book.put_in_force(4, "four"))
        self.assertEqual(self.book.revision, 5)

    def test_two_contents_of_one_revision_are_an_alarm_and_no_choice(self) -> None:
        """The service was restored, and operators published again under a number already used.
        Without the alarm two sites would run two contents that both call themselves 6."""
        self.assertIs(self.book.judge(6, "one"), Claim.WANTED)
        self.assertIs(self.book.judge(6, "other"), Claim.CONFLICT)
        self.assertIs(self.book.judge(6, "one"), Claim.CONFLICT)
        self.assertFalse(self.book.put_in_force(6, "one"))
        self.assertIn("revision 6 has two contents", self.book.alarm)
        self.assertTrue(self.book.put_in_force(7, "seven"))
        self.assertEqual(self.book.alarm, "")

    def test_a_second_content_of_the_revision_in_force_changes_nothing(self) -> None:
        """A peer runs another content under the number in force here. Operators see the alarm
        at both, and neither changes what callers get."""
        self.assertIs(self.book.judge(5, "other"), Claim.CONFLICT)
        self.assertEqual(self.book.digest, "five")
        self.assertIn("revision 5", self.book.alarm)

    def test_a_refused_value_is_not_asked_for_again_and_a_later_one_clears_it(self) -> None:
        """An invalid revision is published. Every process must keep the one before, say why
        once, and go on with the next valid one."""
        self.book.judge(6, "bad")
        self.assertTrue(self.book.refuse(6, "bad", "models: expected object"))
        self.assertFalse(self.book.refuse(6, "bad", "models: expected object"))
        self.assertIs(self.book.judge(6, "bad"), Claim.REFUSED)
        self.assertEqual((self.book.revision, self.book.refusal.revision), (5, 6))
        self.assertTrue(self.book.put_in_force(7, "seven"))
        self.assertIsNone(self.book.refusal)

    def test_claims_without_values_do_not_fill_the_memory(self) -> None:
        for revision in range(10, 1000):
            self.book.judge(revision, "x")
        self.assertEqual(self.book.highest, 999)
        self.assertTrue(self.book.put_in_force(999, "x"))
