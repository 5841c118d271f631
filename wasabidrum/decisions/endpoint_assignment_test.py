"""Engines dealt out to entries."""

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


class DealTest(unittest.TestCase):
    """Each engine has one entry that sends there first."""

    def test_every_engine_belongs_to_one_entry_and_shares_are_even(self) -> None:
        """Two entries that both send to an engine first each count half of what it has to do;
        an engine that is nobody's stands idle while callers are refused."""
        engines = [f"i-{n}" for n in range(8)]
        shares = [assign_endpoints(engines, ENTRIES, own) for own in ENTRIES]
        self.assertEqual(sorted(name for share in shares for name in share), engines)
        sizes = [len(share) for share in shares]
        self.assertLessEqual(max(sizes) - min(sizes), 1)

    def test_the_order_in_which_engines_are_known_does_not_matter(self) -> None:
        engines = [f"i-{n}" for n in range(8)]
        self.assertEqual(
            assign_endpoints(engines, ENTRIES, ENTRIES[1]),
            assign_endpoints(reversed(engines), ENTRIES, ENTRIES[1]),
        )

    def test_an_entry_alone_has_all(self) -> None:
        self.assertEqual(assign_endpoints(["a", "b"], ENTRIES[:1], ENTRIES[0]), {"a", "b"})


class SendRateTest(unittest.TestCase):
    """Requests a second."""

    def test_it_follows_a_steady_load_and_forgets_it(self) -> None:
        rate = RequestRate()
        for step in range(400):
            rate.record(step * 0.05)
        self.assertAlmostEqual(rate.per_second(20.0), 20.0, delta=2.0)
        self.assertLess(rate.per_second(25.0), 0.5)


class ForecastBiasTest(unittest.TestCase):
    """Corrections by what was seen."""

    def test_late_first_events_lengthen_forecasts_of_their_length_only(self) -> None:
        """Engines have a queue that nobody's forecast knows of. Those forecast without a queue
        are right, and must not be refused for it."""
        bias = ForecastBias()
        for step in range(50):
            bias.record(0.4, 0.6, step * 0.02)
            bias.record(0.1, 0.1, step * 0.02)
        corrections = bias.corrections(1.0)
        self.assertAlmostEqual(corrections[length_class(0.1)], 0.0, delta=0.01)
        self.assertGreater(corrections[length_class(0.4)], 0.1)

    def test_engines_that_are_quicker_than_their_figures_are_sent_more(self) -> None:
        bias = ForecastBias()
        for step in range(50):
            bias.record(0.4, 0.28, step * 0.02)
        self.assertLess(bias.corrections(1.0)[length_class(0.4)], -0.06)

    def test_a_correction_is_bounded_and_fades(self) -> None:
        """One engine stands still for a minute. An entry that took its word for all would
        refuse everything, see no first events, and never learn that the others work."""
        bias = ForecastBias()
        for _ in range(100):
            bias.record(0.4, 60.0, 1.0)
        self.assertLessEqual(max(bias.corrections(1.0)), MAX_CORRECTION_SECONDS)
        self.assertLess(max(bias.corrections(9.0)), 0.01)
        for _ in range(100):
            bias.record(0.1, -5.0, 10.0)
        self.assertGreaterEqual(min(bias.corrections(10.0)), MIN_CORRECTION_SECONDS)
