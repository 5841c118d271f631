"""Tests of when a process must know what the store has acknowledged."""

import unittest

from .known_since import ProcessTimes, must_know_from

BOUND = 2.0
NEVER = float("inf")


class MustKnowFromTest(unittest.TestCase):
    """A process that serves from second 5 on, and stands still from 20 to 21."""

    def test_windows(self) -> None:
        """Guards against a judge that excuses a process which had the time, or blames another."""
        process = ProcessTimes(5.0, [(20.0, 21.0)])
        for acknowledged, away, expected in (
            ([10.0], [], 12.0),
            ([3.0], [], 7.0),
            ([3.0], [(4.0, 4.5)], NEVER),
            ([10.0], [(11.0, 11.5)], NEVER),
            ([10.0, 14.0], [(11.0, 11.5)], 16.0),
            ([10.0, 14.0], [(12.5, 13.0)], 12.0),
            ([19.0], [], NEVER),
        ):
            with self.subTest(acknowledged=acknowledged, away=away):
                self.assertEqual(must_know_from(process, acknowledged, away, BOUND), expected)


if __name__ == "__main__":
    unittest.main()
