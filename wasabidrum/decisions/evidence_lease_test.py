"""How long the configuration that is held may be acted on."""

import unittest

from .evidence_lease import (
    MARGIN_SECONDS,
    PROMPT_SECONDS,
    EvidenceLease,
    prompt_after,
    quiet_until,
)


class EvidenceLeaseTest(unittest.TestCase):
    """A lease with a bound of five seconds."""

    def test_a_key_that_was_taken_away_is_refused_everywhere_in_time(self) -> None:
        """A key is taken away while an entry cannot reach the store. Its holder is served
        by the configuration from before for as long as the outage lasts. The lease ends before
        the bound, whatever the entry hears meanwhile that is older."""
        lease = EvidenceLease(5.0)
        lease.renew(100.0)
        taken_away_at = 100.001
        lease.renew(99.0)
        self.assertTrue(lease.holds(100.0 + 5.0 - MARGIN_SECONDS))
        self.assertFalse(lease.holds(taken_away_at + 5.0))

    def test_an_answer_counts_from_its_question(self) -> None:
        """The store answers slowly, and a key is taken away while its answer is on the way.
        Counted from the answer, the lease would cover a moment that the answer knows nothing
        of, and the key would pass for that long too long."""
        lease = EvidenceLease(5.0)
        asked_at, answered_at = 100.0, 103.0
        lease.renew(asked_at)
        self.assertFalse(lease.holds(answered_at + 2.0))

    def test_a_watch_that_ended_without_changes_dates_what_the_next_one_brings(self) -> None:
        """Dated by when the watch before was asked, a version would bind a wait too early."""
        self.assertEqual(quiet_until(100.0, 101.21, 1.2, held_up=False), 101.2)

    def test_a_watch_that_ended_early_or_was_read_late_dates_by_its_question(self) -> None:
        self.assertEqual(quiet_until(100.0, 100.7, 1.2, held_up=False), 100.0)
        self.assertEqual(quiet_until(100.0, 109.0, 1.2, held_up=True), 100.0)

    def test_nothing_holds_before_the_first_answer(self) -> None:
        self.assertFalse(EvidenceLease(5.0).holds(0.0))
        self.assertFalse(EvidenceLease(5.0).is_ready(0.0))

    def test_new_callers_stay_away_before_old_ones_are_refused(self) -> None:
        lease = EvidenceLease(5.0)
        lease.renew(100.0)
        self.assertTrue(lease.is_ready(102.0))
        self.assertFalse(lease.is_ready(104.0))
        self.assertTrue(lease.holds(104.0))


class PromptAfterTest(unittest.TestCase):
    """When a change was made that a question brought which was to wait for 1.2 s."""

    def test_one_that_waited_tells_the_moment(self) -> None:
        self.assertEqual(prompt_after(100.0, 100.7, 1.2, False), 100.7 - PROMPT_SECONDS)

    def test_one_that_was_answered_at_once_tells_of_what_was_before(self) -> None:
        """A change is made while nobody asks. The next question is answered at once, and the
        change may be as old as the pause before it."""
        self.assertEqual(prompt_after(100.0, 100.01, 1.2, False), float("-inf"))

    def test_one_that_was_held_up_tells_nothing(self) -> None:
        """A process stands still while a change waits for it. Dated by when it was read, the
        change would seem younger than it is by all that time."""
        self.assertEqual(prompt_after(100.0, 104.5, 1.2, False), float("-inf"))

    def test_one_that_was_held_up_within_its_wait_tells_nothing_either(self) -> None:
        """A process stands still for less than the question was to wait. The change was made
        before or during that; only whoever knows that it stood still can tell."""
        self.assertEqual(prompt_after(100.0, 101.05, 1.2, True), float("-inf"))
