"""Shares of workspaces in what engines can do, by their recent use over all entries.

Load pattern: callers of many workspaces ask for 1.4 times what the engines can do. One workspace
sends a third of all requests. If requests are refused as they come, that workspace gets a third of
the engines however little the others ask for, and callers who repeat refused requests at once get
more of them than callers who wait as they are told.

Each entry counts the engine seconds that requests of each workspace take, and those of the requests
that it refused. Both decay with a half-life of HALF_LIFE_SECONDS. Entries report their counts to
each other; an entry that hears only some of the others takes these as a sample of all. What is
being used is divided among the workspaces by max-min fairness: one that asks for less than an
equal share gets all of it, and what it leaves is divided among the others. The position of a
request follows from the use of its workspace relative to its share.

A refused request that is repeated adds nothing to what its workspace asks for. The more callers of
a workspace return earlier than they were told, the smaller is its weight, down to MIN_WEIGHT.
"""

import dataclasses
import math

from ..core.workspace_use import RATE_UNIT, UseReport, WorkspaceUse

# Long enough to count some requests of a workspace with one request a second, short enough that a
# burst of two seconds ago does not cost a workspace its share.
HALF_LIFE_SECONDS = 2.0
REPORT_EXPIRES_SECONDS = 3.0
MAX_REPORTED_WORKSPACES = 32
# A workspace's share is at least this fraction of what it would get if all were served the same
# fraction of what they ask for. A quarter is required; reports are late and use is an estimate.
MIN_SERVED_FRACTION = 0.35
# The weight of a workspace all of whose callers return too early, where others have 1.0.
MIN_WEIGHT = 0.5
# Recognised returns per second that a workspace is assumed to have, all of them in time, so that a
# single early return proves little.
ASSUMED_RETURNS_PER_SECOND = 1.0
# Use changes by a sixtieth in this time. Within it, the division is not computed anew for each
# request, which takes 0.1 ms with two dozen workspaces.
DIVISION_SECONDS = 0.05
# A workspace with less, in engine seconds per second or returns per second, is forgotten.
MIN_RATE = 0.5 * RATE_UNIT
_DECAY_PER_SECOND = math.log(2.0) / HALF_LIFE_SECONDS


@dataclasses.dataclass(slots=True)
class Rates:
    """Rates of one workspace; see WorkspaceUse. Here in engine seconds or callers per second."""

    used: float = 0.0
    refused: float = 0.0
    returns: float = 0.0
    early: float = 0.0

    def add(self, other: "Rates", factor: float) -> None:
        """Adds other rates, multiplied by a factor."""
        self.used += other.used * factor
        self.refused += other.refused * factor
        self.returns += other.returns * factor
        self.early += other.early * factor

    @property
    def weight(self) -> float:
        """The weight of the workspace in the division, MIN_WEIGHT to 1.0."""
        early = self.early / (self.returns + ASSUMED_RETURNS_PER_SECOND)
        return 1.0 - (1.0 - MIN_WEIGHT) * min(1.0, early)


