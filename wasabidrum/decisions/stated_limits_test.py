"""Tests of the limits that endpoints state."""

import bisect
import random
import unittest

from .stated_limits import (
    BURST_REQUESTS,
    BURST_SECONDS,
    FORGET_LIMIT_SECONDS,
    FORGET_SECONDS,
    NO_SHARE,
    PROBE_SECONDS,
    Entries,
    StatedLimits,
    share_of,
)

RUN = ("e1", 5)
# What the platform allows in any four seconds.
WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5.0


def make_entries(count: int, own: int = 0, known: int | None = None) -> Entries:
    """Returns what one of some entries knows, all of which it reaches.

    Args:
      known: How many entries there are in all, if it cannot reach all of them.
    """
    reachable = {(f"10.0.0.{n}", 1): "ab"[n % 2] for n in range(count)}
    return Entries((f"10.0.0.{own}", 1), reachable, known or count)


class ShareTest(unittest.TestCase):
    """The parts of all entries together."""

    def test_shares_add_up_to_the_limit(self) -> None:
        """Guards against whole requests of many entries, or of few, that are more than allowed."""
        for count in (1, 2, 3, 8, 36, 400):
            for limit in (0.1, 1.5, 7.0, 300.0):
                shares = [
                    share_of(limit, "e1", "a", make_entries(count, own)) for own in range(count)
                ]
                self.assertAlmostEqual(sum(share.rate for share in shares), limit)
                burst = sum(share.burst for share in shares)
                self.assertLessEqual(burst, BURST_SECONDS * limit + BURST_REQUESTS + 1e-6)
                self.assertTrue(all(share.burst >= 1.0 for share in shares if share.rate))

    def test_entries_out_of_reach_keep_their_part(self) -> None:
        """Guards against two sides of a partition that each send the whole limit."""
        rate = 0.0
        for side in (3, 9):
            rate += sum(
                share_of(2.0, "e1", "a", make_entries(side, own, known=12)).rate
                for own in range(side)
            )
        self.assertAlmostEqual(rate, 2.0)

    def test_entries_of_the_endpoints_data_centre_send_first(self) -> None:
        shares = [share_of(0.5, "e1", "b", make_entries(10, own)) for own in range(10)]
        self.assertTrue(any(share.rate for share in shares[1::2]))
        self.assertEqual(shares[::2], [NO_SHARE] * 5)

    def test_no_share_without_a_number_of_entries(self) -> None:
        entries = Entries(("h", 1), {("h", 1): "a"}, None)
        self.assertEqual(share_of(2.0, "e1", "a", entries), NO_SHARE)


class StatedLimitsTest(unittest.TestCase):
    """What one entry knows."""

    def setUp(self) -> None:
        self.limits = StatedLimits(random.Random(3))
        self.entries = make_entries(1)

    def wait(self, now: float) -> float:
        """Returns the seconds until there is room at the endpoint."""
        return self.limits.seconds_until_room(RUN, "a", self.entries, now)

    def test_first_request_waits_for_its_turn(self) -> None:
        """Guards against entries that all send one more request when they hear of a limit."""
        self.assertEqual(self.wait(0.0), 0.0)
        self.limits.record(RUN, 2.0, 0.0)
        self.assertAlmostEqual(self.wait(0.0), 0.5)
        self.assertEqual(self.wait(0.5), 0.0)
        self.limits.record_sent(RUN, 0.5)
        self.assertAlmostEqual(self.wait(0.5), 0.5)

    def test_entry_that_has_just_started_has_saved_up_nothing(self) -> None:
        """Guards against an entry that hears of an old statement, and spends what it would have
        earned before it started."""
        self.limits.record(RUN, 2.0, 0.0)
        self.assertAlmostEqual(self.wait(10.0), 0.5)

    def test_later_statement_holds(self) -> None:
        """Guards against an older statement of another entry that undoes a later one."""
        self.limits.record(RUN, 2.0, 5.0)
        self.assertFalse(self.limits.record(RUN, None, 4.0))
        self.assertEqual(self.limits.count, 1)
        self.assertTrue(self.limits.record(RUN, None, 6.0))
        self.assertEqual((self.limits.count, self.wait(6.0)), (0, 0.0))
        self.assertFalse(self.limits.record(RUN, 2.0, 5.5))
        self.assertEqual(self.wait(6.0), 0.0)

    def test_nothing_was_saved_up_when_a_limit_is_stated_again(self) -> None:
        self.limits.record(RUN, 1.0, 0.0)
        self.assertAlmostEqual(self.wait(0.0), 1.0)
        self.assertEqual(self.wait(10.0), 0.0)
        self.limits.record(RUN, None, 11.0)
        self.limits.record(RUN, 1.0, 20.0)
        self.assertAlmostEqual(self.wait(20.0), 1.0)

    def test_limit_that_nobody_has_heard_of_lately_is_asked_for(self) -> None:
        """Guards against a limit that holds for ever because nobody sends anything there."""
        self.limits.record(RUN, 0.0, 0.0)
        now = 0.0
        while self.wait(now) > 0.0:
            self.assertLess(now, 2.0 * PROBE_SECONDS)
            now += 0.1
        self.assertGreaterEqual(now, PROBE_SECONDS)
        self.limits.record_sent(RUN, now)
        self.assertGreaterEqual(self.wait(now), PROBE_SECONDS)

    def test_statements_are_forgotten(self) -> None:
        self.limits.record(RUN, 1.0, 0.0)
        self.assertEqual(len(self.limits.statements(FORGET_LIMIT_SECONDS - 1.0)), 1)
        now = FORGET_LIMIT_SECONDS
        self.limits.record(RUN, None, now)
        self.assertEqual(len(self.limits.statements(now + FORGET_SECONDS - 1.0)), 1)
        self.assertEqual(self.limits.statements(now + 2.0 * FORGET_SECONDS), [])
        self.assertFalse(self.limits)


