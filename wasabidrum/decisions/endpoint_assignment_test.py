"""Tests of the assignment of engines to entries, of send rates and of forecast corrections."""

import unittest

from .endpoint_assignment import assign_endpoints
from .forecast_bias import (
    MAX_CORRECTION_SECONDS,
    MIN_CORRECTION_SECONDS,
    ForecastBias,
    length_class,
)
from .request_rate import RequestRate

ENTRIES = [("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)]


class AssignmentTest(unittest.TestCase):
    """Each engine is assigned to one entry."""

    def test_every_engine_is_assigned_once_and_shares_are_even(self) -> None:
        """If an engine were assigned to two entries, each would count half of its load; an
        unassigned engine would idle while callers are refused."""
        engines = [f"i-{n}" for n in range(8)]
        shares = [assign_endpoints(engines, ENTRIES, own) for own in ENTRIES]
        self.assertEqual(sorted(name for share in shares for name in share), engines)
        sizes = [len(share) for share in shares]
        self.assertLessEqual(max(sizes) - min(sizes), 1)

    def test_the_order_of_engines_does_not_matter(self) -> None:
        engines = [f"i-{n}" for n in range(8)]
        self.assertEqual(
            assign_endpoints(engines, ENTRIES, ENTRIES[1]),
            assign_endpoints(reversed(engines), ENTRIES, ENTRIES[1]),
        )

    def test_a_single_entry_is_assigned_all_engines(self) -> None:
        self.assertEqual(assign_endpoints(["a", "b"], ENTRIES[:1], ENTRIES[0]), {"a", "b"})


class SendRateTest(unittest.TestCase):
    """The measured rate of requests per second."""

    def test_it_follows_a_steady_load_and_decays_without_load(self) -> None:
        rate = RequestRate()
        for step in range(400):
            rate.record(step * 0.05)
        self.assertAlmostEqual(rate.per_second(20.0), 20.0, delta=2.0)
        self.assertLess(rate.per_second(25.0), 0.5)


class ForecastBiasTest(unittest.TestCase):
    """Corrections of forecasts by measured first events."""

    def test_late_first_events_correct_only_forecasts_of_similar_length(self) -> None:
        """Engines have queues that the forecasts do not include. Forecasts without a queue are
        right, and requests must not be refused because the longer ones are wrong."""
        bias = ForecastBias()
        for step in range(50):
            bias.record(0.4, 0.6, step * 0.02)
            bias.record(0.1, 0.1, step * 0.02)
        corrections = bias.corrections(1.0)
        self.assertAlmostEqual(corrections[length_class(0.1)], 0.0, delta=0.01)
        self.assertGreater(corrections[length_class(0.4)], 0.1)

    def test_early_first_events_shorten_forecasts(self) -> None:
        bias = ForecastBias()
        for step in range(50):
            bias.record(0.4, 0.28, step * 0.02)
        self.assertLess(bias.corrections(1.0)[length_class(0.4)], -0.06)

    def test_a_correction_is_bounded_and_decays(self) -> None:
        """One engine stalls for a minute. Without a bound, an entry would apply its delay to
        all engines, refuse all requests, see no first events, and never learn that the other
        engines work."""
        bias = ForecastBias()
        for _ in range(100):
            bias.record(0.4, 60.0, 1.0)
        self.assertLessEqual(max(bias.corrections(1.0)), MAX_CORRECTION_SECONDS)
        self.assertLess(max(bias.corrections(9.0)), 0.01)
        for _ in range(100):
            bias.record(0.1, -5.0, 10.0)
        self.assertGreaterEqual(min(bias.corrections(10.0)), MIN_CORRECTION_SECONDS)
