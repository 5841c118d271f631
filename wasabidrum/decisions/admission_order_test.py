"""Tests of the order of admission, under the load patterns of admission_order.py."""

import collections.abc
import dataclasses
import unittest

from tests.choice_replay import RANKED_WORK, FakeEngine, Job, Replay, earned_share

from .admission_order import AT_SHARE_POSITION, AdmissionOrder, share_limit, yielding_limit

ENTRIES = 12
# Requests per second of the three kinds that the engines of the replays process, per engine.
SERVED_PER_ENGINE = 9.0
URGENT, USUAL, PATIENT = RANKED_WORK.kinds


def play(
    engines: int, rate: float, ordered: bool = True, shares: tuple[float, ...] = ()
) -> dict[int, list[Job]]:
    """Returns the requests by rank.

    Args:
      rate: Requests per second.
      shares: Those of the kinds; empty for the usual ones.
    """
    kinds = RANKED_WORK.kinds
    if shares:
        pairs = zip(kinds, shares, strict=True)
        kinds = tuple(dataclasses.replace(kind, share=share) for kind, share in pairs)
    work = dataclasses.replace(RANKED_WORK, ordered=ordered, kinds=kinds)
    fakes = [FakeEngine(figures=work.figures) for _ in range(engines)]
    jobs = Replay(fakes, ENTRIES, None, work=work).play(rate, 12.0)
    return {kind.rank: [job for job in jobs if job.kind.rank == kind.rank] for kind in kinds}


def served(jobs: collections.abc.Sequence[Job]) -> float:
    """Returns the share of requests that had a first event."""
    return sum(job.first_event is not None for job in jobs) / len(jobs)


class OverloadTest(unittest.TestCase):
    """Twelve entries, and engines that are too few by a third."""

    def test_flood_of_less_urgent_requests_costs_urgent_ones_nothing(self) -> None:
        """Guards against batch work that is placed where urgent requests are refused."""
        alone = play(17, URGENT.share * 260.0, shares=(1.0, 0.0, 0.0))[URGENT.rank]
        crowded = play(17, 260.0)[URGENT.rank]
        self.assertGreater(served(crowded), served(alone) - 0.03)
        lost = earned_share(alone, RANKED_WORK) - earned_share(crowded, RANKED_WORK)
        self.assertLess(lost, 0.15)

    def test_order_serves_callers_better_than_refusing_alike(self) -> None:
        """Guards against slots that go to those with the longest objective."""
        ordered, alike = (
            [job for jobs in play(26, 338.0, ordered).values() for job in jobs]
            for ordered in (True, False)
        )
        gain = earned_share(ordered, RANKED_WORK) - earned_share(alike, RANKED_WORK)
        self.assertGreater(gain, 0.08)

    def test_no_rank_is_shut_out(self) -> None:
        """Guards against less urgent kinds that get nothing while overload lasts."""
        by_rank = play(17, 338.0)
        everyone = served([job for jobs in by_rank.values() for job in jobs])
        for jobs in by_rank.values():
            self.assertGreater(served(jobs), everyone / 4.0)

    def test_below_capacity_nobody_yields(self) -> None:
        """Guards against an order that refuses anybody while there is room for all."""
        for jobs in play(26, 0.8 * 26 * SERVED_PER_ENGINE).values():
            self.assertGreater(served(jobs), 0.99)


class OrderTest(unittest.TestCase):
    """Limits of single ranks."""

    def setUp(self) -> None:
        self.order = AdmissionOrder()

    def record(self, rank: int, admitted: bool, count: int, now: float) -> None:
        """Records some requests at one time."""
        for _ in range(count):
            self.order.record(rank, admitted, now)

    def test_refusals_of_less_urgent_requests_lower_no_other_limit(self) -> None:
        """Guards against urgent requests that are refused because others are."""
        self.record(0, True, 10, 1.0)
        self.record(2, False, 100, 1.0)
        self.assertEqual(self.order.refused_share(0, 1.0), 0.0)
        self.assertEqual(self.order.urgent_refused_share(1, 1.0), 0.0)
        self.assertGreater(self.order.refused_share(2, 1.0), 0.8)

    def test_burst_of_urgent_requests_finds_room_within_a_second(self) -> None:
        """Guards against less urgent requests that are queued while urgent ones are refused."""
        self.record(0, True, 20, 1.0)
        self.record(0, False, 10, 1.5)
        share = self.order.urgent_refused_share(1, 1.5)
        self.assertEqual(yielding_limit(0.35, 0.4, 0.14, share), 0.14)
        later = self.order.urgent_refused_share(1, 15.0)
        self.assertGreater(yielding_limit(0.35, 0.4, 0.14, later), 0.34)

    def test_nobody_yields_while_nobody_urgent_is_refused(self) -> None:
        """Guards against less urgent requests that are refused although all urgent ones fit."""
        self.record(0, True, 20, 1.0)
        share = self.order.urgent_refused_share(1, 1.0)
        self.assertEqual(yielding_limit(0.35, 0.4, 0.14, share), 0.35)

    def test_rank_with_too_little_is_placed_as_the_most_urgent(self) -> None:
        """Guards against a rank that never reaches its least share."""
        self.record(0, True, 20, 1.0)
        self.record(2, False, 20, 1.0)
        self.assertEqual(self.order.admission_rank(2, 1.0), 0)
        self.record(2, True, 20, 1.1)
        self.assertEqual(self.order.admission_rank(2, 1.1), 2)

    def test_workspace_over_its_share_gets_free_slots_only_under_overload(self) -> None:
        """Guards against a large workspace that is served before small ones."""
        limits = [
            share_limit(0.35, 0.4, 0.14, position, refused_share)
            for position, refused_share in ((AT_SHARE_POSITION, 0.5), (0.7, 0.0), (0.7, 0.5))
        ]
        self.assertEqual(limits, [0.35, 0.35, 0.14])

    def test_caller_who_comes_back_counts_as_offered_once(self) -> None:
        """Guards against returns that make a rank look worse served than it is."""
        self.record(0, True, 10, 1.0)
        self.record(1, False, 10, 1.0)
        for _ in range(10):
            self.order.record(1, True, 1.5, returning=True)
        self.assertEqual(self.order.admission_rank(1, 1.5), 1)
