"""Tests of what may be sent to cold endpoints."""

import bisect
import random
import unittest

from .cold_endpoints import (
    GROWING_PART,
    MAX_SEND_SECONDS,
    PLANNED_PART,
    RECORD_LAG_SECONDS,
    ColdEndpoints,
    ColdLimit,
)
from .rate_shares import Entries, divide

RUN = ("e1", 5)
# 32 requests a second, half as many more, and five.
LIMIT = ColdLimit(53.0, 3.0)
SLOTS = 12


def make_entries(own: int, count: int | None, reachable: set[int]) -> Entries:
    """Returns what one of some entries knows of the others.

    Args:
      count: How many it knows of, out of reach or not.
    """
    known = {(f"10.0.0.{n}", 1): "abc"[n % 3] for n in reachable | {own}}
    return Entries((f"10.0.0.{own}", 1), known, count)


class ColdEndpointsTest(unittest.TestCase):
    """What one entry knows, which is the only one."""

    def setUp(self) -> None:
        self.cold = ColdEndpoints()

    def wait(self, now: float, count: int | None = 1) -> float:
        """Returns the seconds until there is room at the endpoint."""
        return self.cold.seconds_until_room(RUN, "a", lambda: make_entries(0, count, {0}), now)

    def test_new_run_is_cold_until_a_later_registration_says_otherwise(self) -> None:
        """Guards against an endpoint that takes part at once because it registers as warm."""
        self.assertTrue(self.cold.record_listing(RUN, LIMIT, 0.0, True, 0.0, 0.0))
        self.assertTrue(self.cold.is_cold(RUN, 0.1))
        self.cold.record_listing(RUN, LIMIT, 0.0, False, 1.2, 1.2)
        self.assertFalse(self.cold.is_cold(RUN, 1.2))
        [(run, known)] = self.cold.expire(1.2)
        self.assertEqual((run, known.stated_warm), (RUN, True))
        self.assertTrue(self.cold)
        self.assertEqual(self.cold.expire(1.3 + GROWING_PART * LIMIT.seconds), [])
        self.assertFalse(self.cold)

    def test_run_in_the_first_snapshot_is_what_it_states(self) -> None:
        """Guards against an entry that starts and treats the whole fleet as cold."""
        self.assertFalse(self.cold.record_listing(RUN, LIMIT, 0.0, False, 0.0, 0.0))
        self.assertFalse(self.cold)
        self.assertTrue(self.cold.record_listing(RUN, LIMIT, 2.0, False, 0.0, 0.0))
        self.assertTrue(self.cold.is_cold(RUN, 1.9))
        self.assertFalse(self.cold.is_cold(RUN, 2.0))

    def test_registration_from_before_the_return_proves_nothing(self) -> None:
        """Guards against an endpoint that has restarted, and whose last registration says warm."""
        self.cold.record_restart(RUN, LIMIT, "returned", 10.0)
        late = 10.0 + RECORD_LAG_SECONDS
        # Its way to the store took long, or its way from there, or neither is known.
        for written_after, now in ((10.1, late - 0.1), (9.9, late), (float("-inf"), late)):
            self.cold.record_listing(RUN, LIMIT, 0.0, False, written_after, now)
            self.assertTrue(self.cold.is_cold(RUN, now))
        self.cold.record_listing(RUN, LIMIT, 0.0, False, 10.1, late)
        self.assertFalse(self.cold.is_cold(RUN, 11.3))

    def test_answer_to_an_earlier_request_proves_nothing(self) -> None:
        """Guards against an entry that wakes and reads answers from before the endpoint's start."""
        self.cold.record_listing(RUN, LIMIT, 3.0, False, 10.0, 10.0)
        self.cold.record_answer(RUN, LIMIT, 0.0, 9.9, 10.2)
        self.assertTrue(self.cold.is_cold(RUN, 10.2))
        self.cold.record_answer(RUN, LIMIT, 0.0, 10.1, 10.2)
        self.assertFalse(self.cold.is_cold(RUN, 10.2))
        self.assertTrue(self.cold.record_answer(RUN, LIMIT, 1.0, 10.1, 10.4))

    def test_first_request_waits_and_the_rate_then_grows(self) -> None:
        """Guards against a rate that jumps from nothing to everything."""
        self.cold.record_listing(RUN, LIMIT, None, True, 0.0, 0.0)
        sent = [0] * 50
        for step in range(500):
            while self.wait(step / 100.0) == 0.0 and sent[step // 10] < 1000:
                self.cold.record_sent(RUN)
                sent[step // 10] += 1
        self.assertEqual(sent[0], 0 + int(0.1 * PLANNED_PART * LIMIT.requests * 0.7 / 1.5))
        cold, growing, after = sum(sent[20:30]), sent[30:40], sent[41]
        self.assertLessEqual(cold, PLANNED_PART * LIMIT.requests)
        self.assertGreater(cold, 10)
        self.assertEqual(after, 1000)
        self.assertLess(max(growing), 100)
        self.assertGreater(sum(growing[5:]), 2 * sum(growing[:5]))

    def test_no_request_without_a_number_of_entries(self) -> None:
        """Guards against an entry that starts, knows no other, and sends what all may."""
        self.cold.record_listing(RUN, LIMIT, None, True, 0.0, 0.0)
        for step in range(30):
            self.assertGreater(self.wait(step / 10.0, None), 0.0)
        self.assertLess(self.wait(2.9, None), float("inf"))

    def test_request_that_was_held_up_is_not_sent(self) -> None:
        """Guards against requests that a suspended entry sends on waking, besides new ones."""
        self.cold.record_cold(RUN, LIMIT, 13.0, "test", 10.0)
        self.assertFalse(self.cold.allows_placed_at(RUN, 9.9, 10.1))
        self.assertTrue(self.cold.allows_placed_at(RUN, 10.1, 10.1 + MAX_SEND_SECONDS - 0.01))
        self.assertFalse(self.cold.allows_placed_at(RUN, 10.1, 10.2 + MAX_SEND_SECONDS))
        self.assertTrue(self.cold.allows_placed_at(("e2", 1), 9.9, 12.0))

    def test_warm_endpoint_costs_one_look_up(self) -> None:
        """Guards against a decision that each candidate of each request pays for."""
        self.cold.record_cold(RUN, LIMIT, 13.0, "test", 10.0)
        self.assertEqual(self.cold.seconds_until_room(("e2", 1), "a", self.fail, 10.0), 0.0)


class ReplayedEntry:
    """An entry that has a request for the endpoint at any time."""

    def __init__(self, own: int, warm_rate: float, rng: random.Random) -> None:
        self.own = own
        self.cold = ColdEndpoints()
        self.known_from = 0.0
        self.frozen_until = 0.0
        # Until then it looks for room and places nothing, so that all save up.
        self.saves_until = 0.0
        self.count: int | None = 1
        self.reachable = {own}
        # When each request that has not been sent yet was placed, and when it would be sent.
        self.placed: list[tuple[float, float]] = []
        self._rate = warm_rate
        self._warm_at = rng.random() / warm_rate if warm_rate else float("inf")
        self._rng = rng

    def step(self, now: float) -> list[float]:
        """Places and sends what it may; returns when what it sends arrives."""
        due = [placed_at for placed_at, sent_at in self.placed if sent_at <= now]
        self.placed = [item for item in self.placed if item[1] > now]
        sent = [at for at in due if self.cold.allows_placed_at(RUN, at, now)]
        self.cold.expire(now)
        while self._may_place(now):
            self.cold.record_sent(RUN)
            self.placed.append((now, now + self._rng.choice((0.0, 0.01, 0.1, 0.4))))
        return [now + 0.1 * self._rng.random() for _ in sent]

    def _may_place(self, now: float) -> bool:
        def find_entries() -> Entries:
            return make_entries(self.own, self.count, self.reachable)

        if not self.cold.is_cold(RUN, now):
            # On waking it has callers waiting, as many as the forecast admits to one engine.
            self._warm_at = max(self._warm_at, now - SLOTS / self._rate if self._rate else now)
            if now < self._warm_at:
                return False
            self._warm_at += 1.0 / self._rate
            return True
        self._warm_at = max(self._warm_at, now)
        wait = self.cold.seconds_until_room(RUN, "a", find_entries, now)
        return wait == 0.0 and now >= self.saves_until


class AllEntriesTest(unittest.TestCase):
    """Many entries that learn late, freeze, are cut off, and start."""

    def replay(self, seed: int, faults: bool = True, warm_rate: float | None = None) -> list[float]:
        """Replays a cold time from second 5 to 8; returns when requests arrive within it.

        Before they know of it, entries together send half of the limit, as to a warm endpoint.
        """
        rng = random.Random(seed)
        count = rng.choice((1, 2, 3, 6, 12, 12, 36))
        if warm_rate is None:
            warm_rate = PLANNED_PART * LIMIT.requests
        entries = [ReplayedEntry(own, warm_rate / count, rng) for own in range(count)]
        numbers = set(range(count))
        side = set(rng.sample(sorted(numbers), count // 2)) if seed % 3 == 0 else numbers
        for entry in entries:
            late = rng.choice((0.0, 1.2))
            if seed % 2:
                # Those learn last that may send nothing afterwards.
                knows = make_entries(entry.own, count, numbers)
                late = 0.0 if divide(1.0, 7.9, RUN[0], "a", knows).rate else 1.2
            entry.known_from = 5.0 + (rng.random() + late if faults else 0.1)
            entry.count = count
            entry.reachable = set(numbers)
            if faults:
                entry.reachable = side if entry.own in side else numbers - side
                # Its view of who is alive is old.
                if rng.random() < 0.3:
                    entry.reachable = entry.reachable - {rng.randrange(count)}
        if faults and count > 2:
            # An entry that none of the others knows yet.
            entries.append(ReplayedEntry(count, 0.0, rng))
            entries[-1].reachable = numbers | {count}
            entries[-1].known_from = 5.0
            entries[-1].count = count + 1
        saves_until = rng.choice((0.0, 6.3, 7.0)) if faults else 0.0
        for entry in entries:
            entry.saves_until = saves_until
        arrived: list[float] = []
        for tick in range(300, 800):
            now = tick / 100.0
            for entry in entries:
                if now < entry.frozen_until:
                    continue
                if faults and rng.random() < 0.002:
                    entry.frozen_until = now + rng.choice((0.3, 1.0, 3.0))
                    entry.known_from = max(entry.known_from, entry.frozen_until + rng.random())
                    continue
                if now >= entry.known_from:
                    # Its registration is written again every 1.2 s.
                    entry.cold.record_listing(RUN, LIMIT, max(0.0, 8.0 - now), False, now, now)
                    entry.known_from += 1.2
                arrived += entry.step(now)
        return sorted(at for at in arrived if 5.0 <= at < 8.0)

    def test_no_second_exceeds_the_limit(self) -> None:
        """Guards against shares, what is sent unknowing and late arrivals adding up to more."""
        for seed in range(200):
            arrived = self.replay(seed)
            worst = max(
                bisect.bisect_left(arrived, at + 1.0) - place for place, at in enumerate(arrived)
            )
            self.assertLessEqual(worst, LIMIT.requests, seed)

    def test_entries_that_know_stay_within_their_plan(self) -> None:
        """Guards against a reserve that is used up by the division itself."""
        for seed in range(20):
            arrived = [at for at in self.replay(seed, faults=False) if at >= 5.8]
            worst = max(
                bisect.bisect_left(arrived, at + 1.0) - place for place, at in enumerate(arrived)
            )
            self.assertLessEqual(worst, PLANNED_PART * LIMIT.requests + 1.0, seed)
            self.assertGreater(len(arrived) / 2.2, 9.0, seed)


if __name__ == "__main__":
    unittest.main()