NO_RATES = Rates()


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What one workspace asks for, in engine seconds per second.

    Attributes:
      minimum: What it gets at least.
    """

    wanted: float
    minimum: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Division:
    """How the engine seconds that are being used are divided.

    Attributes:
      equal: The most that a workspace of weight 1.0 gets.
      served: The fraction of what it asks for that each workspace gets at least.
      valid_until: When it has to be computed anew.
    """

    equal: float
    served: float
    valid_until: float

    def share_of(self, rates: Rates) -> float:
        """Returns the share of a workspace, in engine seconds per second."""
        return max(self.served * (rates.used + rates.refused), rates.weight * self.equal)


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedReport:
    """The last report of another entry."""

    run: int
    sequence: int
    received_at: float
    rates: dict[str, Rates]


class WorkspaceShares:
    """The use of all workspaces at this entry, and what other entries report of theirs.

    All times are of a clock that keeps counting while the instance is suspended.

    Attributes:
      entry_count: The number of entries, including this one.
    """

    __slots__ = ("entry_count", "_host", "_run", "_sequence", "_own", "_counted_at", "_reports")
    __slots__ += ("_others", "_others_until", "_division")

    def __init__(self, host: str = "", run: int = 0) -> None:
        self.entry_count = 1
        self._host = host
        self._run = run
        self._sequence = 0
        self._own: dict[str, Rates] = {}
        # When the own rates were last brought up to date.
        self._counted_at = 0.0
        self._reports: dict[str, ReceivedReport] = {}
        # The sums of the others' reports, and when the first report in them expires.
        self._others: dict[str, Rates] = {}
        self._others_until = float("inf")
        self._division: Division | None = None

    def heard_count(self, now: float) -> int:
        """Returns the number of other entries whose reports count."""
        self._drop_expired(now)
        return len(self._reports)

    def record_use(self, workspace: str, seconds: float, now: float) -> None:
        """Records the engine seconds that a request is expected to take."""
        self._own_rates(workspace, now).used += seconds * _DECAY_PER_SECOND

    def correct_use(
        self, workspace: str, expected: float, actual: float, placed_at: float, now: float
    ) -> None:
        """Replaces the expected engine seconds of a request that has ended by the actual ones."""
        left = math.exp(-max(0.0, now - placed_at) * _DECAY_PER_SECOND)
        rates = self._own_rates(workspace, now)
        rates.used = max(0.0, rates.used + (actual - expected) * left * _DECAY_PER_SECOND)

    def record_refused(self, workspace: str, seconds: float, now: float) -> None:
        """Records a refused request, by the engine seconds that it would have taken.

        The caller leaves out requests that were refused before.
        """
        self._own_rates(workspace, now).refused += seconds * _DECAY_PER_SECOND

    def record_return(self, workspace: str, early: bool, now: float) -> None:
        """Records that a refused caller came back, and whether earlier than it was told."""
        rates = self._own_rates(workspace, now)
        rates.returns += _DECAY_PER_SECOND
        rates.early += _DECAY_PER_SECOND * early

    def position(self, workspace: str, now: float) -> float:
        """Returns how far the use of a workspace exceeds its share, from 0.0 to 1.0.

        0.5 means that it uses just its share, two thirds that it uses twice that.
        """
        own = self._rates(workspace, now)
        if own.used <= 0.0:
            return 0.0
        if self._division is None or now >= self._division.valid_until:
            self._division = divide(self._all_rates(now), now)
        return own.used / (own.used + self._division.share_of(own))

    def positions(self, now: float) -> dict[str, float]:
        """Returns the positions of all workspaces with recent use."""
        return {workspace: self.position(workspace, now) for workspace in self._all_rates(now)}

    def merge(self, report: UseReport, received_at: float) -> None:
        """Records a report of another entry, unless a later one of the same run was received."""
        last = self._reports.get(report.host)
        if last is not None and last.run == report.run and last.sequence >= report.sequence:
            return
        rates = {
            use.workspace: Rates(
                *(RATE_UNIT * max(0, n) for n in (use.used, use.refused, use.returns, use.early))
            )
            for use in report.uses[:MAX_REPORTED_WORKSPACES]
        }
        self._reports[report.host] = ReceivedReport(report.run, report.sequence, received_at, rates)
        self._sum_reports()

    def report(self, now: float) -> UseReport:
        """Returns the report for the other entries."""
        self._count_to(now)
        self._division = None
        self._own = {
            workspace: rates
            for workspace, rates in self._own.items()
            if max(rates.used, rates.refused, rates.returns) >= MIN_RATE
        }
        ranked = sorted(
            self._own.items(), key=lambda item: (-item[1].used - item[1].refused, item[0])
        )
        uses = tuple(
            WorkspaceUse(
                workspace,
                *(round(n / RATE_UNIT) for n in (r.used, r.refused, r.returns, r.early)),
            )
            for workspace, r in ranked[:MAX_REPORTED_WORKSPACES]
        )
        self._sequence += 1
        return UseReport(self._host, self._run, self._sequence, uses)

    def clear(self) -> None:
        """Forgets all counts and reports."""
        self._own.clear()
        self._reports.clear()
        self._sum_reports()

    def _own_rates(self, workspace: str, now: float) -> Rates:
        self._count_to(now)
        rates = self._own.get(workspace)
        if rates is None:
            rates = self._own[workspace] = Rates()
        return rates

    def _count_to(self, now: float) -> None:
        """Lets the own rates decay until now."""
        if now <= self._counted_at:
            return
        keep = math.exp((self._counted_at - now) * _DECAY_PER_SECOND)
        self._counted_at = now
        for rates in self._own.values():
            rates.used *= keep
            rates.refused *= keep
            rates.returns *= keep
            rates.early *= keep

    def _rates(self, workspace: str, now: float) -> Rates:
        """Returns the rates of one workspace over all entries."""
        self._count_to(now)
        self._drop_expired(now)
        found = Rates()
        found.add(self._own.get(workspace, NO_RATES), 1.0)
        found.add(self._others.get(workspace, NO_RATES), self._scale)
        return found

    def _all_rates(self, now: float) -> dict[str, Rates]:
        """Returns the rates of each workspace over all entries."""
        return {name: self._rates(name, now) for name in self._own.keys() | self._others.keys()}

    @property
    def _scale(self) -> float:
        # Entries that were not heard are taken to be like those that were.
        return max(1.0, (self.entry_count - 1) / max(1, len(self._reports)))

    def _drop_expired(self, now: float) -> None:
        if now <= self._others_until:
            return
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if now - report.received_at <= REPORT_EXPIRES_SECONDS
        }
        self._sum_reports()

    def _sum_reports(self) -> None:
        self._others = {}
        self._division = None
        for report in self._reports.values():
            for workspace, rates in report.rates.items():
                self._others.setdefault(workspace, Rates()).add(rates, 1.0)
        oldest = min((r.received_at for r in self._reports.values()), default=float("inf"))
        self._others_until = oldest + REPORT_EXPIRES_SECONDS


def divide(rates: dict[str, Rates], now: float) -> Division:
    """Returns the division among workspaces with some use."""
    capacity = sum(r.used for r in rates.values())
    wanted = sum(r.used + r.refused for r in rates.values())
    served = MIN_SERVED_FRACTION * capacity / wanted
    claims = [
        Claim(r.used + r.refused, served * (r.used + r.refused), r.weight) for r in rates.values()
    ]
    return Division(equal_share(claims, capacity), served, now + DIVISION_SECONDS)


def equal_share(claims: list[Claim], capacity: float) -> float:
    """Returns the most that a claim of weight one gets in a max-min fair division.

    If there is enough for all, that is the largest claim.
    """
    # As the share grows, a claim first gets its minimum, then its weight times the share, and last
    # all that it wants.
    changes = []
    given = 0.0
    for claim in claims:
        given += claim.minimum
        changes.append((claim.minimum / claim.weight, claim.weight))
        changes.append((claim.wanted / claim.weight, -claim.weight))
    changes.sort()
    share = growth = 0.0
    for next_share, change in changes:
        more = growth * (next_share - share)
        if given + more >= capacity and growth > 0.0 and more > 0.0:
            return share + (capacity - given) / growth
        given += more
        share = next_share
        growth += change
    return share
