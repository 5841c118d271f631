"""Tests of which first tokens break the bound of a version."""

import unittest

from .version_judge import FirstToken, VersionJudge

BOUND = 8.0
STABLE = 3.0


def token_of(began_at: float, version: int = 1, sent_at: float | None = None) -> FirstToken:
    """Returns a first token of a request that was sent at a time, or just before."""
    sent = began_at - 0.1 if sent_at is None else sent_at
    return FirstToken("r", "i-1", "entry-1", version, sent, sent, began_at)


class VersionJudgeTest(unittest.TestCase):
    """Version 2 is acknowledged at 100 seconds."""

    def setUp(self) -> None:
        self.judge = VersionJudge(BOUND, STABLE)
        self.judge.acknowledged = {1: 0.0, 2: 100.0}

    def test_token_on_the_replaced_version_is_late_from_the_bound_on(self) -> None:
        (late,) = self.judge.late_tokens([token_of(107.9), token_of(108.5), token_of(108.5, 2)])
        self.assertEqual((late.newer, late.token.version), (2, 1))
        self.assertAlmostEqual(late.seconds, 0.5)
        self.assertAlmostEqual(late.after_naming, 8.5)

    def test_each_version_is_judged_from_its_own_acknowledgement(self) -> None:
        """Guards against a judge that lets an old version serve on because a newer one was named
        again."""
        self.judge.acknowledged[3] = 107.0
        late = self.judge.late_tokens([token_of(108.5), token_of(108.5, 2)])
        self.assertEqual([(each.token.version, each.newer) for each in late], [(1, 2)])

    def test_bound_counts_in_a_stretch_in_which_the_store_was_stable(self) -> None:
        self.judge.store_faults = [(102.0, 104.0)]
        self.assertEqual(self.judge.due_at(2), 104.0 + STABLE + BOUND)
        self.judge.store_faults = [(98.0, 99.0), (120.0, 121.0)]
        self.assertEqual(self.judge.due_at(2), 99.0 + STABLE + BOUND)

    def test_entries_that_were_disturbed_when_they_sent_are_excused(self) -> None:
        self.judge.disturbed = {"entry-1": [(105.0, 106.0)]}
        self.assertEqual(self.judge.late_tokens([token_of(109.5, sent_at=108.9)]), [])
        self.assertEqual(len(self.judge.late_tokens([token_of(109.5, sent_at=109.1)])), 1)
        self.assertEqual(len(self.judge.late_tokens([token_of(109.5, sent_at=104.9)])), 1)


if __name__ == "__main__":
    unittest.main()
