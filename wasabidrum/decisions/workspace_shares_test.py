"""Replays of competing workspaces over several entries, without a network."""

import collections
import heapq
import random
import unittest

from ..core.published import EngineFigures
from ..core.workspace_use import RATE_UNIT, UseReport, WorkspaceUse
from .engine_forecast import engine_seconds, run_seconds
from .refused_callers import RefusedCallers, Return
from .report_turns import ReportTurns
from .workspace_shares import (
    MAX_REPORTED_WORKSPACES,
    MIN_WEIGHT,
    REPORT_EXPIRES_SECONDS,
    Claim,
    WorkspaceShares,
    equal_share,
)

ENTRIES = 12
REQUEST_SECONDS = 0.07
REPORT_SECONDS = 0.5
REPORTS_AT_ONCE = 3
LEVEL_SECONDS = 0.1
LEVEL_GAIN = 0.3
# Positions are spread by this much at the comparison with the level.
SPREAD = 0.1
PATIENCE_SECONDS = 3.0
SETTLING_SECONDS = 6.0


class Replay:
    """Entries that each admit their part of what the engines can do, by positions.

    Attributes:
      loss: The fraction of the reports that are lost.
      delay: The longest time in seconds that a report takes.
      frozen: The number of an entry that does nothing after SETTLING_SECONDS; None for none.
      homes: The entries that callers of a workspace use, where these are not all.
      early: The workspaces whose callers repeat every 0.05 s whatever they are told.
      offered: Requests of each workspace since SETTLING_SECONDS, repeats not counted.
      served: The same of those that were admitted.
    """

    def __init__(self, demands: dict[str, float], capacity: float, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.demands = demands
        self.capacity = capacity
        self.loss = 0.0
        self.delay = 0.05
        self.frozen: int | None = None
        self.homes: dict[str, range] = {}
        self.early: frozenset[str] = frozenset()
        self.offered: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()
        self.shares = [WorkspaceShares(f"e{n}", 1) for n in range(ENTRIES)]
        self._turns = [ReportTurns(REPORTS_AT_ONCE, self.rng) for _ in range(ENTRIES)]
        self._callers = [RefusedCallers() for _ in range(ENTRIES)]
        self._levels = [1.0] * ENTRIES
        self._admitted = [0.0] * ENTRIES
        self._events: list[tuple] = []
        self._number = 0

    def run(self, seconds: float) -> None:
        """Plays some seconds of traffic."""
        for workspace, rate in self.demands.items():
            self._add(self.rng.expovariate(rate), "new", workspace)
        for n in range(ENTRIES):
            self.shares[n].entry_count = ENTRIES
            self._add(self.rng.random() * REPORT_SECONDS, "report", n)
            self._add(LEVEL_SECONDS, "level", n)
        while self._events:
            now, _, kind, *facts = heapq.heappop(self._events)
            if now > seconds:
                return
            getattr(self, f"_play_{kind}")(now, *facts)

    def _add(self, at: float, *event: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, *event))

    def _is_frozen(self, entry: int, now: float) -> bool:
        return entry == self.frozen and now > SETTLING_SECONDS

    def _play_new(self, now: float, workspace: str) -> None:
        self._add(now + self.rng.expovariate(self.demands[workspace]), "new", workspace)
        if now > SETTLING_SECONDS:
            self.offered[workspace] += 1
        self._play_call(now, workspace, str(self._number), now)

    def _play_call(self, now: float, workspace: str, caller: str, began: float) -> None:
        homes = self.homes.get(workspace, range(ENTRIES))
        entry = self.rng.choice([n for n in homes if not self._is_frozen(n, now)])
        shares, callers = self.shares[entry], self._callers[entry]
        returned = callers.take(caller, now)
        if returned is not Return.NEW:
            shares.record_return(workspace, returned is Return.EARLY, now)
        spread = SPREAD * (self.rng.random() - 0.5)
        if shares.position(workspace, now) + spread <= self._levels[entry]:
            shares.record_use(workspace, REQUEST_SECONDS, now)
            self._admitted[entry] += REQUEST_SECONDS
            if now > SETTLING_SECONDS:
                self.served[workspace] += 1
            return
        if began == now:
            shares.record_refused(workspace, REQUEST_SECONDS, now)
        retry = self.rng.uniform(0.5, 1.5)
        callers.record_refused(caller, retry, now)
        wait = 0.05 if workspace in self.early else retry
        if now + wait < began + PATIENCE_SECONDS:
            self._add(now + wait, "call", workspace, caller, began)

    def _play_level(self, now: float, entry: int) -> None:
        """Adjusts an entry's level so that it admits its part of the capacity."""
        self._add(now + LEVEL_SECONDS, "level", entry)
        part = self.capacity / ENTRIES * LEVEL_SECONDS
        change = LEVEL_GAIN * (1.0 - self._admitted[entry] / part) * LEVEL_SECONDS
        self._levels[entry] = min(1.0, max(0.0, self._levels[entry] + change))
        self._admitted[entry] = 0.0

    def _play_report(self, now: float, entry: int) -> None:
        self._add(now + REPORT_SECONDS, "report", entry)
        if self._is_frozen(entry, now):
            return
        report = self.shares[entry].report(now)
        others = {str(n) for n in range(ENTRIES) if n != entry}
        for other in self._turns[entry].next_hosts(others, 1):
            if self.rng.random() >= self.loss:
                self._add(now + self.rng.random() * self.delay, "merge", int(other), report)

    def _play_merge(self, now: float, entry: int, report: UseReport) -> None:
        self.shares[entry].merge(report, now)

    @property
    def served_fractions(self) -> dict[str, float]:
        """The fraction of the requests of each workspace that were served."""
        return {w: self.served[w] / self.offered[w] for w in self.demands}

    @property
    def utilization(self) -> float:
        """The fraction of the requests that could be served in total that were."""
        offered = sum(self.offered.values())
        wanted = sum(self.demands.values()) * REQUEST_SECONDS
        return sum(self.served.values()) / offered * wanted / self.capacity


