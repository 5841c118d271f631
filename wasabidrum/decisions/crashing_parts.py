"""Detects and blocks parts of prompts that crash every endpoint that answers on them.

Load pattern: one part of a prompt crashes each engine that begins an answer on it. Requests with
it come to all entries and no two are alike, so that each is new to a guard that knows whole
requests; beside them sound requests share the caller and all other parts. The engines crash one
after the other, and with each of them dozens of unrelated requests fail.

A crash counts for each part of the requests in progress at the engine, in rounds: a request counts
for a part only if it was placed after this entry knew the last counted crash of that part. Engines
that die together, as in a loss of power, count once, however many requests with a part were in
progress. A complete answer clears the parts of its request: parts that are shared by sound requests
are answered all the time, one that crashes engines never is. With one crash nothing changes. With
two, the part is suspected: requests with it are refused, except for tests. So is a part with which
several engines have died in one round, if none of its requests is answered soon afterwards.

A test is one request of one entry. It counts as a crash from the moment that it is sent, and all
entries are told, so that no other one is sent while it runs, or if its end is never known. If it is
answered, the part is cleared: a sound part may be suspected by bad luck. Otherwise the next test
comes later each time, and after the last one the part stays blocked until requests with it have
stopped coming. A test that was refused or withdrawn while its endpoint lived has shown nothing, and
the next one comes sooner. A part that was answered before it was suspected is hardly at fault: its
tests go on. Requests whose other parts were all answered before are better tests than others, which
may hold the part at fault.

Entries exchange the state of each part: an epoch that grows when it is cleared, the crashes and the
inconclusive tests since, and the endpoints that died. The larger epoch wins, then the larger
counts, so that all entries arrive at the same state in whatever order reports reach them. Sidecars
remember the states of tested parts, and pass them on between entries that cannot reach each other.

A part of a request with home regions is known only to instances there: its state names the regions
that all such requests with the part have in common.
"""

import collections
import enum
from collections.abc import Callable, Iterable, Mapping

from ..core.part_report import PartReport
from .home_regions import Regions, intersect

CRASHES_TO_SUSPECT = 2
# From which on sidecars remember a part: a test has failed, or there was a third round.
CRASHES_TO_REMEMBER = 3
# Endpoints that died in one round, and how long it is waited for an answer that clears the part.
DEATHS_TO_SUSPECT = 5
CLEARING_SECONDS = 1.0
# From the last counted crash to a test of a suspected part. The first one comes with the first
# request.
TEST_AFTER_SECONDS = (0.0, 5.0, 60.0, 3600.0)
# The same while each test so far was inconclusive.
INCONCLUSIVE_TEST_AFTER_SECONDS = (1.0, 5.0, 30.0)
# Both for a part that was answered before. Its tests go on after the last of these times.
ANSWERED_TEST_AFTER_SECONDS = (0.0, 5.0, 10.0, 60.0)
ANSWERED_INCONCLUSIVE_TEST_AFTER_SECONDS = (1.0, 5.0)
ANSWERED_LASTS_SECONDS = 600.0
# How much later each further entry tests. Requests that are worse tests wait for a turn, too.
TURN_SECONDS = 1.0
MAX_TURN_SECONDS = 10.0
# Without a request for so long, the turns of the entries begin anew.
TURNS_LAST_SECONDS = 60.0
LIFETIME_SECONDS = 3600.0
MAX_PARTS = 4096
MAX_TOLD_PARTS = 256


class Verdict(enum.Enum):
    """What may be done with a request.

    HELD means that one of its parts is being tested, or is about to be. TEST means that it may be
    sent as the test of its suspected parts.
    """

    ALLOWED = "allowed"
    HELD = "held"
    BLOCKED = "blocked"
    TEST = "test"


