"""Endpoints that fail some of their requests."""

import random
import unittest

from ..core.listed_endpoint import ListedEndpoint
from .endpoint_choice import Candidate, Demand, choose
from .endpoint_load import EndpointLoad
from .failure_rate import HALF_LIFE_SECONDS, FailureRate


class FailureRateTest(unittest.TestCase):
    """The rate alone."""

    def test_it_follows_what_is_seen(self) -> None:
        rate = FailureRate()
        rng = random.Random(1)
        seen = []
        for step in range(1000):
            rate.take(rng.random() < 0.4, step * 0.01)
            seen.append(rate.value(step * 0.01))
        self.assertAlmostEqual(sum(seen[100:]) / len(seen[100:]), 0.4, delta=0.05)

    def test_it_fades_where_nothing_is_sent(self) -> None:
        rate = FailureRate()
        for _ in range(20):
            rate.take(True, 0.0)
        self.assertLess(rate.value(4 * HALF_LIFE_SECONDS), 0.1)


class PartlyFailingTest(unittest.TestCase):
    """Three endpoints of a plain service, of which one fails two of five requests."""

    def test_one_that_fails_some_gets_few(self) -> None:
        """An endpoint fails two of five calls and answers the others in between. It is taken
        out after two failures in a row and is back after one good answer, and callers go on
        to see errors while the other two have room."""
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
            load.placed(0, now)
            load.ended(0, False)
            load.record_end(fails, now)
            if fails:
                load.health.record_failure(now)
            else:
                load.health.record_success(0.0)
        self.assertLess(failed, 0.05 * 600)


class SilenceTest(unittest.TestCase):
    """An endpoint that hangs."""

    def test_one_that_says_nothing_while_it_has_work_is_silent(self) -> None:
        """An endpoint takes requests and never answers, and its health check is good. Nothing
        fails until the callers' time is over, and until then each entry goes on sending."""
        load = EndpointLoad(random.Random(1))
        self.assertEqual(load.silent_seconds(50.0), 0.0)
        load.placed(0, 10.0)
        load.placed(0, 10.2)
        self.assertAlmostEqual(load.silent_seconds(11.0), 1.0)
        load.progressed(10.9)
        self.assertAlmostEqual(load.silent_seconds(11.0), 0.1)
