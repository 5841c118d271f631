"""Tests of which rests count as disturbed."""

import unittest

from .rest_judge import Rest, RestJudge


class RestJudgeTest(unittest.TestCase):
    """A run asks a process for three seconds of rest at 100 seconds."""

    def setUp(self) -> None:
        self.judge = RestJudge()
        self.judge.rests = [Rest("entry-1 7", "e1 1", 100.0, 3.0)]

    def disturbances(
        self, *arrived_at: float, process: str = "entry-1 7", run: str = "e1 1"
    ) -> list[int]:
        """Returns how many arrivals count in each rest that too many disturb."""
        for at in arrived_at:
            self.judge.record_arrival(process, run, at)
        return [number for _, number in self.judge.disturbed_rests()]

    def test_third_request_in_the_rest_disturbs_it(self) -> None:
        """Guards against a judge that allows more, or less, than two."""
        self.assertEqual(self.disturbances(100.6, 102.9), [])
        self.assertEqual(self.disturbances(101.0), [3])

    def test_requests_before_half_a_second_and_after_the_rest_do_not_count(self) -> None:
        """Guards against entries that are blamed for what was on its way."""
        self.assertEqual(self.disturbances(100.1, 100.2, 100.4, 103.1, 103.2, 103.3), [])

    def test_other_processes_and_runs_do_not_count(self) -> None:
        """Guards against rests that bind those that were not asked."""
        self.assertEqual(self.disturbances(101.0, 101.1, 101.2, process="entry-1 8"), [])
        self.assertEqual(self.disturbances(101.0, 101.1, 101.2, run="e1 2"), [])

    def test_suspension_since_the_answer_excuses_what_follows(self) -> None:
        """Guards against an excuse for requests that came before the suspension."""
        self.judge.suspended = {"entry-1 7": [(98.0, 99.0), (102.0, 102.4)]}
        self.assertEqual(self.disturbances(101.0, 101.1, 102.5), [])
        self.assertEqual(self.disturbances(101.2), [3])

    def test_rest_that_is_asked_for_again_is_judged_by_itself(self) -> None:
        """Guards against a judge for which only the first answer counts."""
        self.judge.rests.append(Rest("entry-1 7", "e1 1", 101.0, 3.0))
        self.assertEqual(self.disturbances(101.0, 103.2, 103.4, 103.9), [3])


if __name__ == "__main__":
    unittest.main()
