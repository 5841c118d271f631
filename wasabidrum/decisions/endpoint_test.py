"""Limits, health, retries, poison and affinity of single endpoints."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from . import backoff
from .death_record import MAX_REPORTED, REPORTED_SECONDS, DeathRecord
from .endpoint_health import EndpointHealth, Health
from .endpoint_limit import LARGEST_LIMIT, SMALLEST_LIMIT, EndpointLimit
from .endpoint_state import EndpointState
from .poison import BLOCK_SECONDS, FORGET_SECONDS, PoisonGuard
from .prefix_affinity import PrefixRing
from .retry_budget import EARNED_PER_REQUEST, INITIAL_BALANCE, RetryBudget

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
SIGNALS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("report", "first", "failure", "restart", "silence")),
        strategies.floats(0.0, 100.0),
        strategies.integers(0, 64),
    ),
    max_size=100,
)


class LimitTest(unittest.TestCase):
    """The concurrency limit of an endpoint."""

    @SETTINGS
    @hypothesis.given(SIGNALS)
    def test_it_is_never_negative_nor_without_bound(self, signals: list) -> None:
        """Reports come late, twice, or make no sense. A limit that reaches nothing never
        grows again, since nothing is sent that could tell better; callers are refused
        before an idle engine."""
        limit = EndpointLimit()
        now = 0.0
        for kind, value, number in signals:
            now += value / 50.0
            if kind == "report":
                limit.record_report(value, value, number, value, now)
            elif kind == "first":
                limit.record_first_token(value, number, now)
            elif kind == "failure":
                limit.record_failure(now)
            elif kind == "restart":
                limit.restart()
            self.assertGreaterEqual(limit.value, SMALLEST_LIMIT)
            self.assertLessEqual(limit.value, LARGEST_LIMIT)
            self.assertGreaterEqual(limit.places, 1)

    def test_the_same_queue_reported_often_cuts_once(self) -> None:
        """Reports lag by a second, so that the queue which a cut has ended is reported for a
        second more. Cut for each report, the limit would collapse while the engine idles."""
        limit = EndpointLimit(8.0)
        for tick in range(10):
            limit.record_report(8, 5, 8, 0.2, 100.0 + tick * 0.05)
        self.assertAlmostEqual(limit.value, 8.0 * 0.85)


class HealthTest(unittest.TestCase):
    """When an endpoint loses its share and how it wins it back."""

    def make_slow(self) -> EndpointHealth:
        """Returns an endpoint found slow at time 1."""
        health = EndpointHealth(random.Random(1))
        for token in range(8):
            health.record_tokens(1, 0.1)
            health.record_pace(0.01, 0.3 + 0.1 * token)
        return health

    def test_a_pause_of_long_ago_is_no_slowness(self) -> None:
        """An engine pauses in the last tokens of a text, and nothing is asked of it for ten
        seconds. If the idle time counts as slow, it is out at the next text's first tokens."""
        health = EndpointHealth(random.Random(1))
        for token in range(8):
            health.record_tokens(1, 0.01)
            health.record_pace(0.01, 1.0 + 0.01 * token)
        health.record_tokens(1, 0.2)
        health.record_pace(0.01, 1.3)
        health.record_tokens(1, 0.01)
        health.record_pace(0.01, 11.3)
        self.assertIs(health.health, Health.HEALTHY)

    def test_only_one_probe_runs_at_a_time(self) -> None:
        """A slow engine is tried again. If all requests of that moment go there, all their
        callers wait."""
        health = self.make_slow()
        self.assertIs(health.health, Health.SLOW)
        self.assertFalse(health.may_take(1.0))
        later = 1.0 + backoff.MAX_DELAY_SECONDS
        self.assertTrue(health.may_take(later))
        health.placed()
        self.assertFalse(health.may_take(later))

    def test_a_probe_that_its_caller_cancelled_is_followed_by_another(self) -> None:
        """The only probe's caller leaves. If that probe counts as running for ever, the
        endpoint never comes back, and nobody sees why."""
        health = self.make_slow()
        later = 1.0 + backoff.MAX_DELAY_SECONDS
        health.placed()
        health.probe_ended(later)
        self.assertTrue(health.may_take(later + backoff.MAX_DELAY_SECONDS))


class SilenceTest(unittest.TestCase):
    """Which silence an entry that may itself have slept believes."""

    def test_a_process_that_slept_takes_no_endpoint_for_silent(self) -> None:
        """The entry itself stood still for more than a second, and the tokens that came
        meanwhile wait in its sockets. Judged before they are read, every endpoint that works
        for it is taken out, and its callers are refused although all engines are well."""
        health = EndpointState("e", 0, random.Random(1)).health
        self.assertFalse(health.record_silence(1.4, 0.01, 100.0))
        self.assertFalse(health.record_silence(1.4, 0.01, 100.01))
        self.assertFalse(health.record_silence(0.02, 0.01, 100.2))
        self.assertIs(health.health, Health.HEALTHY)

    def test_each_silence_is_looked_at_twice(self) -> None:
        """The entry stands still twice, and tokens come in between. The second time must not
        count as the second look at the first silence."""
        health = EndpointState("e", 0, random.Random(1)).health
        self.assertFalse(health.record_silence(1.4, 0.01, 100.0))
        self.assertFalse(health.record_silence(1.4, 0.01, 102.0))
        self.assertIs(health.health, Health.HEALTHY)

    def test_a_silence_that_lasts_takes_an_endpoint_out(self) -> None:
        """An engine's process is paused in the middle of answers while the entry is awake.
        Whoever is sent there waits, so it must be out a moment after the silence is seen."""
        health = EndpointState("e", 0, random.Random(1)).health
        health.record_silence(0.6, 0.01, 100.0)
        health.record_silence(0.8, 0.01, 100.2)
        self.assertIs(health.health, Health.SLOW)


