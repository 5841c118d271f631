"""Tests of when callers come back after a rest."""

import unittest

from .return_turns import ReturnTurns

NOW = 100.0
ENDS_AT = 103.0


class ReturnTurnsTest(unittest.TestCase):
    """Callers of a service whose endpoints rest for three seconds."""

    def setUp(self) -> None:
        self.turns = ReturnTurns()

    def assign(self, seconds_left: float = 30.0) -> float:
        """Assigns a turn to a caller."""
        return self.turns.assign(ENDS_AT, 0.25, NOW, seconds_left, seconds_left - 0.5)

    def test_callers_come_back_one_after_another(self) -> None:
        self.assertEqual([self.assign() for _ in range(3)], [3.0, 3.25, 3.5])

    def test_caller_for_whom_its_turn_is_too_late_goes_first(self) -> None:
        """Guards against callers who are told to come back when they will have given up."""
        for _ in range(100):
            self.assign()
        self.assertEqual(self.assign(9.5), 3.0)

    def test_caller_that_comes_back_before_takes_no_turn(self) -> None:
        """Guards against turns that pass unused, because their callers came back earlier and got
        others."""
        for _ in range(100):
            self.assertEqual(self.assign(8.5), 3.0)
        self.assertEqual(self.assign(), 3.0)

    def test_turns_of_an_earlier_rest_are_over(self) -> None:
        self.assign()
        later = self.turns.assign(203.0, 0.25, 200.0, 30.0, 29.5)
        self.assertEqual(later, 3.0)


if __name__ == "__main__":
    unittest.main()
