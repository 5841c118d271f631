"""Caches the newest weights at an entry and serves them to the sidecars of its region.

Load pattern: a version is published, and every sidecar fetches it at once over a link that can
carry two copies before the version's deadline. If sidecars served each other, each would also send
about one copy over the same link, and all would wait for the busiest; an engine that is added or
restarted would load its neighbours' links again. Entries have far wider links. So the entries of a
region fetch one copy between them, by the same plan that sidecars use among themselves, and each
sidecar fetches it from them at the full rate of its own link.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from tornado import httpclient

from ..config.deployment import Deployment
from ..core.engine_report import PieceList
from ..core.errors import CodedError
from ..core.fleet import LinkSpec
from ..core.manifest import manifest_of
from ..core.published import PublishedConfiguration
from ..decisions.chunk_plan import ChunkPlan
from ..decisions.endpoint_registry import EndpointRegistry
from ..decisions.version_choice import VersionChoice, can_follow
from ..decisions.version_floor import PLACE_MARGIN_SECONDS
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.member_view import MemberView
from ..platform.origin_client import make_origin_client
from .chunk_routes import make_chunk_routes
from .deployed_settings import CHUNK_MEMORY_BYTES, distribution_settings
from .distributor import Distributor
from .listed_engines import find_setting
from .origin_fetcher import OriginFetcher
from .piece_lists import make_piece_lists
from .relay_members import RelayMembers
from .shared_readings import (
    MAX_PEERS_QUERIED,
    EngineSetting,
    SharedReadings,
    VersionReading,
    readers_before,
)
from .version_download import VersionDownload

# The fraction of an entry's link that weights may use while it serves callers.
LINK_FRACTION = 0.5
# Number of relays in a region that hold each chunk: the second serves it if the first is down.
HOLDERS_PER_CHUNK = 2
# Limit for one version; the previous version stays in memory until the newer one is active.
MAX_HELD_BYTES = CHUNK_MEMORY_BYTES // 2
POLL_SECONDS = 0.1
PAUSE_SECONDS = 0.3
# How often a relay whose share is complete recomputes it from the current members.
REPLAN_SECONDS = 2.0


class RelayState(typing.Protocol):
    """The platform state that a relay reads."""

    @property
    def configuration(self) -> PublishedConfiguration | None:
        """The active configuration, or None before the first one is read."""

    @property
    def endpoints(self) -> EndpointRegistry:
        """The endpoints that are registered."""

    def newest_version(self, model: str) -> int:
        """Returns the newest published version of a model, or zero if there is none."""

    def newest_seconds(self, model: str) -> float:
        """Returns the seconds since the newest version of a model was published; zero if none."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayTarget:
    """The weights that a relay is to hold.

    Attributes:
      version: Zero, while no version has been published, for the one that the origin has.
    """

    service: str
    setting: EngineSetting
    version: int


@dataclasses.dataclass(slots=True)
class RelayProgress:
    """Progress of the work for one target.

    Attributes:
      progressed_at: When the last chunk arrived, or the work began, by the event loop's clock.
      begun_at: When the work began.
      digests: The chunks that this relay is to hold; empty before they are known.
      held: The number of them that are in the store.
      complete: Whether all of them have been in the store.
    """

    progressed_at: float
    begun_at: float = 0.0
    digests: tuple[str, ...] = ()
    held: int = 0
    complete: bool = False