def replay(demands: dict[str, float], overload: float, **faults: object) -> Replay:
    """Returns a replay that has run.

    Args:
      demands: Requests per second of each workspace.
      overload: How many times what the engines can do is asked for.
    """
    played = Replay(demands, sum(demands.values()) * REQUEST_SECONDS / overload)
    for name, value in faults.items():
        setattr(played, name, value)
    played.run(SETTLING_SECONDS + 14.0)
    return played


def zipf(count: int, exponent: float, total: float) -> dict[str, float]:
    """Returns requests per second of workspaces whose traffic falls with their rank."""
    weights = [rank**-exponent for rank in range(1, count + 1)]
    return {f"w{n}": total * weight / sum(weights) for n, weight in enumerate(weights)}


class ReplayTest(unittest.TestCase):
    """Twelve entries under overload."""

    def test_three_workspaces_of_very_different_size(self) -> None:
        """Guards against a large workspace that takes what small ones ask for, and against
        capacity that is left unused for fairness."""
        played = replay({"large": 200.0, "middle": 130.0, "small": 5.0}, 1.4)
        fractions = played.served_fractions
        self.assertGreater(fractions["small"], 0.95)
        served = [played.served[w] / played.offered[w] * played.demands[w] for w in fractions]
        self.assertLess(abs(served[0] - served[1]), 0.2 * served[0])
        self.assertGreater(played.utilization, 0.95)

    def test_capacity_that_others_leave_goes_to_the_large_one(self) -> None:
        """Guards against a fixed equal part, which would leave two thirds of the engines idle."""
        played = replay({"large": 300.0, "middle": 30.0, "small": 3.0}, 1.4)
        self.assertGreater(played.served_fractions["large"], 0.6)
        self.assertGreater(played.served_fractions["middle"], 0.95)
        self.assertGreater(played.utilization, 0.95)

    def test_callers_that_repeat_at_once_pay_with_their_own_share(self) -> None:
        """Guards against a workspace that gets more by repeating refused requests at once."""
        demands = {"patient": 150.0, "early": 150.0, "small": 30.0}
        fractions = replay(demands, 1.4, early=frozenset(["early"])).served_fractions
        self.assertLess(fractions["early"], 0.85 * fractions["patient"])
        self.assertGreater(fractions["early"], 0.25)
        self.assertGreater(fractions["small"], 0.95)

    def test_equal_workspaces_get_equal_shares_wherever_their_callers_are(self) -> None:
        """Guards against a workspace that gets a third less than others because its callers reach
        only some of the entries, where they make up more of the traffic."""
        demands = {"some": 110.0, "all": 110.0, "everywhere": 110.0}
        homes = {"some": range(8)}
        for loss in (0.0, 0.5):
            with self.subTest(loss=loss):
                fractions = replay(demands, 1.4, homes=homes, loss=loss).served_fractions
                self.assertLess(max(fractions.values()) - min(fractions.values()), 0.12)

    def test_many_workspaces_stay_above_a_quarter_of_the_mean(self) -> None:
        """Guards against workspaces that are refused altogether, large or small, also while
        reports are late or lost and an entry is frozen."""
        demands = zipf(24, 1.2, 340.0)
        for faults in ({}, {"loss": 0.5, "delay": 1.0}, {"loss": 1.0}, {"frozen": 3}):
            with self.subTest(**faults):
                played = replay(demands, 1.4, **faults)
                fractions = played.served_fractions
                mean = sum(played.served.values()) / sum(played.offered.values())
                self.assertGreater(min(fractions.values()), 0.25 * mean)
                # All but the three largest ask for less than an equal share.
                self.assertGreater(min(list(fractions.values())[4:]), 0.9)


