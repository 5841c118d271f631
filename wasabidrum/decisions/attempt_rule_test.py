"""What the ends of attempts prove, and what a caller is told."""

import unittest

import hypothesis
from hypothesis import strategies

from .attempt_rule import LATE_STATUS, NOT_RUN_STATUS, PROVES_NOT_RUN, AttemptEnd, AttemptHistory

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
ENDS = strategies.lists(strategies.sampled_from(AttemptEnd), max_size=8)


class AttemptHistoryTest(unittest.TestCase):
    """The attempts of one request, whatever their ends."""

    @SETTINGS
    @hypothesis.given(ENDS)
    def test_a_charge_is_never_sent_again_after_it_may_have_run(self, ends: list) -> None:
        """An endpoint runs a charge and its answer is lost. Sent to another endpoint, the
        charge runs twice and a family pays double."""
        history = AttemptHistory(idempotent=False, most_runs=5)
        may_have_run = False
        for end in ends:
            if may_have_run:
                self.assertFalse(history.may_go_on())
            history.take(end)
            may_have_run |= end not in PROVES_NOT_RUN

    @SETTINGS
    @hypothesis.given(ENDS, strategies.booleans(), strategies.booleans())
    def test_not_run_is_said_only_where_it_is_proved(
        self, ends: list, idempotent: bool, late: bool
    ) -> None:
        """A charge is lost on its way back, and the caller is told that it did not run. The
        caller sends it again, and it runs twice all the same."""
        history = AttemptHistory(idempotent, 2)
        for end in ends:
            history.take(end)
        proved = all(end in PROVES_NOT_RUN for end in ends)
        self.assertEqual(history.final_status(late) == NOT_RUN_STATUS, proved)

    def test_a_read_runs_at_no_more_endpoints_than_its_route_allows(self) -> None:
        history = AttemptHistory(idempotent=True, most_runs=2)
        history.take(AttemptEnd.LOST)
        self.assertTrue(history.may_go_on())
        history.take(AttemptEnd.REFUSED)
        self.assertTrue(history.may_go_on())
        history.take(AttemptEnd.FAILED)
        self.assertFalse(history.may_go_on())
        self.assertEqual(history.final_status(late=True), LATE_STATUS)