class WeightsRelay:
    """Runs an entry's part in the distribution of one service's weights."""

    def __init__(
        self,
        deployment: Deployment,
        client: httpclient.AsyncHTTPClient,
        state: RelayState,
        find_relays: collections.abc.Callable[[], dict[str, str]],
        find_links: collections.abc.Callable[[], dict[str, float]],
        in_progress: collections.abc.Callable[[], int],
        log: EventLog,
    ) -> None:
        """Creates a relay.

        Args:
          find_relays: Returns the data centres of all relays by name.
          find_links: Returns the rates of their links in megabits per second, as far as known.
          in_progress: Returns the number of requests in progress at this entry.
        """
        self._deployment = deployment
        self._state = state
        self._find_relays = find_relays
        self._find_links = find_links
        self._log = log
        self._origin = make_origin_client(client)
        self._lists = make_piece_lists(self._origin, log)
        self._members = RelayMembers(deployment.region_of, deployment.first_port)
        self._readings = SharedReadings(client, log)
        self._readings.list_members = lambda: self._members.listed
        self._distributor = Distributor(
            distribution_settings(deployment, "entry"),
            self._members,
            client,
            OriginFetcher([self._origin]),
            in_progress,
            log,
        )
        self._distributor.learns_versions_late = True
        self._distributor.on_corrupt_draw = self._correct_list
        self._distributor.pacer.links = LinkSpec(weights_fraction_instance=LINK_FRACTION)
        self._pieces: PieceList | None = None
        # The list of a version that was named while an older one is still being fetched.
        self._next_pieces: PieceList | None = None
        self._next_reading: asyncio.Task[None] | None = None
        self._progress = RelayProgress(0.0)
        # When a version newer than the current one was named; None if none was.
        self._replaced_at: float | None = None
        # The inputs from which the members were last computed.
        self._members_inputs: tuple[object, ...] = ()

    @property
    def held_version(self) -> int:
        """The version of which this relay holds its complete share; zero if none."""
        return self._pieces.version if self._pieces is not None and self._progress.complete else 0

    @property
    def routes(self) -> list[tuple]:
        """The routes that sidecars and other relays request."""
        return make_chunk_routes(self._distributor, self._readings)

    async def run(self) -> None:
        """Keeps this relay's share of the newest version in memory, forever."""
        target: RelayTarget | None = None
        work: asyncio.Task[None] | None = None
        choice = VersionChoice(may_resume=False)
        try:
            while True:
                current = self._find_target(choice)
                if current is not None:
                    self._update_members(current.service)
                    self._read_next_list(current)
                if current != target or (work is not None and work.done()):
                    target = current
                    await self._cancel_work(work)
                    now = asyncio.get_running_loop().time()
                    self._progress = RelayProgress(now, now)
                    work = asyncio.ensure_future(self._retry_forever(current)) if current else None
                await asyncio.sleep(POLL_SECONDS)
        finally:
            if self._next_reading is not None:
                self._next_reading.cancel()
            await self._cancel_work(work)

    def _read_next_list(self, current: RelayTarget) -> None:
        """Reads the list of a newer version while the current one is being fetched.

        The origin may be gone by the time that the current one is complete. Its chunks are then
        fetched as soon as it is back, without a list to be read first. Only the first reader of
        each region does so, because the list takes the origin's link as well.
        """
        newest = self._state.newest_version(current.setting.model)
        known = max((p.version for p in (self._pieces, self._next_pieces) if p), default=0)
        reading = self._next_reading is not None and not self._next_reading.done()
        if not current.version or newest <= max(current.version, known) or reading:
            return
        if not self._readers_before(current, newest):
            self._next_reading = asyncio.ensure_future(self._read_next_pieces(current, newest))

    async def _read_next_pieces(self, current: RelayTarget, version: int) -> None:
        try:
            self._next_pieces = await self._lists.read(current.setting, version)
        except CodedError as error:
            # It is read again when the version becomes the current one.
            self._log.write(Event.VERSION_FAILED, version=version, reason=str(error)[:300])
            await asyncio.sleep(PAUSE_SECONDS)

    async def _cancel_work(self, work: asyncio.Task[None] | None) -> None:
        if work is not None:
            work.cancel()
            (error,) = await asyncio.gather(work, return_exceptions=True)
            if isinstance(error, Exception):
                self._log.write(Event.TASK_FAILED, task="weights", reason=repr(error)[:500])
        # Until the next version's piece list is known, any chunk may belong to it.
        store = self._distributor.store
        store.chunks_unknown = True
        store.expected = set()
        store.wake_all()

    def _find_target(self, choice: VersionChoice) -> RelayTarget | None:
        configuration = self._state.configuration
        for service in configuration.services if configuration is not None else ():
            setting = find_setting(configuration, service.name)
            if setting is not None:
                newest = self._state.newest_version(setting.model)
                named_for = self._state.newest_seconds(setting.model)
                version = self._choose(choice, newest, named_for)
                # Sidecars may request pieces of the newer version, whose list is not known yet.
                if version != newest:
                    self._distributor.store.chunks_unknown = True
                return RelayTarget(service.name, setting, version)
        return None

    def _choose(self, choice: VersionChoice, newest: int, named_for: float) -> int:
        progress, store = self._progress, self._distributor.store
        now = asyncio.get_running_loop().time()
        held = sum(store.get(digest) is not None for digest in progress.digests)
        if held > progress.held:
            progress.held = held
            progress.progressed_at = now
        complete = progress.complete or (bool(progress.digests) and held == len(progress.digests))
        share = held / max(1, len(progress.digests))
        # Requests may be placed on the current version until the first newer one binds.
        replaced = bool(choice.version) and newest > choice.version
        if not replaced:
            self._replaced_at = None
        elif self._replaced_at is None:
            self._replaced_at = now - named_for
        finish_first = False
        if self._replaced_at is not None and share:
            bound = self._deployment.bounds.version - PLACE_MARGIN_SECONDS
            copy_seconds = (now - progress.begun_at) / share
            finish_first = can_follow(share, copy_seconds, bound - (now - self._replaced_at))
        return choice.choose(newest, share, now - progress.progressed_at, complete, finish_first)

    def _update_members(self, service: str) -> None:
        """Updates members and relays if they have changed since the last call."""
        registry, relays = self._state.endpoints, self._find_relays()
        known = (service, registry.version, relays)
        if known == self._members_inputs:
            return
        self._members_inputs = known
        self._members.update((e for e in registry.endpoints if e.service == service), relays)
        self._distributor.chunk_requester.relays = frozenset(relays)
        self._update_holders()

    def _update_holders(self) -> None:
        """Applies which sidecars are listed with the version that this relay fetches.

        Once all processes have started again, the list names the engines as they were before until
        they have registered anew.
        """
        if self._pieces is not None:
            holders = self._members.holders(self._pieces.version, self._deployment.region)
            self._distributor.chunk_requester.holders = holders
            self._distributor.active_elsewhere = bool(holders)

    async def _retry_forever(self, target: RelayTarget) -> None:
        self._readings.named_for = lambda: self._state.newest_seconds(target.setting.model)
        await self._readings.keep_setting(target.setting)
        self._distributor.begin_version()
        reason = ""
        while True:
            pause = PAUSE_SECONDS
            try:
                await self._fetch_share(target)
                pause = REPLAN_SECONDS
            except* CodedError as errors:
                if reason != (reason := str(errors.exceptions[0])):
                    self._log.write(
                        Event.VERSION_FAILED, version=target.version, reason=reason[:300]
                    )
            await asyncio.sleep(pause)

    async def _fetch_share(self, target: RelayTarget) -> None:
        pieces = await self._read_pieces(target)
        region, name = self._deployment.region, self._deployment.host
        self._update_holders()
        manifest = manifest_of(pieces)
        origin_region = self._deployment.region_of.get(target.setting.origin_data_centre, "")
        members = self._members
        plan = ChunkPlan(
            pieces.order_subject,
            pieces.digests,
            members.region_of,
            origin_region,
            members.relays,
            self._find_links(),
        )
        store = self._distributor.store
        own = chunks_to_hold(plan, region, name, MAX_HELD_BYTES // max(1, pieces.piece_bytes))
        self._progress.digests = tuple(pieces.digests[index] for index in own)
        missing = [index for index in own if store.get(pieces.digests[index]) is None]
        self._progress.complete = not missing
        store.set_wanted(pieces.digests)
        if not missing:
            store.chunks_unknown = False
            return
        self._distributor.share_link(plan)
        download = VersionDownload(
            self._distributor, plan, manifest, missing, ignore_chunk, origin_first=False
        )
        await download.run_in_own_task()
        self._progress.complete = True
        self._log.write(Event.VERSION_RELAYED, version=pieces.version, chunks=len(missing))

    async def _read_pieces(self, target: RelayTarget) -> PieceList:
        known = self._pieces
        wanted = target.version
        same_model = known is not None and known.model == target.setting.model
        if same_model and wanted in (0, known.version):
            return known
        self._origin.set_address(target.setting.origin_host, target.setting.origin_port)
        following = self._next_pieces
        if following is not None and following.version == wanted:
            return await self._keep_pieces(following, wanted)
        own, members = self._deployment, self._members.members
        first_peers = self._readers_before(target, wanted)
        pieces = await self._request_pieces(first_peers, wanted)
        if pieces is None:
            try:
                pieces = await self._lists.read(target.setting, wanted)
            except CodedError:
                # Sidecars may know the list too, and the origin may be down for a long time.
                near = [m for m in members if m.instance.region == own.region]
                others = [m for m in near if m.name != own.host and m not in first_peers]
                pieces = await self._request_pieces(others[:MAX_PEERS_QUERIED], wanted)
                if pieces is None:
                    raise
        return await self._keep_pieces(pieces, wanted)

    async def _correct_list(self, digest: str, actual: str) -> None:
        """Corrects the list of pieces, if that is why a piece from the origin does not match it.

        Raises:
          CodedError: The list was corrected, so that the download has to begin anew.
        """
        store, setting = self._distributor.store, self._readings.setting
        known = self._pieces
        corrected = await self._lists.correct(
            lambda: self._pieces, setting, digest, actual, lambda d: store.get(d) is not None
        )
        if corrected is None:
            return
        self._pieces = corrected
        store.withdraw(set(known.digests) - set(corrected.digests))
        await self._readings.keep_version(VersionReading(corrected))
        raise CodedError("list_corrected", "the list of pieces was corrected", 503)

    def _readers_before(self, target: RelayTarget, version: int) -> list[MemberView]:
        own, members = self._deployment, self._members
        subject = f"{target.setting.model}/{version}"
        return readers_before(subject, own.host, own.region, members.members, members.relays)

    async def _keep_pieces(self, pieces: PieceList, wanted: int) -> PieceList:
        self._pieces = pieces
        await self._readings.keep_version(VersionReading(pieces))
        self._log.write(Event.VERSION_WANTED, version=pieces.version, revision=wanted, adopted=0)
        return pieces

    async def _request_pieces(self, peers: list[MemberView], wanted: int) -> PieceList | None:
        shared = await self._readings.request_version(peers, wanted)
        if shared is None:
            return None
        self._origin.add_list(shared.pieces)
        return shared.pieces


def chunks_to_hold(plan: ChunkPlan, region: str, name: str, limit: int) -> list[int]:
    """Returns the indexes of the chunks that a relay is to hold.

    Args:
      limit: How many fit into its memory; sidecars fetch the rest themselves.
    """
    own = plan.regions.get(region)
    if own is None:
        return []
    indexes = range(plan.chunk_count)
    return [i for i in indexes if name in own.order(i)[:HOLDERS_PER_CHUNK]][:limit]


async def ignore_chunk(index: int, content: bytes) -> None:
    """Does nothing with a delivered chunk, because the store holds it already."""


def make_weights_relay(
    deployment: Deployment,
    client: httpclient.AsyncHTTPClient,
    state: RelayState,
    find_relays: collections.abc.Callable[[], dict[str, str]],
    find_links: collections.abc.Callable[[], dict[str, float]],
    in_progress: collections.abc.Callable[[], int],
    log: EventLog,
) -> WeightsRelay:
    """Returns a relay that is not running yet; see WeightsRelay."""
    return WeightsRelay(deployment, client, state, find_relays, find_links, in_progress, log)