class PartState:
    """What is known of one part.

    Attributes:
      epoch: How often it was cleared.
      crashes: The crashes counted since, tests included.
      inconclusive: The tests since that showed nothing.
      endpoints: Endpoints that died since with such a request in progress, DEATHS_TO_SUSPECT at
        most.
      died_at: When the last of these was added.
      counted_in: The revision in which the last crash was counted or learned.
      counted_at: The time of that, or of the last inconclusive test.
      touched_at: The last crash, or the last request while it is suspected.
      asked_at: The last request since the last crash.
      turns_began_at: The first of these requests.
      regions: To which regions its state may be sent.
    """

    __slots__ = ("epoch", "crashes", "inconclusive", "endpoints", "died_at")
    __slots__ += ("counted_in", "counted_at", "touched_at", "asked_at", "turns_began_at")
    __slots__ += ("regions",)

    def __init__(self) -> None:
        self.epoch = 0
        self.crashes = 0
        self.inconclusive = 0
        self.endpoints: set[str] = set()
        self.died_at = 0.0
        self.counted_in = 0
        self.counted_at = 0.0
        self.touched_at = 0.0
        self.asked_at = float("-inf")
        self.turns_began_at = 0.0
        self.regions: Regions = None

    @property
    def suspected(self) -> bool:
        """Whether requests with the part are refused, except for tests."""
        return self.crashes >= CRASHES_TO_SUSPECT

    def clear(self) -> None:
        """Forgets all crashes."""
        self.epoch += 1
        self.crashes = self.inconclusive = 0
        self.endpoints.clear()


