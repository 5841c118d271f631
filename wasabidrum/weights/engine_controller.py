"""Keeps the local engine at the version that operators have named."""

import asyncio
import contextlib

from ..core import waiting
from ..core.boot_clock import boot_seconds
from ..core.engine_report import EngineReport, PieceList
from ..core.errors import CodedError
from ..decisions.switch_turns import (
    EARLY_DRAIN_SECONDS,
    seconds_until_turn,
    should_drain_early,
    turn_of,
)
from ..decisions.version_choice import VersionChoice, can_follow
from ..decisions.version_floor import PLACE_MARGIN_SECONDS
from ..decisions.weights_retirement import WeightsRetirement
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform.engine_client import EngineClient
from ..platform.origin_client import OriginClient
from .distributor import Distributor
from .listed_engines import ListedEngines
from .piece_lists import make_piece_lists
from .shared_readings import LIST_INVALID, SharedReadings, VersionReading
from .staged_version import StagedVersion

# Interval between reports; the engine runs on the same instance.
REPORT_SECONDS = 0.15
# Pause after a failure, short compared with the seconds that a version may take.
PAUSE_SECONDS = 0.3
# How long an engine may take to load after a command before the work starts again. It finishes its
# running requests first, which last some seconds at most.
LOAD_SECONDS = 7.0
MAX_VERIFICATIONS = 5
# Longest verification whose result is trusted. Reading back takes about a millisecond per piece on
# the same instance; if it takes longer than this, the process was most likely suspended meanwhile.
MAX_VERIFY_SECONDS = 2.0
# Interval at which the choice of the version to stage is reconsidered.
CHOICE_SECONDS = 0.25
# A later run of a periodic task shows that the process was suspended or had no processor.
MAX_PAUSE_SECONDS = 0.3
# The version being staged, and the one that was set aside for it.
MAX_STAGED_VERSIONS = 2


