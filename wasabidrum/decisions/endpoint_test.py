"""Tests of the limits, health, retries, suspects and prefix affinity of single endpoints."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from . import backoff
from .death_record import MAX_REPORTED, REPORTED_SECONDS, DeathRecord
from .endpoint_health import EndpointHealth, Health
from .endpoint_limit import MAX_LIMIT, MIN_LIMIT, EndpointLimit
from .endpoint_state import EndpointState
from .poison import BLOCK_SECONDS, SUSPECT_LIFETIME_SECONDS, PoisonGuard
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
    def test_it_stays_within_its_bounds(self, signals: list) -> None:
        """Reports arrive late, twice, or with implausible values. A limit of zero would never
        grow again, because no request would be sent whose result could raise it; callers would
        be refused while the engine idles."""
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
            self.assertGreaterEqual(limit.value, MIN_LIMIT)
            self.assertLessEqual(limit.value, MAX_LIMIT)
            self.assertGreaterEqual(limit.max_requests, 1)

    def test_repeated_reports_of_one_queue_decrease_the_limit_once(self) -> None:
        """Reports lag by a second, so a queue that a decrease has already ended is reported
        for another second. If each report decreased the limit, it would collapse while the
        engine idles."""
        limit = EndpointLimit(8.0)
        for tick in range(10):
            limit.record_report(8, 5, 8, 0.2, 100.0 + tick * 0.05)
        self.assertAlmostEqual(limit.value, 8.0 * 0.85)


class HealthTest(unittest.TestCase):
    """When an endpoint is ejected and how it returns to service."""

    def make_slow(self) -> EndpointHealth:
        """Returns the health of an endpoint that was found slow at time 1."""
        health = EndpointHealth(random.Random(1))
        for token in range(8):
            health.record_tokens(1, 0.1)
            health.record_pace(0.01, 0.3 + 0.1 * token)
        return health

    def test_a_pause_before_an_idle_time_does_not_eject(self) -> None:
        """An engine pauses during the last tokens of an answer, then receives no requests for
        ten seconds. If the idle time counted as slow, the engine would be ejected at the first
        tokens of the next answer."""
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
        """A slow engine is probed. If all requests of that moment were sent there, all their
        callers would wait."""
        health = self.make_slow()
        self.assertIs(health.health, Health.SLOW)
        self.assertFalse(health.may_receive(1.0))
        later = 1.0 + backoff.MAX_DELAY_SECONDS
        self.assertTrue(health.may_receive(later))
        health.record_placed()
        self.assertFalse(health.may_receive(later))

    def test_a_cancelled_probe_is_followed_by_another(self) -> None:
        """The caller of the only probe leaves. If that probe counted as running forever, the
        endpoint would never return to service, without any visible reason."""
        health = self.make_slow()
        later = 1.0 + backoff.MAX_DELAY_SECONDS
        health.record_placed()
        health.end_probe(later)
        self.assertTrue(health.may_receive(later + backoff.MAX_DELAY_SECONDS))


class SilenceTest(unittest.TestCase):
    """Silence of an endpoint, as opposed to a suspension of the entry itself."""

    def test_a_suspension_of_the_entry_is_not_taken_for_silence(self) -> None:
        """The entry itself was suspended for more than a second, and tokens that arrived in the
        meantime wait in its sockets. If silence were judged before they are read, all its
        endpoints would be ejected and callers refused although all engines are healthy."""
        health = EndpointState("e", 0, random.Random(1)).health
        self.assertFalse(health.record_silence(1.4, 0.01, 100.0))
        self.assertFalse(health.record_silence(1.4, 0.01, 100.01))
        self.assertFalse(health.record_silence(0.02, 0.01, 100.2))
        self.assertIs(health.health, Health.HEALTHY)

    def test_each_silence_must_be_seen_twice(self) -> None:
        """The entry is suspended twice, and tokens arrive in between. The second suspension
        must not count as a confirmation of the first silence."""
        health = EndpointState("e", 0, random.Random(1)).health
        self.assertFalse(health.record_silence(1.4, 0.01, 100.0))
        self.assertFalse(health.record_silence(1.4, 0.01, 102.0))
        self.assertIs(health.health, Health.HEALTHY)

    def test_a_lasting_silence_ejects_an_endpoint(self) -> None:
        """An engine's process is paused in the middle of answers while the entry runs. All
        requests sent there wait, so it must be ejected shortly after the silence is seen."""
        health = EndpointState("e", 0, random.Random(1)).health
        health.record_silence(0.6, 0.01, 100.0)
        health.record_silence(0.8, 0.01, 100.2)
        self.assertIs(health.health, Health.SLOW)


class RetryBudgetTest(unittest.TestCase):
    """Retries increase the load by at most a tenth."""

    @SETTINGS
    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=400))
    def test_retries_are_at_most_a_tenth_of_requests(self, events: list[bool]) -> None:
        """Every request fails and is retried. Without a bound, retries would keep the fleet
        overloaded after the cause is gone."""
        budget = RetryBudget()
        requests = retries = 0
        for is_request in events:
            if is_request:
                budget.earn()
                requests += 1
            else:
                retries += budget.spend(0)
            self.assertLessEqual(retries, EARNED_PER_REQUEST * requests + INITIAL_BALANCE + 1e-6)

    def test_a_new_entry_can_retry_after_an_engine_crash(self) -> None:
        """An entry was restarted a second ago, and an engine crashes with four of its
        generations in progress. Without an initial budget, one of them would end in an error
        halfway although the others continue elsewhere."""
        budget = RetryBudget()
        for _ in range(12):
            budget.earn()
        for _ in range(4):
            self.assertTrue(budget.spend(0))


class PoisonTest(unittest.TestCase):
    """Which requests are blocked as suspects of a crash, and for how long."""

    def test_a_death_seen_and_reported_counts_once(self) -> None:
        """An entry sees a connection break and receives the same death in each status of the
        sidecar. If it counted twice, all requests that were in progress there would be
        blocked."""
        guard = PoisonGuard()
        guard.record_death("a", "e1", 10.0)
        for moment in range(11, 60):
            guard.record_reported_deaths("e1", ("a/1", "b/1"), float(moment))
        self.assertFalse(guard.is_blocked("a", 60.0))
        guard.record_reported_deaths("e2", ("a/1",), 61.0)
        self.assertTrue(guard.is_blocked("a", 61.0))
        self.assertFalse(guard.is_blocked("b", 61.0))

    def test_a_cleared_request_stays_cleared_while_the_death_is_reported(self) -> None:
        """A status names the requests of a dead engine for a minute. A request that has been
        answered in the meantime must not become a suspect again with each status."""
        guard = PoisonGuard()
        guard.record_reported_deaths("e1", ("a/1",), 10.0)
        guard.clear("a")
        guard.record_reported_deaths("e1", ("a/1",), 11.0)
        self.assertFalse(guard.is_suspect("a", 11.0))

    def test_suspicion_expires(self) -> None:
        """The fault is fixed in a new version. A request that stayed blocked forever would be
        an outage for its caller."""
        guard = PoisonGuard()
        guard.record_death("a", "e1", 0.0)
        guard.record_death("a", "e2", 10.0)
        self.assertTrue(guard.is_blocked("a", BLOCK_SECONDS))
        self.assertFalse(guard.is_blocked("a", BLOCK_SECONDS + 11.0))
        self.assertTrue(guard.is_suspect("a", BLOCK_SECONDS + 11.0))
        self.assertFalse(guard.is_suspect("a", SUSPECT_LIFETIME_SECONDS + 11.0))

    def test_reported_suspects_are_bounded_and_expire(self) -> None:
        """An engine dies repeatedly. A status that grew with each death would use up the 8 KB
        per second that a daemon has for control traffic."""
        record = DeathRecord()
        for number in range(100):
            record.record_lost(f"{number:016x}", number * 0.1)
        self.assertEqual(len(record.suspects(10.0)), MAX_REPORTED)
        self.assertEqual(record.suspects(10.0 + REPORTED_SECONDS), ())


class AffinityTest(unittest.TestCase):
    """The endpoints that are preferred for a prompt's prefix."""

    def test_a_change_of_endpoints_moves_few_prefixes(self) -> None:
        """One of fifty engines is replaced. If all prefixes moved, all caches would be cold at
        once and first tokens late in the whole fleet."""
        names = [f"e{number}" for number in range(50)]
        before, after = PrefixRing(names), PrefixRing(names[1:])
        heads = [f"head {number}" for number in range(1000)]
        moved = sum(before.preferred(head)[0] != after.preferred(head)[0] for head in heads)
        self.assertLessEqual(moved, 60)

    def test_entries_agree_whatever_the_order_of_endpoints(self) -> None:
        """Two entries list the engines in different order. If they preferred different
        engines, each prefix would be prefilled once per entry."""
        names = [f"e{number}" for number in range(20)]
        one, other = PrefixRing(names), PrefixRing(reversed(names))
        for number in range(100):
            self.assertEqual(one.preferred(f"h{number}"), other.preferred(f"h{number}"))


if __name__ == "__main__":
    unittest.main()
