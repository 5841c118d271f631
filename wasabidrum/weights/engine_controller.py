"""Keeps the engine beside a sidecar at the version that operators have named."""

import asyncio
import contextlib

from ..core.boot_clock import boot_seconds
from ..core.engine_report import EngineReport, PieceList
from ..core.errors import CodedError
from ..decisions.switch_turns import (
    EARLY_DRAIN_SECONDS,
    seconds_until_turn,
    should_drain_early,
    turn_of,
)
from ..decisions.version_choice import VersionChoice
from ..decisions.weights_retirement import WeightsRetirement
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform.engine_client import EngineClient
from ..platform.origin_client import OriginClient
from .distributor import Distributor
from .listed_engines import ListedEngines
from .shared_readings import SharedReadings, VersionReading
from .staged_version import StagedVersion

# How often the engine beside this process is asked; it answers without leaving the instance.
REPORT_SECONDS = 0.15
# Between two tries after a failure: short beside the seconds that a version may take.
PAUSE_SECONDS = 0.3
# What an engine may take after an order, before it is looked at anew: what runs there ends
# first, and a run lasts for some seconds at most.
LOAD_SECONDS = 7.0
MOST_VERIFICATIONS = 5
# For how long staged weights are believed after the reading back began. It is a millisecond or
# so for each piece on the same instance; where it takes longer than this, the process or its
# instance most likely stood still.
FRESH_SECONDS = 2.0
# How often it is looked whether another version is to be brought first.
LOOK_SECONDS = 0.25
# The version on its way, and the one that was set aside for it.
VERSIONS_KNOWN = 2


