"""Tests of which requests reach an endpoint too late after it has said that it leaves."""

import unittest

from .leaving_judge import Arrival, LeavingJudge

BOUND = 2.0


class LeavingJudgeTest(unittest.TestCase):
    """An answer that says that a run leaves is passed on at 100 seconds."""

    def setUp(self) -> None:
        self.judge = LeavingJudge(BOUND)
        self.judge.record_passed_on("entry-1 7", "e1 1", 100.0)

    def late(self, sent_at: float, process: str = "entry-1 7", run: str = "e1 1") -> list[float]:
        """Returns by how much after the answer a request was sent, if it was too late."""
        arrival = Arrival("r1", process, run, sent_at, sent_at + 0.1)
        return [round(seconds, 3) for seconds, _ in self.judge.late_arrivals([arrival])]

    def test_request_sent_after_the_bound_is_late(self) -> None:
        """Guards against a judge that counts from the arrival, or from another answer."""
        self.assertEqual(self.late(101.95), [])
        self.assertEqual(self.late(102.05), [2.05])

    def test_other_processes_and_runs_are_not_bound(self) -> None:
        """Guards against entries that are blamed for what only others were told, and for a run that
        began under the same id."""
        self.assertEqual(self.late(110.0, process="entry-1 8"), [])
        self.assertEqual(self.late(110.0, run="e1 2"), [])

    def test_suspension_since_the_answer_excuses(self) -> None:
        """Guards against an excuse for processes that were suspended before, or later."""
        self.judge.suspended = {"entry-1 7": [(98.0, 99.0), (104.0, 105.0)]}
        self.assertEqual(self.late(103.0), [3.0])
        self.assertEqual(self.late(106.0), [])

    def test_answer_after_a_suspension_binds_again(self) -> None:
        """Guards against a suspension that excuses an entry for good."""
        self.judge.suspended = {"entry-1 7": [(104.0, 105.0)]}
        self.judge.record_passed_on("entry-1 7", "e1 1", 106.0)
        self.assertEqual(self.late(109.0), [3.0])


if __name__ == "__main__":
    unittest.main()
