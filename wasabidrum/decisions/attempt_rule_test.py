"""Tests of what the ends of attempts prove, and of the status that a caller gets."""

import unittest

import hypothesis
from hypothesis import strategies

from .attempt_rule import NOT_RUN_STATUS, PROVES_NOT_RUN, TIMEOUT_STATUS, AttemptEnd, AttemptHistory

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
ENDS = strategies.lists(strategies.sampled_from(AttemptEnd), max_size=8)


class AttemptHistoryTest(unittest.TestCase):
    """The attempts of one request, with any sequence of ends."""

    @SETTINGS
    @hypothesis.given(ENDS)
    def test_a_charge_is_never_retried_after_it_may_have_run(self, ends: list) -> None:
        """An endpoint runs a charge and its response is lost. Sent to another endpoint, the
        charge would run twice and the customer would pay twice."""
        history = AttemptHistory(idempotent=False, max_runs=5)
        may_have_run = False
        for end in ends:
            if may_have_run:
                self.assertFalse(history.allows_retry())
            history.record(end)
            may_have_run |= end not in PROVES_NOT_RUN

    @SETTINGS
    @hypothesis.given(ENDS, strategies.booleans(), strategies.booleans())
    def test_not_run_is_reported_only_when_proved(
        self, ends: list, idempotent: bool, timed_out: bool
    ) -> None:
        """The response to a charge is lost, and the caller is told that it did not run. The
        caller sends it again, and it runs twice."""
        history = AttemptHistory(idempotent, 2)
        for end in ends:
            history.record(end)
        proved = all(end in PROVES_NOT_RUN for end in ends)
        self.assertEqual(history.final_status(timed_out) == NOT_RUN_STATUS, proved)

    def test_an_idempotent_request_runs_at_most_max_runs_times(self) -> None:
        history = AttemptHistory(idempotent=True, max_runs=2)
        history.record(AttemptEnd.LOST)
        self.assertTrue(history.allows_retry())
        history.record(AttemptEnd.REFUSED)
        self.assertTrue(history.allows_retry())
        history.record(AttemptEnd.FAILED)
        self.assertFalse(history.allows_retry())
        self.assertEqual(history.final_status(timed_out=True), TIMEOUT_STATUS)
