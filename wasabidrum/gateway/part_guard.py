"""Keeps requests with a prompt part that crashes endpoints from them, at one entry.

The rules are in decisions/crashing_parts.py. This module applies them to requests, logs what
changes and passes it on to the other entries.
"""

import asyncio
import collections.abc

from ..core.errors import CodedError
from ..core.part_report import PartReport
from ..decisions import crashing_parts
from ..decisions.crashing_parts import CrashingParts, Verdict
from ..decisions.home_regions import Regions
from ..observe.event import Event
from ..observe.event_log import EventLog
from .entry_peers import EntryPeers

# The error code of a request that is blocked because it crashes endpoints.
BLOCKED_CODE = "request_blocked"
# The Retry-After of a request that is blocked because it crashes endpoints.
BLOCKED_RETRY_SECONDS = 30.0
# The Retry-After of a request with a part that is being tested.
HELD_RETRY_SECONDS = 0.5
# Bounds a status that goes to every sidecar.
MAX_REMEMBERED_PARTS = 32


class PartGuard:
    """Admits and refuses the requests of one entry by the parts of their prompts."""

    __slots__ = ("_parts", "_peers", "_log", "_remembered")

    def __init__(self, parts: CrashingParts, peers: EntryPeers, log: EventLog) -> None:
        self._parts = parts
        self._peers = peers
        self._log = log
        # The parts that each sidecar remembers, if any.
        self._remembered: dict[str, tuple[PartReport, ...]] = {}

    @property
    def revision(self) -> int:
        """Grows with each crash that is known; see CrashingParts.record_crash."""
        return self._parts.revision

    @property
    def blocked_count(self) -> int:
        """How many parts are blocked, except for tests."""
        return self._parts.count_suspected(asyncio.get_running_loop().time())

    def admit(self, parts: collections.abc.Sequence[str], regions: Regions = None) -> bool:
        """Returns whether a request with some parts is the test of a suspected one.

        Args:
          regions: The home regions of the request; the parts' states go only to instances there.

        Raises:
          CodedError: It may not be placed; it was not run.
        """
        now = asyncio.get_running_loop().time()
        self._parts.restrict(parts, regions)
        verdict = self._parts.check(parts, now, self._peers.test_rank)
        if verdict is Verdict.BLOCKED:
            message = "a part of this prompt was in progress during several endpoint failures"
            raise CodedError(BLOCKED_CODE, message, 503, retry_after=BLOCKED_RETRY_SECONDS)
        if verdict is Verdict.HELD:
            message = "another request with a part that may crash endpoints has to end first"
            raise CodedError("request_held", message, 503, retry_after=HELD_RETRY_SECONDS)
        return verdict is Verdict.TEST

    def begin_test(self, parts: collections.abc.Sequence[str], request: str) -> bool:
        """Records that a request with suspected parts is about to be sent as their test.

        Returns:
          Whether it may be sent; another test may have begun meanwhile.
        """
        now = asyncio.get_running_loop().time()
        tested = self._parts.begin_test(parts, now, self._peers.test_rank)
        for report in self._reports_of(tested):
            self._log.write(
                Event.PART_TESTED, part=report.part, crashes=report.crashes, request=request
            )
        self._peers.report_parts(tested)
        return bool(tested)

    def record_inconclusive_test(self, parts: collections.abc.Sequence[str], request: str) -> None:
        """Records that a test was refused or withdrawn while its endpoint lived."""
        tested = self._parts.record_inconclusive_test(parts, asyncio.get_running_loop().time())
        for report in self._reports_of(tested):
            self._log.write(
                Event.PART_TEST_INCONCLUSIVE,
                part=report.part,
                crashes=report.crashes,
                inconclusive=report.inconclusive,
                request=request,
            )
        self._peers.report_parts(tested)

    def learn(self, sidecar: str, reports: tuple[PartReport, ...]) -> None:
        """Applies the states of parts that a sidecar remembers."""
        if reports:
            self._remembered[sidecar] = reports
            self._peers.merge_parts(reports)
        else:
            self._remembered.pop(sidecar, None)

    def parts_to_remember(self) -> tuple[PartReport, ...]:
        """Returns the states that sidecars have to know, for entries that cannot ask another.

        These are the parts that are known to crash endpoints, and those of which a sidecar
        remembers an older state.
        """
        now = asyncio.get_running_loop().time()
        told = list(self._parts.reports(now, crashing_parts.CRASHES_TO_REMEMBER))
        for reports in self._remembered.values():
            told += self._parts.newer_than(reports, now)
        return tuple({report.part: report for report in told}.values())[-MAX_REMEMBERED_PARTS:]

    def were_answered(self, parts: collections.abc.Sequence[str]) -> bool:
        """Returns whether those of some parts that are suspected were answered before."""
        return self._parts.were_answered(parts, asyncio.get_running_loop().time())

    def allows(self, parts: collections.abc.Sequence[str]) -> bool:
        """Returns whether a request that is no test may be sent, or sent once more."""
        return self._crashes(parts) < crashing_parts.CRASHES_TO_SUSPECT

    def record_crash(
        self,
        parts: collections.abc.Sequence[str],
        placed_in: int,
        endpoint: str,
        request: str,
        regions: Regions = None,
    ) -> None:
        """Records that a request was in progress at an endpoint that died.

        Args:
          placed_in: The revision at the time when it was placed there.
          regions: As in admit.
        """
        now = asyncio.get_running_loop().time()
        changed = self._parts.record_crash(parts, placed_in, endpoint, now)
        self._parts.restrict(parts, regions)
        for report in self._reports_of(changed):
            self._log.write(
                Event.PART_SUSPECTED,
                part=report.part,
                epoch=report.epoch,
                crashes=report.crashes,
                engines=len(report.endpoints),
                endpoint=endpoint,
                request=request,
            )
        self._peers.report_parts(changed)

    def record_answer(self, parts: collections.abc.Sequence[str], request: str) -> None:
        """Records that a request was answered completely."""
        cleared = self._parts.record_answer(parts, asyncio.get_running_loop().time())
        for report in cleared:
            self._log.write(
                Event.PART_CLEARED,
                part=report.part,
                epoch=report.epoch + 1,
                crashes=report.crashes,
                request=request,
            )
        # With one crash nothing is withheld anywhere, and the others clear it by their own answers.
        held = [r.part for r in cleared if r.crashes >= crashing_parts.CRASHES_TO_SUSPECT]
        self._peers.report_parts(held)

    def _crashes(self, parts: collections.abc.Sequence[str]) -> int:
        return self._parts.crashes(parts, asyncio.get_running_loop().time())

    def _reports_of(self, parts: collections.abc.Iterable[str]) -> tuple[PartReport, ...]:
        return self._parts.reports_of(parts, asyncio.get_running_loop().time())
