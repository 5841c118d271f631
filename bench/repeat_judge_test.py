"""Tests of the judge of repeats."""

import unittest

from .repeat_judge import RepeatJudge


class RepeatJudgeTest(unittest.TestCase):
    """Repeats that a budget allows, and those that it doesn't."""

    def setUp(self) -> None:
        self.judge = RepeatJudge(0.2, 1.0, 10.0)
        for number in range(10):
            self.judge.record_request(float(number))
            self.judge.record_arrival(f"r{number}", float(number))

    def test_repeats_within_the_budget_are_allowed(self) -> None:
        """Guards against a judge that counts first arrivals."""
        for name in ("r1", "r2", "r3"):
            self.judge.record_arrival(name, 5.0)
        self.assertEqual((self.judge.repeats, self.judge.over_budget()), (3, []))

    def test_repeats_of_one_window_are_counted_together(self) -> None:
        """Guards against a judge that starts windows at fixed times only."""
        for name, at in (("r1", 6.0), ("r2", 9.0), ("r3", 12.0)):
            self.judge.record_arrival(name, at)
        self.assertEqual(self.judge.over_budget(), ["6.000: 3 of 9 requests"])

    def test_request_that_may_run_once_is_found(self) -> None:
        """Guards against a judge that misses a charge which ran twice."""
        self.judge.record_arrival("r1", 6.0)
        self.judge.record_arrival("r2", 6.0)
        self.assertEqual(self.judge.repeated(lambda name: name == "r2"), ["r2"])


if __name__ == "__main__":
    unittest.main()