class WorkspaceSharesTest(unittest.TestCase):
    """Positions at one entry."""

    def setUp(self) -> None:
        self.shares = WorkspaceShares("own", 1)

    def report(self, sequence: int = 1, host: str = "e2", run: int = 1, **used: float) -> UseReport:
        """Returns a report of another entry, by engine seconds per second of each workspace."""
        uses = (WorkspaceUse(name, round(rate / RATE_UNIT)) for name, rate in used.items())
        return UseReport(host, run, sequence, tuple(uses))

    def test_a_workspace_without_use_is_admitted_first(self) -> None:
        self.assertEqual(self.shares.position("a", 1.0), 0.0)
        self.shares.record_use("b", 1.0, 1.0)
        self.shares.record_refused("a", 1.0, 1.0)
        self.assertEqual(self.shares.position("a", 1.0), 0.0)
        self.assertGreater(self.shares.position("b", 1.0), 0.4)

    def test_use_at_other_entries_counts_until_its_report_expires(self) -> None:
        """Guards against an entry that admits a workspace that has used its share elsewhere, and
        against one that judges by what a frozen entry reported long ago."""
        self.shares.entry_count = 2
        self.shares.record_use("a", 0.2, 10.0)
        self.shares.record_use("b", 0.1, 10.0)
        self.assertGreater(self.shares.position("a", 10.0), self.shares.position("b", 10.0))
        self.shares.merge(self.report(b=1.0), 10.0)
        self.assertLess(self.shares.position("a", 10.0), self.shares.position("b", 10.0))
        later = 10.0 + REPORT_EXPIRES_SECONDS + 0.1
        self.assertEqual(self.shares.heard_count(later), 0)
        self.assertGreater(self.shares.position("a", later), self.shares.position("b", later))

    def test_entries_that_were_not_heard_count_like_the_others(self) -> None:
        """Guards against own counts that outweigh those of entries whose reports were lost."""
        self.shares.record_use("a", 1.0, 10.0)
        self.shares.merge(self.report(b=0.1), 10.0)
        self.shares.entry_count = 2
        self.assertGreater(self.shares.position("a", 10.0), self.shares.position("b", 10.0))
        self.shares.entry_count = 12
        self.assertLess(self.shares.position("a", 10.0), self.shares.position("b", 10.0))

    def test_reports_out_of_order_are_ignored_unless_the_entry_has_restarted(self) -> None:
        """Guards against a delayed report that replaces a newer one, and against an entry that
        is not heard after its restart because it counts its reports from one again."""
        self.shares.merge(self.report(5, b=1.0), 10.0)
        self.shares.merge(self.report(4, c=1.0), 10.1)
        self.assertEqual(self.shares.positions(10.1).keys(), {"b"})
        self.shares.merge(self.report(1, run=2, c=1.0), 10.2)
        self.assertEqual(self.shares.positions(10.2).keys(), {"c"})

    def test_a_request_that_wrote_less_is_corrected(self) -> None:
        """Guards against requests that count as long as they may be, though they ended early."""
        self.shares.record_use("a", 1.0, 10.0)
        self.shares.correct_use("a", 1.0, 0.0, 10.0, 12.0)
        self.assertEqual(self.shares.position("a", 12.0), 0.0)

    def test_a_report_holds_the_workspaces_with_the_highest_use(self) -> None:
        for number in range(2 * MAX_REPORTED_WORKSPACES):
            self.shares.record_use(f"w{number}", 0.01 * (number + 1), 1.0)
        uses = self.shares.report(1.0).uses
        self.assertEqual(len(uses), MAX_REPORTED_WORKSPACES)
        self.assertEqual(uses[0].workspace, f"w{2 * MAX_REPORTED_WORKSPACES - 1}")
        self.assertEqual(self.shares.report(200.0).uses, ())

    def test_a_single_early_return_costs_little(self) -> None:
        """Guards against a small workspace that loses half its share by one impatient caller."""
        for workspace in "ab":
            self.shares.record_use(workspace, 1.0, 1.0)
        self.shares.record_return("a", True, 1.0)
        self.assertLess(self.shares.position("a", 1.0), 0.54)
        for _ in range(50):
            self.shares.record_return("a", True, 1.0)
        self.assertGreater(self.shares.position("a", 1.0), self.shares.position("b", 1.0) + 0.1)


