"""Tests of the limit on the tokens that a workspace may generate."""

import unittest

import hypothesis
from hypothesis import strategies

from .token_allowance import BURST_SECONDS, TokenAllowance

STEPS = strategies.lists(
    strategies.tuples(strategies.floats(0.0, 3.0), strategies.floats(1.0, 200.0)), max_size=60
)


class TokenAllowanceTest(unittest.TestCase):
    """The limit holds over time, allows bursts, and charges only generated tokens."""

    def test_a_request_over_the_limit_gets_a_retry_time(self) -> None:
        allowance = TokenAllowance()
        self.assertIsNone(allowance.take("w", 10.0, 60.0, 0.0))
        self.assertAlmostEqual(allowance.take("w", 10.0, 60.0, 0.0), 1.0)
        self.assertIsNone(allowance.take("w", 10.0, 60.0, 1.1))

    def test_a_request_larger_than_the_burst_is_served(self) -> None:
        self.assertIsNone(TokenAllowance().take("w", 1.0, 10_000.0, 0.0))

    def test_tokens_that_were_not_generated_are_refunded(self) -> None:
        """A caller requests a thousand tokens and gets ten. If all were charged, its workspace
        would be refused for minutes although it stayed far below its limit."""
        allowance = TokenAllowance()
        self.assertIsNone(allowance.take("w", 10.0, 1000.0, 0.0))
        self.assertIsNotNone(allowance.take("w", 10.0, 10.0, 0.0))
        allowance.correct("w", 1000.0, 10.0)
        self.assertIsNone(allowance.take("w", 10.0, 10.0, 0.0))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(STEPS)
    def test_usage_never_exceeds_limit_burst_and_one_request(self, steps: list) -> None:
        allowance = TokenAllowance()
        now = taken = largest = 0.0
        for pause, cost in steps:
            now += pause
            if allowance.take("w", 10.0, cost, now) is None:
                taken += cost
                largest = max(largest, cost)
        self.assertLessEqual(taken, 10.0 * (now + BURST_SECONDS) + largest + 1e-6)
