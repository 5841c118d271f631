"""Tests of which requests count as lost."""

import unittest

from .lost_judge import CallerRequest, Ending, LostJudge

TIMEOUT = 1.5
GRACE = 6.0


def ended_after(seconds: float, first: bool = False, **facts: object) -> CallerRequest:
    """Returns a request of time 100 that ended without an answer after some seconds."""
    return CallerRequest("r1", first, 100.0, 100.0, 100.0 + seconds, **facts)


class LostJudgeTest(unittest.TestCase):
    """Requests that ended without an answer, and some that did not."""

    def setUp(self) -> None:
        self.judge = LostJudge(TIMEOUT, GRACE)

    def assert_ending(self, expected: Ending, *requests: CallerRequest) -> None:
        """Asserts how all of some requests ended."""
        for request in requests:
            self.assertEqual(self.judge.judge(request), expected, request)

    def test_first_request_on_a_connection_is_lost_however_soon_it_ends(self) -> None:
        """Guards against a judge that takes a reset backlog for a crossing close."""
        self.assert_ending(Ending.LOST, ended_after(0.01, first=True))

    def test_kept_connection_may_end_while_a_request_crosses(self) -> None:
        """Guards against entries that are blamed for what was sent on a connection they closed."""
        self.assert_ending(Ending.CROSSED, ended_after(0.19))
        self.assert_ending(Ending.LOST, ended_after(0.21))

    def test_callers_own_delay_is_taken_off(self) -> None:
        """Guards against a crossing close that a busy caller notices late and calls lost."""
        self.assert_ending(Ending.CROSSED, ended_after(0.3, delayed=0.15))
        self.assert_ending(Ending.LOST, ended_after(0.3, delayed=0.05))

    def test_request_that_was_passed_on_is_lost_however_soon_it_ends(self) -> None:
        """Guards against entries that close a kept connection on a request that runs."""
        self.assert_ending(Ending.LOST, ended_after(0.05, passed_on=True))

    def test_time_limit_excuses_only_what_an_endpoint_got(self) -> None:
        """Guards against requests that an entry lets lie until their time is up."""
        self.assert_ending(Ending.EXCUSED, ended_after(1.5, passed_on=True))
        self.assert_ending(Ending.LOST, ended_after(1.4, passed_on=True), ended_after(1.6))

    def test_process_that_is_killed_excuses(self) -> None:
        """Guards against entries that are blamed for what a crash ends."""
        self.assert_ending(Ending.EXCUSED, ended_after(0.5, killed=True, first=True))

    def test_endpoint_at_work_in_the_last_sixth_of_the_grace_period_excuses(self) -> None:
        """Guards against an excuse for requests that were cut off earlier, or whose endpoint had
        answered."""
        facts = {"passed_on": True, "term_at": 98.0}
        judge = self.judge = LostJudge(30.0, GRACE)
        self.assert_ending(Ending.EXCUSED, ended_after(3.1, at_work=True, **facts))
        self.assert_ending(Ending.LOST, ended_after(2.9, at_work=True, **facts))
        self.assert_ending(Ending.LOST, ended_after(3.1, **facts))
        facts["term_at"] = 96.9
        self.assertEqual(judge.judge(ended_after(3.1, at_work=True, **facts)), Ending.LOST)

    def test_answer_is_no_loss_whatever_else_happened(self) -> None:
        """Guards against answers and refusals that are counted as ends."""
        request = ended_after(5.0, first=True, passed_on=True, answered=True)
        self.assert_ending(Ending.ANSWERED, request)


if __name__ == "__main__":
    unittest.main()