class EqualShareTest(unittest.TestCase):
    """The division by max-min fairness."""

    def test_what_one_leaves_is_divided_among_the_others(self) -> None:
        claims = [Claim(wanted, 0.0, 1.0) for wanted in (1.0, 5.0, 20.0)]
        self.assertAlmostEqual(equal_share(claims, 9.0), 4.0)
        self.assertAlmostEqual(equal_share(claims, 16.0), 10.0)
        self.assertAlmostEqual(equal_share(claims, 100.0), 20.0)

    def test_weights_and_minimums_count(self) -> None:
        claims = [Claim(10.0, 0.0, 1.0), Claim(10.0, 0.0, MIN_WEIGHT)]
        self.assertAlmostEqual(equal_share(claims, 6.0), 4.0)
        claims = [Claim(10.0, 0.0, 1.0), Claim(40.0, 6.0, 1.0)]
        self.assertAlmostEqual(equal_share(claims, 8.0), 2.0)


class RefusedCallersTest(unittest.TestCase):
    """Requests that are repeated."""

    def test_each_refusal_is_followed_by_one_return(self) -> None:
        """Guards against equal requests of several callers that all count as early returns."""
        callers = RefusedCallers()
        self.assertIs(callers.take("x", 1.0), Return.NEW)
        callers.record_refused("x", 1.0, 1.0)
        self.assertIs(callers.take("x", 1.1), Return.EARLY)
        self.assertIs(callers.take("x", 1.1), Return.NEW)
        callers.record_refused("x", 1.0, 1.0)
        self.assertIs(callers.take("x", 1.95), Return.IN_TIME)
        callers.record_refused("x", 1.0, 1.0)
        callers.record_refused("y", 1.0, 20.0)
        self.assertIs(callers.take("x", 20.0), Return.NEW)


class EngineSecondsTest(unittest.TestCase):
    """What a request takes of an engine."""

    def test_requests_that_fill_an_engine_take_all_of_its_time(self) -> None:
        """Guards against use in another unit than what the engines can do, and against long
        prompts or answers that cost a workspace no more than short ones."""
        figures = EngineFigures(
            slots=12, step=0.009, step_per_request=0.00003, stride=5, usual_answer=120.0
        )
        usual = engine_seconds(figures, figures.usual_prompt, figures.usual_answer)
        per_second = figures.slots / run_seconds(figures, figures.slots)
        self.assertAlmostEqual(usual * per_second, 1.0, delta=0.1)
        self.assertGreater(engine_seconds(figures, 2000, 120), 1.3 * usual)
        self.assertGreater(engine_seconds(figures, 1000, 240), 1.3 * usual)
