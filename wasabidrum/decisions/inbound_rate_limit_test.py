"""Simulates weights that arrive over links of any width, at the adapted rate."""

import unittest

from .inbound_rate_limit import InboundRateLimit

CHUNK_BYTES = 49_152
CHUNKS = 48
SETTINGS_RATE = 558_000.0
AT_ONCE = 4


def replay(link_rate: float, chunks: int, adapts: bool) -> tuple[float, float]:
    """Simulates chunks over a link.

    A request that arrives when a chunk has just been sent waits for everything in flight.

    Returns:
      The longest such wait after the first chunk, and the total time, in seconds.
    """
    limit = InboundRateLimit(SETTINGS_RATE)
    now = free_at = worst = 0.0
    for number in range(chunks):
        at_once = 1 if limit.narrow else AT_ONCE
        seconds = at_once * CHUNK_BYTES / limit.rate
        now += seconds
        free_at = max(free_at, now - seconds) + at_once * CHUNK_BYTES / link_rate
        late = max(0.0, free_at - now)
        if number:
            worst = max(worst, late)
        now = max(now, free_at)
        if adapts:
            limit.record(CHUNK_BYTES, at_once, seconds, late)
    return worst, now


class InboundRateLimitTest(unittest.TestCase):
    """Links as wide as their settings say, and narrower ones."""

    def test_on_a_narrow_link_requests_do_not_wait_behind_weights(self) -> None:
        """Guards against requests that reach an engine after their callers have left."""
        for link_rate in (62_000.0, 125_000.0):
            worst, _ = replay(link_rate, CHUNKS, adapts=True)
            self.assertLess(worst, 0.5)
            self.assertGreater(replay(link_rate, CHUNKS, adapts=False)[0], 1.0)

    def test_a_healthy_link_is_used_in_full(self) -> None:
        worst, seconds = replay(587_000.0, CHUNKS, adapts=True)
        self.assertLess(worst, 0.01)
        self.assertAlmostEqual(seconds, AT_ONCE * CHUNKS * CHUNK_BYTES / SETTINGS_RATE, delta=0.5)

    def test_recovery_of_a_link_is_detected(self) -> None:
        """Guards against an engine that stays without weights long after its link recovered."""
        limit = InboundRateLimit(SETTINGS_RATE)
        limit.record(CHUNK_BYTES, 2, 0.35, 3.0)
        self.assertTrue(limit.narrow)
        seconds = 0.0
        while limit.narrow:
            seconds += CHUNK_BYTES / limit.rate
            limit.record(CHUNK_BYTES, 1, 0.0, 0.0)
        self.assertLess(seconds, 8.0)

    def test_rate_never_falls_to_zero(self) -> None:
        limit = InboundRateLimit(SETTINGS_RATE)
        for _ in range(100):
            limit.record(CHUNK_BYTES, 1, 1.0, 100.0)
        self.assertGreater(limit.rate, 0.0)


if __name__ == "__main__":
    unittest.main()