class RetryBudgetTest(unittest.TestCase):
    """Retries add at most a tenth to the load."""

    @SETTINGS
    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=400))
    def test_spent_is_at_most_a_tenth(self, events: list[bool]) -> None:
        """Every request fails and wants another try. Unbounded, retries keep a fleet down
        after the cause is gone."""
        budget = RetryBudget()
        requests = retries = 0
        for is_request in events:
            if is_request:
                budget.earn()
                requests += 1
            else:
                retries += budget.spend(0)
            self.assertLessEqual(retries, EARNED_PER_REQUEST * requests + INITIAL_BALANCE + 1e-6)

    def test_an_entry_that_has_just_started_makes_a_death_good(self) -> None:
        """An entry was restarted a second ago, and an engine dies with four of its texts. With
        next to nothing earned by then, one of them ends in an error halfway, although the
        others go on elsewhere."""
        budget = RetryBudget()
        for _ in range(12):
            budget.earn()
        for _ in range(4):
            self.assertTrue(budget.spend(0))


class PoisonTest(unittest.TestCase):
    """Suspicion: who is blocked, who is not, and for how long."""

    def test_one_death_seen_and_told_counts_once(self) -> None:
        """An entry sees the cut and hears of the same death from the sidecar, again with
        each status. Counted twice, everyone who was there would be blocked."""
        guard = PoisonGuard()
        guard.saw_death("a", "e1", 10.0)
        for moment in range(11, 60):
            guard.record_reported("e1", ("a/1", "b/1"), float(moment))
        self.assertFalse(guard.is_blocked("a", 60.0))
        guard.record_reported("e2", ("a/1",), 61.0)
        self.assertTrue(guard.is_blocked("a", 61.0))
        self.assertFalse(guard.is_blocked("b", 61.0))

    def test_an_innocent_stays_cleared_though_sidecars_go_on_telling(self) -> None:
        """A status names the dead engine's requests for a minute. An innocent one that was
        answered meanwhile must not become a suspect again with each status."""
        guard = PoisonGuard()
        guard.record_reported("e1", ("a/1",), 10.0)
        guard.clear("a")
        guard.record_reported("e1", ("a/1",), 11.0)
        self.assertFalse(guard.is_suspect("a", 11.0))

    def test_suspicion_ages_out(self) -> None:
        """The fault is mended with a new version. A request that stays blocked for ever is
        an outage of its own for that caller."""
        guard = PoisonGuard()
        guard.saw_death("a", "e1", 0.0)
        guard.saw_death("a", "e2", 10.0)
        self.assertTrue(guard.is_blocked("a", BLOCK_SECONDS))
        self.assertFalse(guard.is_blocked("a", BLOCK_SECONDS + 11.0))
        self.assertTrue(guard.is_suspect("a", BLOCK_SECONDS + 11.0))
        self.assertFalse(guard.is_suspect("a", FORGET_SECONDS + 11.0))

    def test_what_a_sidecar_tells_is_bounded_and_ends(self) -> None:
        """An engine dies again and again. A status that grows with it would fill the 8 KB a
        second that a daemon has for control."""
        record = DeathRecord()
        for number in range(100):
            record.record_lost(f"{number:016x}", number * 0.1)
        self.assertEqual(len(record.suspects(10.0)), MAX_REPORTED)
        self.assertEqual(record.suspects(10.0 + REPORTED_SECONDS), ())


class AffinityTest(unittest.TestCase):
    """Where a prompt's head is placed."""

    def test_a_change_of_endpoints_moves_few_heads(self) -> None:
        """One of fifty engines is replaced. If every head moves, all caches are cold at once
        and first tokens come late all over the fleet."""
        names = [f"e{number}" for number in range(50)]
        before, after = PrefixRing(names), PrefixRing(names[1:])
        heads = [f"head {number}" for number in range(1000)]
        moved = sum(before.preferred(head)[0] != after.preferred(head)[0] for head in heads)
        self.assertLessEqual(moved, 60)

    def test_entries_agree_without_a_message(self) -> None:
        """Two entries list the engines in different order. If each prefers another engine,
        the prefix is prefilled once for each entry."""
        names = [f"e{number}" for number in range(20)]
        one, other = PrefixRing(names), PrefixRing(reversed(names))
        for number in range(100):
            self.assertEqual(one.preferred(f"h{number}"), other.preferred(f"h{number}"))


if __name__ == "__main__":
    unittest.main()