class EngineController:
    """Owns the orders to one engine; one piece of work at a time.

    Attributes:
      report: The engine's last account of itself, or None while it does not answer.
      switching: An order was given and the engine has not finished it.
      retirement: Until when entries place requests on weights that were replaced.
    """

    def __init__(
        self,
        engine: EngineClient,
        origin: OriginClient,
        distributor: Distributor,
        listed: ListedEngines,
        readings: SharedReadings,
        bound: float,
        log: EventLog,
    ) -> None:
        """Takes the seconds from a version's naming until older ones must not answer."""
        self._engine = engine
        self._origin = origin
        self._distributor = distributor
        self._listed = listed
        self._readings = readings
        self._log = log
        self._bound = bound
        self._staged: dict[int, StagedVersion] = {}
        self._reason = ""
        self._bringing = 0
        self._accepted = 0
        self._awaits_turn = False
        # When the work for a version began, and when something of it moved on last.
        self._begun_at = 0.0
        self._moved_at = 0.0
        self.report: EngineReport | None = None
        self.switching = False
        self.on_report = ignore_report
        self.retirement = WeightsRetirement()
        listed.on_members = self._take_holders
        listed.on_relays = self._take_relays

    async def watch(self) -> None:
        """Reads the engine's report for ever."""
        lost = False
        while True:
            try:
                self.report = await self._engine.report(self._listed.layers)
                if lost:
                    lost = False
                    self._log.write(Event.ENGINE_BACK, weights=self.report.weights)
            except CodedError as error:
                self.report = None
                if not lost:
                    lost = True
                    self._log.write(Event.ENGINE_LOST, reason=str(error)[:200])
            self.on_report()
            await asyncio.sleep(REPORT_SECONDS)

    async def run(self) -> None:
        """Brings each wanted version about, for ever."""
        choice = VersionChoice()
        store = self._distributor.store
        while True:
            version = self._choose(choice)
            self._begun_at = self._moved_at = asyncio.get_running_loop().time()
            work = asyncio.ensure_future(self._keep(version))
            try:
                while not work.done() and self._choose(choice) == version:
                    # Peers may ask for pieces of the newer version, whose list is not here yet.
                    store.undecided = store.undecided or version != self._listed.wanted
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(
                            self._listed.wait_other_than(self._listed.wanted), LOOK_SECONDS
                        )
            finally:
                work.cancel()
                (error,) = await asyncio.gather(work, return_exceptions=True)
                if isinstance(error, Exception):
                    # Whatever went wrong, the engine must not be left with nobody at work.
                    self._tell(version, repr(error))
                # Peers must not wait here for pieces that nobody fetches any more.
                store.expected = set()
                store.wake_all()

    def _choose(self, choice: VersionChoice) -> int:
        staged = self._find_staged(choice.version or 0)
        if staged is None:
            idle = asyncio.get_running_loop().time() - self._begun_at
            return choice.choose(self._listed.wanted, 0.0, idle, complete=False)
        held = self.report.weights if self.report is not None else 0
        complete = staged.version in (self._accepted, held)
        idle = 0.0
        if not self._awaits_turn:
            idle = asyncio.get_running_loop().time() - max(staged.progressed_at, self._moved_at)
        return choice.choose(self._listed.wanted, staged.share, idle, complete)

    async def _keep(self, wanted: int) -> None:
        while True:
            try:
                await self._bring(wanted)
                self._reason = ""
            except* CodedError as errors:
                self._tell(wanted, str(errors.exceptions[0]))
            await asyncio.sleep(PAUSE_SECONDS)

    def _take_holders(self) -> None:
        if self._bringing:
            self._distributor.asker.holders = self._listed.holders(self._bringing)

    def _take_relays(self) -> None:
        self._distributor.asker.relays = frozenset(self._listed.relays)

    def _tell(self, wanted: int, reason: str) -> None:
        if reason != self._reason:
            self._reason = reason
            self._log.write(Event.VERSION_FAILED, version=wanted, reason=reason[:300])

    async def _bring(self, wanted: int) -> None:
        if self.report is None or not self._listed.ready:
            return
        staged = await self._stage_for(wanted)
        version = self._bringing = staged.version
        if self.report is None or self.report.weights == version:
            return
        # After a restart of this process its engine may still load what was ordered before.
        if self.report.busy and not self._accepted:
            return
        # Others leave it out of their plans. What it drew from the origin nobody would ask it
        # for; the origin may go away before anyone else has drawn it.
        if self._listed.leaving:
            return
        self._take_holders()
        if staged.share < 1.0:
            await self._listed.wait_for_relays()
        beside = asyncio.gather(self._end_runs_early(staged), self._retire_old_weights(staged))
        try:
            listed = self._listed
            await staged.bring(listed.region_of, listed.relays, listed.origin_region)
            self._log.write(Event.VERSION_STAGED, version=version, chunks=0)
            await self._wait_for_turn(version)
            if self.report is not None and not self.report.busy:
                await self._order(staged, version)
        finally:
            beside.cancel()
            await asyncio.gather(beside, return_exceptions=True)
            self._set_switching(False)

    async def _end_runs_early(self, staged: StagedVersion) -> None:
        """Has entries place nothing more here shortly before a version is complete."""
        answering = self._listed.answering
        turn = turn_of(staged.version, self._listed.own, answering)
        if not self._listed.named_for(staged.version) or self._listed.own not in answering:
            return
        loop = asyncio.get_running_loop()
        while not should_drain_early(
            turn, len(answering), staged.share, loop.time() - self._begun_at
        ):
            await asyncio.sleep(REPORT_SECONDS)
        self._set_switching(True)
        await asyncio.sleep(2.0 * EARLY_DRAIN_SECONDS)
        # The weights have stalled meanwhile; others may be as badly off.
        if staged.share < 1.0:
            self._set_switching(False)

    async def _retire_old_weights(self, staged: StagedVersion) -> None:
        """Has the engine hold a layer of a version instead of the one that it replaces.

        One layer answers nothing, and is loaded in a moment. Requests for the old weights that are
        still on their way are refused by the engine.
        """
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            report = self.report
            if report is None or report.busy or not 0 < report.weights < staged.version:
                continue
            if not self.retirement.is_due(report.weights, boot_seconds()):
                continue
            layer = staged.complete_layer(self._listed.layers)
            # What is complete is about to be ordered as a whole.
            if layer is None or staged.share >= 1.0:
                continue
            try:
                await self._order_layer(staged, layer)
            except CodedError as error:
                self._tell(staged.version, f"old weights stay: {error}")

    async def _order_layer(self, staged: StagedVersion, layer: int) -> None:
        version = staged.version
        await self._verify(staged, version, staged.pieces_of(layer, self._listed.layers))
        part = range(layer, layer + 1)
        accepted = await self._engine.start(self._listed.model, version, version, part)
        self._log.write(Event.OLD_WEIGHTS_RETIRED, version=version, layer=layer, accepted=accepted)

    def _set_switching(self, switching: bool) -> None:
        if self.switching != switching:
            self.switching = switching
            self.on_report()

    async def _wait_for_turn(self, version: int) -> None:
        """Waits while other engines load a version and this one still answers."""
        if self.report is None or not self.report.weights:
            return
        turn = turn_of(version, self._listed.own, self._listed.answering)
        named_for = self._listed.named_for(version)
        seconds = seconds_until_turn(turn, named_for, self._bound)
        if seconds <= 0.0:
            return
        self._log.write(Event.SWITCH_WAITS, version=version, seconds=round(seconds, 2))
        self._awaits_turn = True
        try:
            await asyncio.sleep(seconds)
        finally:
            self._awaits_turn = False
            # What had to wait has not stalled.
            self._moved_at = asyncio.get_running_loop().time()

    def _find_staged(self, wanted: int) -> StagedVersion | None:
        """Returns what is known of a version; with zero, of the newest."""
        return self._staged.get(wanted or max(self._staged, default=0))

    async def _stage_for(self, wanted: int) -> StagedVersion:
        staged = self._find_staged(wanted)
        if staged is not None:
            return staged
        pieces = await self._read_pieces(wanted)
        staged = StagedVersion(self._engine, self._distributor, pieces)
        adopted = await staged.adopt()
        self._log.write(
            Event.VERSION_WANTED, version=pieces.version, revision=wanted, adopted=adopted
        )
        self._staged[pieces.version] = staged
        for version in sorted(self._staged)[:-VERSIONS_KNOWN]:
            del self._staged[version]
        self._distributor.begin()
        return staged

    async def _read_pieces(self, wanted: int) -> PieceList:
        """Reads a version's list and who else there is, or has it from one that has."""
        self._origin.set_address(*self._listed.origin)
        shared = await self._listed.read_version(wanted)
        if shared is not None:
            self._origin.add_list(shared.pieces)
        else:
            await self._listed.read_members()
            pieces = await self._origin.read_list(self._listed.model, wanted)
            shared = VersionReading(pieces, self._listed.listed)
        await self._readings.keep_version(shared)
        return shared.pieces

    async def _order(self, staged: StagedVersion, version: int) -> None:
        await self._verify(staged, version)
        self._set_switching(True)
        try:
            accepted = await self._engine.start(self._listed.model, version, version)
            self._log.write(Event.ENGINE_ORDERED, version=version, accepted=accepted)
            if accepted:
                self._accepted = version
                await self._wait_in_force(version)
        finally:
            self._set_switching(False)

    async def _verify(
        self, staged: StagedVersion, version: int, numbers: range | None = None
    ) -> None:
        """Reads staged weights back until all are sound, a few times at most.

        Args:
          numbers: Of which pieces; of all where not given.

        Raises:
          CodedError: A piece is lost.
        """
        was_slow = False
        for _ in range(MOST_VERIFICATIONS):
            began = boot_seconds()
            mended = await staged.verify(numbers)
            if mended < 0:
                raise CodedError("piece_lost", "a piece is not held here any more", 503)
            if mended:
                self._log.write(Event.STAGED_PIECES_MENDED, version=version, pieces=mended)
                continue
            # The engine loads what lies there when it takes the order. After a suspension the
            # first pieces were read long ago, and one that turned bad since would be answered
            # from. Slow twice in a row is how fast this engine is read, and no suspension.
            is_slow = boot_seconds() - began > FRESH_SECONDS
            if not is_slow or was_slow:
                return
            was_slow = True

    async def _wait_in_force(self, version: int) -> None:
        loop = asyncio.get_running_loop()
        ends = loop.time() + LOAD_SECONDS
        while loop.time() < ends:
            if self.report is None:
                return
            if self.report.weights == version:
                self._log.write(Event.VERSION_IN_FORCE, version=version)
                return
            await asyncio.sleep(REPORT_SECONDS)


def ignore_report() -> None:
    """Stands where nobody asked to be told of reports."""
