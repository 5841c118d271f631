"""Tests of the progress of a rollout."""

import unittest

from ..core.instance import InstanceRole
from ..core.status import Status
from .rollout_progress import RolloutEstimate, measure_progress


def make_status(region: str, held: int, live: bool = False, wanted: str = "v2") -> Status:
    """Returns the status of a sidecar that fetches v2, which has 10 chunks."""
    return Status(
        name=f"{region}-{held}",
        role=InstanceRole.SIDECAR,
        incarnation="1",
        region=region,
        version="v2" if live else "v1",
        wanted_version=wanted,
        fetching="" if live else "v2",
        chunks_held=held,
        chunks_wanted=10,
    )


class RolloutProgressTest(unittest.TestCase):
    """Counts of replicas by region, and the estimate of the time left."""

    def test_counts_by_region_and_estimates_from_the_rate(self) -> None:
        estimate = RolloutEstimate()
        early = [make_status("a", 0), make_status("b", 0), make_status("b", 3, wanted="v1")]
        first = measure_progress("v2", early, 100.0, 0.0)
        self.assertEqual((first.wanted, first.live, first.fraction), (2, 0, 0.0))
        self.assertIsNone(estimate.add(first))
        later = [make_status("a", 10, live=True), make_status("b", 5)]
        second = measure_progress("v2", later, 106.0, 0.0)
        self.assertEqual((second.regions["a"].live, second.regions["b"].live), (1, 0))
        self.assertEqual(second.fraction, 0.75)
        self.assertAlmostEqual(estimate.add(second), 2.0)
        self.assertFalse(second.done)

    def test_nothing_wanted_is_not_done(self) -> None:
        """An operator asks for a version that no replica is to run, perhaps by a typing error. A
        report that it is live everywhere would be wrong."""
        self.assertFalse(measure_progress("v9", [make_status("a", 1)], 0.0, 0.0).done)