class CrashingParts:
    """The parts that one entry knows to have been in progress at crashes.

    Attributes:
      informed: Whether this entry has learned what was counted before it started. Until then the
        first crash that it sees counts for two.
    """

    __slots__ = ("informed", "_states", "_answered", "_revision")

    def __init__(self) -> None:
        self.informed = True
        # When each part was last in a request that was answered completely.
        self._answered: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._states: collections.OrderedDict[str, PartState] = collections.OrderedDict()
        self._revision = 0

    def __len__(self) -> int:
        return len(self._states)

    @property
    def revision(self) -> int:
        """Grows with each crash that is counted or learned."""
        return self._revision

    def count_suspected(self, now: float) -> int:
        """Returns how many parts are suspected."""
        return sum(s.suspected and not is_expired(s, now) for s in self._states.values())

    def crashes(self, parts: Iterable[str], now: float) -> int:
        """Returns the crashes of the part among these that has most."""
        found = (self._find(part, now) for part in parts)
        return max((state.crashes for state in found if state is not None), default=0)

    def restrict(self, parts: Iterable[str], regions: Regions) -> None:
        """Records that some parts belong to a request with home regions."""
        known = (self._states.get(part) for part in parts) if regions is not None else ()
        for state in known:
            if state is not None:
                state.regions = intersect(state.regions, regions)

    def check(self, parts: Iterable[str], now: float, rank_of: Callable[[str], int]) -> Verdict:
        """Returns what may be done with a request with some parts.

        Args:
          rank_of: Returns this entry's place among all entries for tests of a part, from zero.
        """
        suspected = self._suspected(parts, now)
        if not suspected:
            return Verdict.ALLOWED
        for part, state in suspected.items():
            # There may be no request for a while after a crash.
            if now - state.asked_at > TURNS_LAST_SECONDS:
                state.turns_began_at = now
            state.asked_at = state.touched_at = now
            self._states.move_to_end(part)
        if self._are_due(parts, suspected, now, rank_of):
            return Verdict.TEST
        one_test = CRASHES_TO_SUSPECT + 1
        is_soon = all(s.crashes - s.inconclusive <= one_test for s in suspected.values())
        return Verdict.HELD if is_soon else Verdict.BLOCKED

    def begin_test(
        self, parts: Iterable[str], now: float, rank_of: Callable[[str], int]
    ) -> list[str]:
        """Counts a test as a crash of the suspected parts of its request, before it is sent.

        Returns:
          These parts; none if no test is due any more.
        """
        suspected = self._suspected(parts, now)
        if not self._are_due(parts, suspected, now, rank_of):
            return []
        for state in suspected.values():
            self._count(state, state.crashes + 1, now)
        return list(suspected)

    def record_inconclusive_test(self, parts: Iterable[str], now: float) -> list[str]:
        """Records that a test of some parts was refused or withdrawn while its endpoint lived.

        Returns:
          Those that are still suspected.
        """
        suspected = self._suspected(parts, now)
        for state in suspected.values():
            state.inconclusive += 1
            state.counted_at = now
        return list(suspected)

    def record_crash(
        self, parts: Iterable[str], placed_in: int, endpoint: str, now: float
    ) -> list[str]:
        """Records that a request was in progress at an endpoint that died.

        Args:
          placed_in: The revision at the time when it was placed there.

        Returns:
          The parts of which other entries have to know more.
        """
        changed = []
        for part in parts:
            state = self._find(part, now)
            if state is None:
                state = self._add(part)
            is_new = self._add_endpoints(state, (endpoint,), now)
            if placed_in >= state.counted_in:
                first = not state.crashes and not self.informed
                self._count(state, state.crashes + (2 if first else 1), now)
                self._states.move_to_end(part)
            elif not is_new:
                continue
            changed.append(part)
        return changed

    def were_answered(self, parts: Iterable[str], now: float) -> bool:
        """Returns whether those of some parts that are suspected were answered before."""
        return all(self._was_answered(part, now) for part in self._suspected(parts, now))

    def record_answer(self, parts: Iterable[str], now: float) -> list[PartReport]:
        """Clears the parts of a request that was answered completely.

        Returns:
          The states until now of those that had crashes.
        """
        cleared = []
        for part in parts:
            self._answered[part] = now
            self._answered.move_to_end(part)
            state = self._find(part, now)
            if state is not None and state.crashes:
                cleared.append(report_of(part, state, now))
                state.clear()
        while len(self._answered) > MAX_PARTS:
            self._answered.popitem(last=False)
        return cleared

    def merge(self, report: PartReport, now: float) -> bool:
        """Applies the state that another entry knows; returns whether that changed anything."""
        if report.age > LIFETIME_SECONDS:
            return False
        state = self._find(report.part, now)
        if state is None:
            if not report.epoch and not report.crashes:
                return False
            state = self._add(report.part)
        state.touched_at = max(state.touched_at, now - report.age)
        if report.regions is not None:
            state.regions = intersect(state.regions, frozenset(report.regions))
        if report.epoch < state.epoch:
            return False
        changed = report.epoch > state.epoch
        if changed:
            state.clear()
            state.epoch = report.epoch
        changed |= self._add_endpoints(state, report.endpoints, now)
        if report.crashes > state.crashes:
            self._count(state, report.crashes, now, report.age)
            state.counted_at = now - report.counted_ago
            changed = True
        if report.inconclusive > state.inconclusive:
            state.inconclusive = report.inconclusive
            state.counted_at = now - report.counted_ago
            changed = True
        if changed:
            self._states.move_to_end(report.part)
        return changed

    def reports(self, now: float, at_least: int) -> tuple[PartReport, ...]:
        """Returns the states of the parts with so many crashes, those touched last at most."""
        found = [
            report_of(part, state, now)
            for part, state in self._states.items()
            if state.crashes >= at_least and not is_expired(state, now)
        ]
        return tuple(found[-MAX_TOLD_PARTS:])

    def reports_of(self, parts: Iterable[str], now: float) -> tuple[PartReport, ...]:
        """Returns the states of some parts, as far as they are known."""
        states = ((part, self._find(part, now)) for part in parts)
        return tuple(report_of(part, state, now) for part, state in states if state is not None)

    def newer_than(self, reports: Iterable[PartReport], now: float) -> tuple[PartReport, ...]:
        """Returns the states held here of those parts of which another entry's lack something."""
        theirs = {report.part: report for report in reports}
        return tuple(o for o in self.reports_of(theirs, now) if not theirs[o.part].covers(o))

    def _suspected(self, parts: Iterable[str], now: float) -> dict[str, PartState]:
        known = {part: state for part in parts if (state := self._find(part, now)) is not None}
        return {part: state for part, state in known.items() if state.suspected}

    def _was_answered(self, part: str, now: float) -> bool:
        return now - self._answered.get(part, float("-inf")) <= ANSWERED_LASTS_SECONDS

    def _are_due(
        self,
        parts: Iterable[str],
        suspected: Mapping[str, PartState],
        now: float,
        rank_of: Callable[[str], int],
    ) -> bool:
        """Returns whether a request with some suspected parts may be sent as their test.

        Where several are suspected, one may be at fault for all of them. Each is tested first with
        requests that come without the others, and without parts of which nothing is known.
        """
        unknown = any(p not in suspected and not self._was_answered(p, now) for p in parts)
        turns = len(suspected) - 1 + unknown
        return all(
            is_due(
                state,
                now,
                min(TURN_SECONDS * rank_of(part), MAX_TURN_SECONDS) + TURN_SECONDS * turns,
                self._was_answered(part, now),
            )
            for part, state in suspected.items()
        )

    def _add_endpoints(self, state: PartState, endpoints: Iterable[str], now: float) -> bool:
        """Adds endpoints that died; returns whether one of them was not known."""
        new = set(endpoints) - state.endpoints
        if not new or len(state.endpoints) >= DEATHS_TO_SUSPECT:
            return False
        state.endpoints |= set(sorted(new)[: DEATHS_TO_SUSPECT - len(state.endpoints)])
        state.died_at = now
        return True

    def _count(self, state: PartState, crashes: int, now: float, age: float = 0.0) -> None:
        self._revision += 1
        state.crashes = crashes
        state.counted_in = self._revision
        state.counted_at = now
        state.asked_at = float("-inf")
        state.touched_at = max(state.touched_at, now - age)

    def _add(self, part: str) -> PartState:
        state = self._states[part] = PartState()
        while len(self._states) > MAX_PARTS:
            self._states.popitem(last=False)
        return state

    def _find(self, part: str, now: float) -> PartState | None:
        state = self._states.get(part)
        if state is None:
            return None
        if is_expired(state, now):
            del self._states[part]
            return None
        many = len(state.endpoints) >= DEATHS_TO_SUSPECT
        if many and not state.suspected and now - state.died_at >= CLEARING_SECONDS:
            self._count(state, CRASHES_TO_SUSPECT, now)
        return state


