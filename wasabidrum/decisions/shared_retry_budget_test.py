"""Tests of the retries that all entries together send to one service."""

import random
import unittest

from .shared_retry_budget import MIN_ENTRIES, USED_PART, RetryAllowance, SharedRetryBudget

ALLOWANCE = RetryAllowance(fraction=0.2, extra=30.0, window=10.0)


def spend_all(budget: SharedRetryBudget, now: float, entries: int | None) -> int:
    """Spends what is left, and returns how many retries that were."""
    count = 0
    while budget.spend(0, now, entries):
        count += 1
    return count


class SharedRetryBudgetTest(unittest.TestCase):
    """One entry's part."""

    def test_only_entry_holds_its_share_at_its_first_start(self) -> None:
        budget = SharedRetryBudget(ALLOWANCE, only_entry=True)
        self.assertEqual(spend_all(budget, 0.0, 1), int(USED_PART * 30.0 / MIN_ENTRIES))
        self.assertEqual(spend_all(budget, 20.0, 1), 0)

    def test_restart_holds_only_what_its_requests_earn(self) -> None:
        """Guards against a share that each start grants anew."""
        budget = SharedRetryBudget(ALLOWANCE)
        self.assertEqual(spend_all(budget, 0.0, MIN_ENTRIES), 0)
        for _ in range(15):
            budget.earn(0.5, MIN_ENTRIES)
        self.assertEqual(spend_all(budget, 1.0, MIN_ENTRIES), 2)

    def test_share_shrinks_when_entries_join(self) -> None:
        """Guards against a share that was worked out before the other entries were known."""
        budget = SharedRetryBudget(ALLOWANCE)
        for _ in range(100):
            budget.earn(0.0, 1)
        self.assertEqual(spend_all(budget, 1.0, 21), 1)

    def test_one_retry_at_a_time_where_a_share_is_less_than_one(self) -> None:
        """Guards against hundreds of entries none of which may ever retry."""
        budget = SharedRetryBudget(ALLOWANCE)
        for number in range(100):
            budget.earn(number / 50.0, 400)
        self.assertEqual(spend_all(budget, 2.0, 400), 1)

    def test_entries_with_few_requests_hold_no_single_retry(self) -> None:
        """Guards against hundreds of idle entries that hold one retry each for the same window."""
        budget = SharedRetryBudget(ALLOWANCE)
        for number in range(100):
            budget.earn(number * 2.0, 400)
        self.assertEqual(spend_all(budget, 200.0, 400), 0)


class AllEntriesTest(unittest.TestCase):
    """Entries that join, die and start again while every request may fail."""

    def play(self, seed: int) -> float:
        """Plays one schedule; returns by how much a window exceeds the allowance at most."""
        rng = random.Random(seed)
        entries = rng.choice((1, 3, 6, 12, 40, 150))
        rate = rng.choice((3.0, 20.0, 120.0))
        budgets = [SharedRetryBudget(ALLOWANCE) for _ in range(entries)]
        requests, retries = [], []
        now = 0.0
        failing = False
        while now < 60.0:
            now += rng.expovariate(rate)
            requests.append(now)
            number = rng.randrange(entries)
            if rng.random() < 0.002 * entries:
                budgets[number] = SharedRetryBudget(ALLOWANCE)
            if rng.random() < 0.01:
                failing = not failing
            known = rng.choice((entries, entries, None))
            budgets[number].earn(now, known)
            if failing:
                retries += [now] * sum(budgets[number].spend(n, now, known) for n in range(2))
        worst = float("-inf")
        for start in retries:
            windows = (start, start - ALLOWANCE.window / 2, start - ALLOWANCE.window)
            sent = max(sum(w <= at < w + ALLOWANCE.window for at in requests) for w in windows)
            made = sum(start <= at < start + ALLOWANCE.window for at in retries)
            worst = max(worst, made - ALLOWANCE.fraction * sent - ALLOWANCE.extra)
        return worst

    def test_no_window_exceeds_what_is_allowed(self) -> None:
        """Guards against any order of starts, ends and failures that adds up to too many."""
        for seed in range(12):
            self.assertLessEqual(self.play(seed), 0.0, seed)


if __name__ == "__main__":
    unittest.main()