class EngineController:
    """Controls one engine; works on one version at a time.

    Attributes:
      report: The engine's latest report, or None while it does not answer.
      switching: Whether the engine is loading a version, or drains because it will do so soon.
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
        """Creates a controller.

        Args:
          bound: Seconds after a version is named until which older versions may serve.
        """
        self._engine = engine
        self._origin = origin
        self._lists = make_piece_lists(origin, log)
        self._distributor = distributor
        self._listed = listed
        self._readings = readings
        self._log = log
        self._bound = bound
        self._staged: dict[int, StagedVersion] = {}
        # See StagedVersion.
        self._staging_area = asyncio.Lock()
        self._engine_up = asyncio.Event()
        # The lists of versions that are not staged yet: prefetched, or corrected.
        self._pieces: dict[int, PieceList] = {}
        self._logged_reason = ""
        self._work: asyncio.Task[None] | None = None
        self._staging_version = 0
        self._accepted = 0
        self._awaits_turn = False
        # When the work for the current version began and when it last made progress.
        self._begun_at = 0.0
        self._progressed_at = 0.0
        self.report: EngineReport | None = None
        self.switching = False
        self.on_report = ignore_report
        self.retirement = WeightsRetirement(bound)
        listed.on_members = self._update_holders
        listed.on_relays = self._update_relays
        listed.on_list = self._update_list
        distributor.on_corrupt_draw = self._correct_list

    async def watch(self) -> None:
        """Polls the engine's report, forever."""
        unreachable = False
        while True:
            try:
                self.report = await self._engine.report(self._listed.layers)
                if unreachable:
                    unreachable = False
                    self._log.write(Event.ENGINE_BACK, weights=self.report.weights)
            except CodedError as error:
                self.report = None
                if not unreachable:
                    unreachable = True
                    self._log.write(Event.ENGINE_LOST, reason=str(error)[:200])
            if self.report is None:
                self._engine_up.clear()
            else:
                self._engine_up.set()
            self.on_report()
            await asyncio.sleep(REPORT_SECONDS)

    async def run(self) -> None:
        """Stages and activates each named version, forever."""
        choice = VersionChoice()
        store = self._distributor.store
        self._restart_progress()
        version = self._choose(choice)
        while True:
            chosen = version
            self._restart_progress()
            work = self._work = asyncio.ensure_future(self._retry_forever(version))
            try:
                while not work.done() and chosen == version:
                    # Peers may request pieces of a newer version, whose list is not known yet.
                    store.chunks_unknown = store.chunks_unknown or version != self._listed.wanted
                    with contextlib.suppress(TimeoutError):
                        await waiting.wait_for(
                            self._listed.wait_for_change(self._listed.wanted), CHOICE_SECONDS
                        )
                    # One choice decides what ends and what begins. Another one would judge the
                    # version that begins by the progress of the one that ends.
                    chosen = self._choose(choice)
            finally:
                work.cancel()
                (error,) = await asyncio.gather(work, return_exceptions=True)
                if isinstance(error, Exception):
                    # Any error is survived; the engine would receive no further version otherwise.
                    self._log_failure(version, repr(error))
                # Peers must not wait here for pieces that are no longer being fetched.
                store.expected = set()
                store.wake_all()
            version = chosen

    async def retire_old_weights(self) -> None:
        """Unloads the weights that no request may begin on any more, forever.

        An engine with a single layer serves no requests. It rejects those for the old weights that
        are still in flight, whatever holds them up on their way.
        """
        while True:
            began = boot_seconds()
            await asyncio.sleep(REPORT_SECONDS)
            paused = boot_seconds() - began - REPORT_SECONDS
            if paused > MAX_PAUSE_SECONDS:
                self._log.write(Event.PROCESS_WOKE_LATE, seconds=round(paused, 3))
            report = self.report
            if report is None or report.busy or not report.weights or not self._listed.ready:
                continue
            replaced_for = self._listed.replaced_for(report.weights)
            model, weights = self._listed.model, report.weights
            if not self.retirement.is_due(model, weights, boot_seconds(), replaced_for):
                continue
            try:
                await self._reduce_to_layer(report)
            except CodedError as error:
                self._log_failure(self._listed.wanted, f"old weights not unloaded: {error}")

    def _restart_progress(self) -> None:
        self._begun_at = self._progressed_at = asyncio.get_running_loop().time()

    def _choose(self, choice: VersionChoice) -> int:
        staged = self._find_staged(choice.version or 0)
        if staged is None:
            idle = asyncio.get_running_loop().time() - self._begun_at
            return choice.choose(self._listed.wanted, 0.0, idle, complete=False)
        held = self.report.weights if self.report is not None else 0
        complete = staged.version in (self._accepted, held)
        idle = 0.0
        if not self._awaits_turn:
            idle = asyncio.get_running_loop().time() - max(
                staged.progressed_at, self._progressed_at
            )
        copy_seconds = staged.byte_count * 8 / (self._distributor.link_mbit * 1e6)
        left = self._bound - PLACE_MARGIN_SECONDS - self._listed.replaced_for(staged.version)
        finish_first = can_follow(staged.share, copy_seconds, left)
        return choice.choose(
            self._listed.wanted, staged.share, idle, complete, finish_first, left <= 0.0
        )

    async def _retry_forever(self, wanted: int) -> None:
        while True:
            try:
                await self._stage_and_load(wanted)
                self._logged_reason = ""
            except* CodedError as errors:
                self._log_failure(wanted, str(errors.exceptions[0]))
            await asyncio.sleep(PAUSE_SECONDS)

    async def _prefetch(self, wanted: int) -> None:
        """Fetches the chunks of a version while the engine is not up yet, as when it is added.

        Only engines of this region that serve the version are asked. The engine may turn out to
        hold it, as after a restart of all processes, when none serves it.
        """
        newest = wanted or max(self._listed.served_versions, default=0)
        holders = self._listed.holders(newest)
        if not holders:
            return
        pieces = self._pieces.get(wanted)
        if pieces is None:
            pieces = self._pieces[wanted] = await self._read_pieces(wanted)
        await self._distributor.prefetch(pieces.digests, holders, lambda: self.report is None)

    def _update_holders(self) -> None:
        if self._staging_version:
            self._distributor.chunk_requester.holders = self._listed.holders(self._staging_version)

    def _update_relays(self) -> None:
        self._distributor.chunk_requester.relays = frozenset(self._listed.relays)

    def _log_failure(self, wanted: int, reason: str) -> None:
        if reason != self._logged_reason:
            self._logged_reason = reason
            self._log.write(Event.VERSION_FAILED, version=wanted, reason=reason[:300])

    async def _stage_and_load(self, wanted: int) -> None:
        if not self._listed.ready:
            return
        if self.report is None:
            await self._prefetch(wanted)
            await self._engine_up.wait()
        staged = await self._get_staged(wanted)
        version = self._staging_version = staged.version
        if self.report is None or self.report.weights == version:
            return
        # After a restart of this process its engine may still be loading an earlier command.
        if self.report.busy and not self._accepted:
            return
        # Peers leave a leaving instance out of their plans and would not request the chunks that it
        # fetched; the origin may fail before another instance has fetched them.
        if self._listed.leaving:
            return
        self._update_holders()
        if staged.share < 1.0:
            await self._listed.wait_for_relays()
        draining = asyncio.ensure_future(self._drain_early(staged))
        try:
            fetched = await self._fetch_missing(staged)
            self._log.write(Event.VERSION_STAGED, version=version, chunks=fetched)
            await self._wait_for_turn(version)
            if self.report is not None and not self.report.busy:
                await self._load(staged, version)
        finally:
            draining.cancel()
            await asyncio.gather(draining, return_exceptions=True)
            self._set_switching(False)

    async def _fetch_missing(self, staged: StagedVersion) -> int:
        """Stages the missing pieces; returns how many. Plans anew once the first relay is known.

        A plan without relays has this sidecar fetch a part from the origin, which may be away.
        """
        if self._listed.relays_known.is_set():
            return await self._fetch_as_planned(staged)
        fetching = asyncio.ensure_future(self._fetch_as_planned(staged))
        relay_found = asyncio.ensure_future(self._listed.relays_known.wait())
        try:
            await asyncio.wait((fetching, relay_found), return_when=asyncio.FIRST_COMPLETED)
            if fetching.done():
                return fetching.result()
        finally:
            fetching.cancel()
            relay_found.cancel()
            await asyncio.gather(fetching, relay_found, return_exceptions=True)
        return await self._fetch_as_planned(staged)

    async def _fetch_as_planned(self, staged: StagedVersion) -> int:
        listed = self._listed
        return await staged.fetch_missing(
            listed.region_of, listed.relays, listed.relay_links, listed.origin_region
        )

    async def _drain_early(self, staged: StagedVersion) -> None:
        """Makes entries stop placing requests here shortly before a version is complete."""
        answering = self._listed.answering
        turn = turn_of(staged.version, self._listed.own_name, answering)
        if not self._listed.named_for(staged.version) or self._listed.own_name not in answering:
            return
        loop = asyncio.get_running_loop()
        share_before = staged.share
        while not should_drain_early(
            turn,
            len(answering),
            staged.share,
            loop.time() - self._begun_at,
            share_before,
            self._listed.relays_hold(staged.version),
        ):
            await asyncio.sleep(REPORT_SECONDS)
        self._set_switching(True)
        await asyncio.sleep(2.0 * EARLY_DRAIN_SECONDS)
        # The download has stalled and may have stalled on other engines too, so this engine accepts
        # requests again.
        if staged.share < 1.0:
            self._set_switching(False)

    async def _reduce_to_layer(self, report: EngineReport) -> None:
        """Orders the engine to hold one layer only.

        It is a layer of the version that is being staged if one is complete, because the others
        then load beside it. If none is, the engine keeps one that it has, for which it needs
        nothing that still has to arrive.
        """
        async with self._staging_area:
            staged = self._find_staged(self._staging_version)
            version, layer = report.weights, 0
            if staged is not None and staged.version > report.weights and staged.share < 1.0:
                complete = staged.complete_layer(self._listed.layers)
                if complete is not None:
                    version, layer = staged.version, complete
                    numbers = staged.pieces_of(layer, self._listed.layers)
                    await self._verify(staged, version, numbers)
            # The number of orders keeps this one from undoing a load that was ordered meanwhile.
            accepted = await self._engine.start(
                self._listed.model,
                version,
                max(version, self._staging_version),
                range(layer, layer + 1),
                report.orders,
            )
        self._log.write(
            Event.OLD_WEIGHTS_RETIRED,
            weights=report.weights,
            version=version,
            layer=layer,
            accepted=accepted,
            running=report.running,
            queued=report.queued,
            replaced_for=round(self._listed.replaced_for(report.weights), 3),
        )

    def _set_switching(self, switching: bool) -> None:
        if self.switching != switching:
            self.switching = switching
            self.on_report()

    async def _wait_for_turn(self, version: int) -> None:
        """Waits for this engine's turn to load, while it still serves and others load."""
        if self.report is None or not self.report.weights:
            return
        turn = turn_of(version, self._listed.own_name, self._listed.answering)
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
            # The time spent waiting does not count as a stall.
            self._progressed_at = asyncio.get_running_loop().time()

    def _find_staged(self, wanted: int) -> StagedVersion | None:
        """Returns the staging state of a version, or of the newest one if zero is given."""
        return self._staged.get(wanted or max(self._staged, default=0))

    async def _get_staged(self, wanted: int) -> StagedVersion:
        staged = self._find_staged(wanted)
        if staged is not None:
            return staged
        pieces = self._pieces.pop(wanted, None) or await self._read_pieces(wanted)
        staged = StagedVersion(self._engine, self._distributor, pieces, self._staging_area)
        adopted = await staged.adopt()
        self._log.write(
            Event.VERSION_WANTED, version=pieces.version, revision=wanted, adopted=adopted
        )
        self._staged[pieces.version] = staged
        for version in sorted(self._staged)[:-MAX_STAGED_VERSIONS]:
            del self._staged[version]
        self._distributor.begin_version()
        return staged

    async def _read_pieces(self, wanted: int) -> PieceList:
        """Reads a version's piece list and the members, from a peer that has read them if any."""
        self._origin.set_address(*self._listed.origin)
        shared = await self._listed.read_version(wanted)
        if shared is not None:
            self._origin.add_list(shared.pieces)
        else:
            await self._listed.read_members()
            try:
                pieces = await self._lists.read(self._readings.setting, wanted)
            except CodedError as error:
                if error.code == LIST_INVALID:
                    # What is published may have changed since this process read it.
                    await self._listed.refresh_setting()
                raise
            shared = VersionReading(pieces, self._listed.listed)
        await self._readings.keep_version(shared)
        return shared.pieces

    async def _correct_list(self, digest: str, actual: str) -> None:
        """Corrects the list of pieces, if that is why a piece from the origin does not match it.

        Raises:
          CodedError: The list was corrected, so that the download has to begin anew.
        """
        store = self._distributor.store

        def find_known() -> PieceList | None:
            staged = self._staged.get(self._staging_version)
            return staged.pieces if staged is not None else None

        corrected = await self._lists.correct(
            find_known, self._readings.setting, digest, actual, lambda d: store.get(d) is not None
        )
        if corrected is None:
            return
        await self._replace_list(corrected)
        raise CodedError("list_corrected", "the list of pieces was corrected", 503)

    async def _update_list(self, version: int, corrections: int) -> None:
        """Replaces the list by that of a relay which has corrected it more often."""
        staged = self._staged.get(version)
        if staged is None or staged.share >= 1.0 or corrections <= staged.pieces.corrections:
            return
        reading = await self._listed.read_version(version)
        if reading is None or reading.pieces.corrections <= staged.pieces.corrections:
            return
        self._origin.add_list(reading.pieces)
        await self._replace_list(reading.pieces)
        if self._work is not None and version == self._staging_version:
            self._work.cancel()

    async def _replace_list(self, pieces: PieceList) -> None:
        """Replaces the list of a version; what is staged of it is compared anew."""
        replaced = self._staged.pop(pieces.version, None)
        self._pieces[pieces.version] = pieces
        if not self._listed.wanted:
            self._pieces[0] = pieces
        if replaced is not None:
            withdrawn = set(replaced.pieces.digests) - set(pieces.digests)
            self._distributor.store.withdraw(withdrawn)
        await self._readings.keep_version(VersionReading(pieces, self._listed.listed))

    async def _load(self, staged: StagedVersion, version: int) -> None:
        try:
            async with self._staging_area:
                await self._verify(staged, version)
                self._set_switching(True)
                accepted = await self._engine.start(self._listed.model, version, version)
            self._log.write(Event.ENGINE_ORDERED, version=version, accepted=accepted)
            if accepted:
                self._accepted = version
                await self._wait_until_loaded(version)
        finally:
            self._set_switching(False)

    async def _verify(
        self, staged: StagedVersion, version: int, numbers: range | None = None
    ) -> None:
        """Verifies staged pieces repeatedly until all are intact, a limited number of times.

        Args:
          numbers: The pieces to verify; None for all.

        Raises:
          CodedError: A piece must be rewritten and the store does not hold it.
        """
        was_slow = False
        for _ in range(MAX_VERIFICATIONS):
            began = boot_seconds()
            rewritten = await staged.verify(numbers)
            if rewritten < 0:
                raise CodedError("piece_lost", "a staged piece is bad and not in the store", 503)
            if rewritten:
                self._log.write(Event.STAGED_PIECES_MENDED, version=version, pieces=rewritten)
                continue
            # The engine loads whatever is staged when it accepts the command. After a suspension
            # the first pieces were verified long ago, and one that became corrupt since would be
            # served from. If verification is slow twice in a row, this engine is slow to read.
            is_slow = boot_seconds() - began > MAX_VERIFY_SECONDS
            if not is_slow or was_slow:
                return
            was_slow = True

    async def _wait_until_loaded(self, version: int) -> None:
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
    """Default callback that does nothing."""
