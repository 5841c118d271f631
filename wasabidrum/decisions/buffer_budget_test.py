"""Replays slow callers and floods against the budget of an entry's buffers."""

import unittest

from .buffer_budget import (
    MAX_ANSWER_BYTES,
    MIN_READ_AHEAD_BYTES,
    REQUEST_BYTES,
    BufferAccount,
    BufferBudget,
    make_buffer_budget,
)

MEMORY_MB = 300
SEGMENT_BYTES = 65_536


class BufferBudgetTest(unittest.TestCase):
    """A process of 300 MB."""

    def setUp(self) -> None:
        self.budget = make_buffer_budget(MEMORY_MB)

    def fill_slowly_read(self, count: int) -> list[BufferAccount]:
        """Opens requests whose callers read nothing, and reads ahead as far as allowed."""
        accounts = []
        for _ in range(count):
            if self.budget.refusing:
                break
            account = BufferAccount(self.budget)
            account.add(REQUEST_BYTES)
            accounts.append(account)
        reading = True
        while reading:
            reading = False
            for account in accounts:
                if account.held - REQUEST_BYTES < self.budget.read_ahead:
                    account.add(SEGMENT_BYTES)
                    reading = True
        return accounts

    def test_a_thousand_callers_that_read_nothing(self) -> None:
        """Guards against a process that grows beyond its memory."""
        accounts = self.fill_slowly_read(1000)
        self.assertLess(self.budget.used, 0.5 * MEMORY_MB * 1e6)
        for account in accounts:
            account.close()
        self.assertEqual(self.budget.used, 0)
        self.assertFalse(self.budget.refusing)

    def test_a_few_slow_callers_leave_room_for_the_others(self) -> None:
        """Guards against callers that read slowly, for whom all others are refused."""
        self.fill_slowly_read(30)
        self.assertFalse(self.budget.refusing)
        self.assertGreater(self.budget.read_ahead, 4 * SEGMENT_BYTES)

    def test_usual_answer_is_read_whole(self) -> None:
        """Guards against an endpoint that waits for a slow caller though there is memory."""
        self.assertGreater(self.budget.read_ahead, 1_000_000)
        self.assertEqual(self.budget.largest_answer, MAX_ANSWER_BYTES)

    def test_every_answer_goes_on_when_memory_is_short(self) -> None:
        """Guards against slow callers that stop the answers to all others."""
        self.budget.add(2 * self.budget.limit)
        self.assertTrue(self.budget.exceeded)
        self.assertEqual(self.budget.read_ahead, MIN_READ_AHEAD_BYTES)

    def test_refusing_ends_only_well_below_where_it_begins(self) -> None:
        budget = BufferBudget(1000)
        budget.add(749)
        self.assertFalse(budget.refusing)
        budget.add(1)
        self.assertTrue(budget.refusing)
        budget.remove(50)
        self.assertTrue(budget.refusing)
        budget.remove(51)
        self.assertFalse(budget.refusing)


if __name__ == "__main__":
    unittest.main()
