"""Retry delays with exponential backoff and jitter.

Load pattern: many clients or requests fail at the same moment because a shared dependency
failed. Without jitter they all retry at the same moment, the second wave fails like the first,
and load shows spikes at a fixed period.
"""

import random

INITIAL_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 8.0


def delay_before(attempt: int, rng: random.Random, initial: float = INITIAL_DELAY_SECONDS) -> float:
    """Returns the seconds to wait before a retry; the first retry is attempt number one."""
    limit = min(MAX_DELAY_SECONDS, initial * 2 ** min(attempt - 1, 16))
    return limit * (0.5 + 0.5 * rng.random())


def add_jitter(seconds: float, rng: random.Random) -> float:
    """Returns a retry-after time with jitter, never shorter than the one given."""
    return seconds * (1.0 + 0.5 * rng.random())
