"""Keeps the engine beside a sidecar at the version that operators have named."""

import asyncio

from ..core.awake_clock import awake_seconds
from ..core.engine_report import EngineReport, PieceList
from ..core.errors import CodedError
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
# How long a sidecar that knows no relay waits for one before it plans without; entries open their
# streams to it within half a second of its start.
RELAYS_SECONDS = 1.0


class EngineKeeper:
    """Owns the orders to one engine; one piece of work at a time.

    Attributes:
      report: The engine's last account of itself, or None while it does not answer.
      switching: An order was given and the engine has not finished it.
    """

    def __init__(
        self,
        engine: EngineClient,
        origin: OriginClient,
        distributor: Distributor,
        listed: ListedEngines,
        readings: SharedReadings,
        log: EventLog,
    ) -> None:
        self._engine = engine
        self._origin = origin
        self._distributor = distributor
        self._listed = listed
        self._readings = readings
        self._log = log
        self._staged: dict[int, StagedVersion] = {}
        self._reason = ""
        self.report: EngineReport | None = None
        self.switching = False
        self.on_report = ignore_report
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
        while True:
            wanted = self._listed.wanted
            work = asyncio.ensure_future(self._keep(wanted))
            changed = asyncio.ensure_future(self._listed.wait_other_than(wanted))
            try:
                await asyncio.wait((work, changed), return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in (work, changed):
                    task.cancel()
                await asyncio.gather(work, changed, return_exceptions=True)
                # Peers must not wait here for pieces that nobody fetches any more.
                self._distributor.store.expected = set()
                self._distributor.store.wake_all()

    async def _keep(self, wanted: int) -> None:
        while True:
            try:
                await self._bring(wanted)
                self._reason = ""
            except* CodedError as errors:
                self._tell(wanted, str(errors.exceptions[0]))
            await asyncio.sleep(PAUSE_SECONDS)

    def _take_holders(self) -> None:
        if self._staged:
            self._distributor.asker.holders = self._listed.holders(max(self._staged))

    def _take_relays(self) -> None:
        self._distributor.asker.relays = frozenset(self._listed.relays)

    def _tell(self, wanted: int, reason: str) -> None:
        if reason != self._reason:
            self._reason = reason
            self._log.write(Event.VERSION_FAILED, version=wanted, reason=reason[:300])

    async def _bring(self, wanted: int) -> None:
        report = self.report
        if report is None or not self._listed.ready:
            return
        staged = await self._stage_for(wanted)
        version = max(self._staged)
        if report.weights == version or report.busy:
            return
        # Others leave it out of their plans. What it drew from the origin nobody would ask it
        # for; the origin may go away before anyone else has drawn it.
        if self._listed.leaving:
            return
        self._take_holders()
        # Every region draws its part. Drawn by one region only, a copy takes twice as long to
        # leave the origin, which may be gone by then; it costs two thirds of a copy more on the
        # thin links.
        await staged.bring(self._listed.region_of, self._listed.relays)
        self._log.write(Event.VERSION_STAGED, version=version, chunks=0)
        await self._order(staged, version)

    async def _stage_for(self, wanted: int) -> StagedVersion:
        if wanted and wanted in self._staged:
            return self._staged[wanted]
        if not wanted and self._staged:
            return self._staged[max(self._staged)]
        await self._listed.wait_for_relays(RELAYS_SECONDS)
        pieces = await self._read_pieces(wanted)
        staged = StagedVersion(self._engine, self._distributor, pieces)
        adopted = await staged.adopt()
        self._log.write(
            Event.VERSION_WANTED, version=pieces.version, revision=wanted, adopted=adopted
        )
        self._staged = {pieces.version: staged}
        self._distributor.begin()
        return staged

    async def _read_pieces(self, wanted: int) -> PieceList:
        """Reads a version's list and who else there is, or has it from one that has."""
        self._origin.set_address(*self._listed.origin)
        shared = await self._listed.read_version(wanted)
        if shared is not None:
            self._origin.take_list(shared.pieces)
        else:
            await self._listed.read_members()
            pieces = await self._origin.read_list(self._listed.model, wanted)
            shared = VersionReading(pieces, self._listed.listed)
        await self._readings.keep_version(shared)
        return shared.pieces

    async def _order(self, staged: StagedVersion, version: int) -> None:
        await self._verify(staged, version)
        self.switching = True
        self.on_report()
        try:
            accepted = await self._engine.start(self._listed.model, version, version)
            self._log.write(Event.ENGINE_ORDERED, version=version, accepted=accepted)
            if accepted:
                await self._wait_in_force(version)
        finally:
            self.switching = False
            self.on_report()

    async def _verify(self, staged: StagedVersion, version: int) -> None:
        """Reads staged weights back until all are sound, a few times at most.

        Raises:
          CodedError: A piece is lost.
        """
        was_slow = False
        for _ in range(MOST_VERIFICATIONS):
            began = awake_seconds()
            mended = await staged.verify()
            if mended < 0:
                raise CodedError("piece_lost", "a piece is not held here any more", 503)
            if mended:
                self._log.write(Event.STAGED_PIECES_MENDED, version=version, pieces=mended)
                continue
            # The engine loads what lies there when it takes the order. After a suspension the
            # first pieces were read long ago, and one that turned bad since would be answered
            # from. Slow twice in a row is how fast this engine is read, and no suspension.
            is_slow = awake_seconds() - began > FRESH_SECONDS
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