def worst_window(sent: list[float]) -> int:
    """Returns the most requests in any window."""
    return max(
        bisect.bisect_left(sent, start + WINDOW_SECONDS) - place for place, start in enumerate(sent)
    )


class AllEntriesTest(unittest.TestCase):
    """Entries that always have a request to send, and hear of each other late."""

    def play(self, seed: int) -> tuple[float, float]:
        """Plays one schedule.

        Returns:
          By how much a window exceeds what is allowed at most, and the part of the limit that was
          used.
        """
        rng = random.Random(seed)
        count = rng.choice((1, 2, 3, 6, 15, 40))
        limit = rng.choice((0.2, 1.5, 4.0, 20.0))
        all_limits = [StatedLimits(rng) for _ in range(count)]
        for limits in all_limits:
            limits.record(RUN, limit, rng.random())
        sent = []
        now = 1.0
        while now < 41.0:
            now += 0.1
            # Another entry has joined, and the others learn of it in time.
            known = count if now < 20.0 else count + 1
            for own in rng.sample(range(count), count):
                seen = known if rng.random() < 0.5 else count
                entries = make_entries(count, own, known=seen)
                limits = all_limits[own]
                if limits.seconds_until_room(RUN, "a", entries, now) == 0.0:
                    limits.record_sent(RUN, now)
                    sent.append(now)
                    limits.record(RUN, limit, now)
                elif rng.random() < 0.01:
                    limits.record(RUN, limit, now)
        allowed = ALLOWED_FACTOR * WINDOW_SECONDS * limit + ALLOWED_EXTRA
        return worst_window(sent) - allowed, len(sent) / 40.0 / limit

    def test_entries_that_reach_no_other_send_no_more_than_allowed(self) -> None:
        """Guards against entries cut off from each other that each save up one request."""
        for seed, (count, limit) in enumerate(((14, 0.3), (14, 1.5), (36, 0.3), (36, 1.5))):
            rng = random.Random(seed)
            all_limits = [StatedLimits(rng) for _ in range(count)]
            for limits in all_limits:
                limits.record(RUN, limit, rng.random())
            sent = []
            for step in range(10, 4000):
                now = step / 10.0
                for own, limits in enumerate(all_limits):
                    address = (f"10.0.0.{own}", 1)
                    entries = Entries(address, {address: "a"}, count)
                    if limits.seconds_until_room(RUN, "a", entries, now) == 0.0:
                        limits.record_sent(RUN, now)
                        limits.record(RUN, limit, now)
                        sent.append(now)
            excess = worst_window(sent) - ALLOWED_FACTOR * WINDOW_SECONDS * limit - ALLOWED_EXTRA
            self.assertLessEqual(excess, 0.0, (count, limit))
            self.assertGreater(len(sent), 0)

    def test_entries_do_not_all_ask_when_callers_come_back(self) -> None:
        """Guards against questions that have become due at every entry in a quiet time."""
        count, limit = 36, 0.3
        rng = random.Random(1)
        all_limits = [StatedLimits(rng) for _ in range(count)]
        for limits in all_limits:
            limits.record(RUN, limit, rng.random())
        sent = []
        for step in range(2000, 2400):
            now = step / 10.0
            for own, limits in enumerate(all_limits):
                if limits.seconds_until_room(RUN, "a", make_entries(count, own), now) == 0.0:
                    limits.record_sent(RUN, now)
                    limits.record(RUN, limit, now)
                    sent.append(now)
        allowed = ALLOWED_FACTOR * WINDOW_SECONDS * limit + ALLOWED_EXTRA
        self.assertLessEqual(worst_window(sent), allowed)

    def test_no_window_exceeds_what_is_allowed(self) -> None:
        """Guards against shares, bursts and questions that add up to too much."""
        for seed in range(12):
            excess, used = self.play(seed)
            self.assertLessEqual(excess, 0.0, seed)
            self.assertGreater(used, 0.6, seed)


if __name__ == "__main__":
    unittest.main()
