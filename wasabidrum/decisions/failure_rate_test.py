"""Tests of the failure rate and the silence of endpoints, and of choices that depend on them."""

import random
import unittest

from ..core.listed_endpoint import ListedEndpoint
from .endpoint_choice import Candidate, Demand, choose
from .endpoint_load import EndpointLoad
from .failure_rate import HALF_LIFE_SECONDS, FailureRate


class FailureRateTest(unittest.TestCase):
    """The failure rate by itself."""

    def test_it_follows_the_observed_rate(self) -> None:
        rate = FailureRate()
        rng = random.Random(1)
        seen = []
        for step in range(1000):
            rate.record(rng.random() < 0.4, step * 0.01)
            seen.append(rate.value(step * 0.01))
        self.assertAlmostEqual(sum(seen[100:]) / len(seen[100:]), 0.4, delta=0.05)

    def test_it_decays_without_requests(self) -> None:
        rate = FailureRate()
        for _ in range(20):
            rate.record(True, 0.0)
        self.assertLess(rate.value(4 * HALF_LIFE_SECONDS), 0.1)


class PartlyFailingTest(unittest.TestCase):
    """Three endpoints of a plain service, one of which fails two of five requests."""

    def test_a_partly_failing_endpoint_gets_few_requests(self) -> None:
        """An endpoint fails two of five calls and answers the others in between. It is ejected
        after two consecutive failures and returns after one good answer, so callers would keep
        getting errors while the other two endpoints have room."""
        rng = random.Random(4)
        loads = [EndpointLoad(rng) for _ in range(3)]
        candidates = [
            Candidate(ListedEndpoint(f"e{n}", "s", "10.0.0.1", n, "z", slots=6), load, True)
            for n, load in enumerate(loads)
        ]
        failed = 0
        for step in range(600):
            now = step * 0.033
            choice = choose(candidates, None, Demand(0, 1.0), now, rng)
            load = choice.candidate.load
            fails = load is loads[0] and rng.random() < 0.4
            failed += fails
            load.record_placed(0, now)
            load.record_ended(0, False)
            load.record_outcome(fails, now)
            if fails:
                load.health.record_failure(now)
            else:
                load.health.record_success(0.0)
        self.assertLess(failed, 0.05 * 600)


class SilenceTest(unittest.TestCase):
    """An endpoint that hangs."""

    def test_an_endpoint_without_events_during_requests_is_silent(self) -> None:
        """An endpoint accepts requests, never answers, and passes its health checks. No request
        fails before its caller's timeout, and until then each entry would keep sending."""
        load = EndpointLoad(random.Random(1))
        self.assertEqual(load.silent_seconds(50.0), 0.0)
        load.record_placed(0, 10.0)
        load.record_placed(0, 10.2)
        self.assertAlmostEqual(load.silent_seconds(11.0), 1.0)
        load.record_progress(10.9)
        self.assertAlmostEqual(load.silent_seconds(11.0), 0.1)
