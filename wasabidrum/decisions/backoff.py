"""How long to wait before trying again.

Load pattern: many clients or requests fail at the same moment, because what they share
failed. Without jitter they all return at the same moment, and the second wave fails as the
first did; operators see load in spikes of one period.
"""

import random

FIRST_SECONDS = 0.05
LONGEST_SECONDS = 8.0


def delay_before(attempt: int, rng: random.Random, first: float = FIRST_SECONDS) -> float:
    """Returns seconds to wait before an attempt, the first repetition being number one."""
    longest = min(LONGEST_SECONDS, first * 2 ** min(attempt - 1, 16))
    return longest * (0.5 + 0.5 * rng.random())


def spread(seconds: float, rng: random.Random) -> float:
    """Returns a time to come back near the one given, never before it."""
    return seconds * (1.0 + 0.5 * rng.random())