def is_expired(state: PartState, now: float) -> bool:
    """Returns whether a part has neither crashed anything nor been seen for its lifetime."""
    return now - state.touched_at > LIFETIME_SECONDS


def is_due(state: PartState, now: float, turn: float, was_answered: bool) -> bool:
    """Returns whether a suspected part may be tested.

    Args:
      turn: Seconds for which others may test it first.
      was_answered: Whether the part was answered before it was suspected.
    """
    seconds = seconds_until_test(state, was_answered)
    since = state.counted_at if seconds else state.turns_began_at
    return now - since >= seconds + turn


def seconds_until_test(state: PartState, was_answered: bool) -> float:
    """Returns the seconds from the last counted crash until the first entry tests the part."""
    tests = state.crashes - CRASHES_TO_SUSPECT
    failed = tests - state.inconclusive
    if tests and failed <= 0:
        inconclusive = INCONCLUSIVE_TEST_AFTER_SECONDS
        if was_answered:
            inconclusive = ANSWERED_INCONCLUSIVE_TEST_AFTER_SECONDS
        return inconclusive[min(tests, len(inconclusive)) - 1]
    if failed >= len(TEST_AFTER_SECONDS) and not was_answered:
        return float("inf")
    after = ANSWERED_TEST_AFTER_SECONDS if was_answered else TEST_AFTER_SECONDS
    return after[min(tests, len(after) - 1)]


def report_of(part: str, state: PartState, now: float) -> PartReport:
    """Returns the state of a part as other entries get it."""
    age = max(0.0, now - state.touched_at)
    endpoints = tuple(sorted(state.endpoints))
    counted_ago = max(0.0, now - state.counted_at)
    regions = None if state.regions is None else tuple(sorted(state.regions))
    return PartReport(
        part, state.epoch, state.crashes, age, state.inconclusive, endpoints, counted_ago, regions
    )
