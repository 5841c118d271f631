"""Holds the newest weights at an entry and gives them to the sidecars of its region.

Load pattern: a version is named, and every sidecar wants it at once over a link that carries two
copies in the time that the version has. Where sidecars pass it on to each other, each also sends
about one copy over the same link, and all wait for the busiest; an engine that is added or
restarted takes that link from its neighbours again. Entries have far wider links. So the entries
of a region bring one copy in, by the plan that sidecars have among themselves, and each sidecar
takes it from them at the full rate of its own link.
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
from ..core.manifest import manifest_of, root_of
from ..core.published import PublishedConfiguration
from ..decisions.chunk_plan import ChunkPlan
from ..decisions.endpoint_registry import EndpointRegistry
from ..decisions.version_choice import VersionChoice
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.member_view import MemberView
from ..platform.origin_client import make_origin_client
from .chunk_routes import make_chunk_routes
from .deployed_settings import CHUNK_MEMORY_BYTES, distribution_settings
from .distributor import Distributor
from .listed_engines import find_setting
from .origin_draw import OriginDraw
from .relay_members import RelayMembers
from .shared_readings import (
    MOST_ASKED,
    EngineSetting,
    SharedReadings,
    VersionReading,
    first_readers,
)
from .version_download import VersionDownload

# The part of an entry's link that weights may take while it serves callers.
LINK_FRACTION = 0.5
# How many relays of a region hold each chunk: one serves it, the other where that one is gone.
HOLDERS_OF_CHUNK = 2
# Of one version; the version before stays beside it until the newer one is in force.
MOST_HELD_BYTES = CHUNK_MEMORY_BYTES // 2
LOOK_SECONDS = 0.1
PAUSE_SECONDS = 0.3
# How often a relay that holds its part checks it against who else there is.
REPLAN_SECONDS = 2.0


class RelayState(typing.Protocol):
    """What a relay needs to know of the platform."""

    @property
    def configuration(self) -> PublishedConfiguration | None:
        """The configuration in force, or None before the first."""

    @property
    def endpoints(self) -> EndpointRegistry:
        """The endpoints that are registered."""

    def newest_version(self, model: str) -> int:
        """Returns the newest version named of a model; zero where none was."""

    def newest_seconds(self, model: str) -> float:
        """Returns for how long the newest version of a model has been wanted; zero if none is."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayTarget:
    """The weights that a relay is to hold.

    Attributes:
      version: Zero for whichever the origin has, as long as none was named.
    """

    service: str
    setting: EngineSetting
    version: int


@dataclasses.dataclass(slots=True)
class RelayEffort:
    """How far the work for one target has come.

    Attributes:
      progressed_at: When a chunk came last, or the work began, by the event loop's clock.
      digests: The chunks that this relay is to hold; empty before they are known.
      held: How many of them are here.
      complete: All of them have been here.
    """

    progressed_at: float
    digests: tuple[str, ...] = ()
    held: int = 0
    complete: bool = False


class WeightsRelay:
    """Owns an entry's part in the distribution of one service's weights."""

    def __init__(
        self,
        deployment: Deployment,
        client: httpclient.AsyncHTTPClient,
        state: RelayState,
        find_relays: collections.abc.Callable[[], dict[str, str]],
        in_progress: collections.abc.Callable[[], int],
        log: EventLog,
    ) -> None:
        """Takes whom to ask for the data centres of all relays, and for requests in progress."""
        self._deployment = deployment
        self._state = state
        self._find_relays = find_relays
        self._log = log
        self._origin = make_origin_client(client)
        self._members = RelayMembers(deployment.region_of, deployment.first_port)
        self._readings = SharedReadings(client, log)
        self._readings.list_members = lambda: self._members.listed
        self._distributor = Distributor(
            distribution_settings(deployment, "entry"),
            self._members,
            client,
            OriginDraw([self._origin]),
            in_progress,
            log,
        )
        self._distributor.hears_late = True
        self._distributor.pacer.links = LinkSpec(weights_fraction_instance=LINK_FRACTION)
        self._pieces: PieceList | None = None
        self._effort = RelayEffort(0.0)
        # What the members were last taken from.
        self._members_for: tuple[object, ...] = ()

    @property
    def held_version(self) -> int:
        """The version of which this relay holds its part; zero while there is none."""
        return self._pieces.version if self._pieces is not None and self._effort.complete else 0

    @property
    def routes(self) -> list[tuple]:
        """What sidecars and other relays ask for."""
        return make_chunk_routes(self._distributor, self._readings)

    async def run(self) -> None:
        """Holds what is wanted, for ever."""
        target: RelayTarget | None = None
        work: asyncio.Task[None] | None = None
        choice = VersionChoice(may_resume=False)
        try:
            while True:
                found = self._find_target(choice)
                if found is not None:
                    self._update_members(found.service)
                if found != target or (work is not None and work.done()):
                    target = found
                    await self._end(work)
                    self._effort = RelayEffort(asyncio.get_running_loop().time())
                    work = asyncio.ensure_future(self._keep(found)) if found else None
                await asyncio.sleep(LOOK_SECONDS)
        finally:
            await self._end(work)

    async def _end(self, work: asyncio.Task[None] | None) -> None:
        if work is not None:
            work.cancel()
            (error,) = await asyncio.gather(work, return_exceptions=True)
            if isinstance(error, Exception):
                self._log.write(Event.TASK_FAILED, task="weights", reason=repr(error)[:500])
        # Until its pieces are known, any chunk may belong to the version that comes next.
        store = self._distributor.store
        store.undecided = True
        store.expected = set()
        store.wake_all()

    def _find_target(self, choice: VersionChoice) -> RelayTarget | None:
        configuration = self._state.configuration
        for service in configuration.services if configuration is not None else ():
            setting = find_setting(configuration, service.name)
            if setting is not None:
                newest = self._state.newest_version(setting.model)
                version = self._choose(choice, newest)
                # Sidecars may ask for pieces of the newer version, whose list is not here yet.
                if version != newest:
                    self._distributor.store.undecided = True
                return RelayTarget(service.name, setting, version)
        return None

    def _choose(self, choice: VersionChoice, newest: int) -> int:
        effort, store = self._effort, self._distributor.store
        now = asyncio.get_running_loop().time()
        held = sum(store.get(digest) is not None for digest in effort.digests)
        if held > effort.held:
            effort.held = held
            effort.progressed_at = now
        complete = effort.complete or (bool(effort.digests) and held == len(effort.digests))
        share = held / max(1, len(effort.digests))
        return choice.choose(newest, share, now - effort.progressed_at, complete)

    def _update_members(self, service: str) -> None:
        """Takes who else there is, where that has changed since it was last looked at."""
        book, relays = self._state.endpoints, self._find_relays()
        known = (service, book.version, relays)
        if known == self._members_for:
            return
        self._members_for = known
        self._members.update((e for e in book.endpoints if e.service == service), relays)
        self._distributor.asker.relays = frozenset(relays)

    async def _keep(self, target: RelayTarget) -> None:
        self._readings.named_for = lambda: self._state.newest_seconds(target.setting.model)
        await self._readings.keep_setting(target.setting)
        self._distributor.begin()
        reason = ""
        while True:
            pause = PAUSE_SECONDS
            try:
                await self._bring(target)
                pause = REPLAN_SECONDS
            except* CodedError as errors:
                if reason != (reason := str(errors.exceptions[0])):
                    self._log.write(
                        Event.VERSION_FAILED, version=target.version, reason=reason[:300]
                    )
            await asyncio.sleep(pause)

    async def _bring(self, target: RelayTarget) -> None:
        pieces = await self._read_pieces(target)
        region, name = self._deployment.region, self._deployment.host
        self._distributor.asker.holders = self._members.holders(pieces.version, region)
        self._distributor.spread = bool(self._distributor.asker.holders)
        manifest = manifest_of(pieces)
        origin_region = self._deployment.region_of.get(target.setting.origin_data_centre, "")
        members = self._members
        plan = ChunkPlan(
            root_of(manifest), pieces.digests, members.region_of, origin_region, members.relays
        )
        store = self._distributor.store
        own = own_chunks(plan, region, name, MOST_HELD_BYTES // max(1, pieces.piece_bytes))
        self._effort.digests = tuple(pieces.digests[index] for index in own)
        missing = [index for index in own if store.get(pieces.digests[index]) is None]
        self._effort.complete = not missing
        store.want(pieces.digests)
        if not missing:
            store.undecided = False
            return
        self._distributor.share_link(plan)
        download = VersionDownload(
            self._distributor, plan, manifest, missing, keep_nothing, draws_first=False
        )
        await download.run()
        self._effort.complete = True
        self._log.write(Event.VERSION_RELAYED, version=pieces.version, chunks=len(missing))

    async def _read_pieces(self, target: RelayTarget) -> PieceList:
        known = self._pieces
        wanted = target.version
        same_model = known is not None and known.model == target.setting.model
        if same_model and wanted in (0, known.version):
            return known
        self._origin.set_address(target.setting.origin_host, target.setting.origin_port)
        own = self._deployment
        subject = f"{target.setting.model}/{wanted}"
        members, relays = self._members.members, self._members.relays
        asked = first_readers(subject, own.host, own.region, members, relays)
        pieces = await self._ask_pieces(asked, wanted)
        if pieces is None:
            try:
                pieces = await self._origin.read_list(target.setting.model, wanted)
            except CodedError:
                # Sidecars know the list as well, and the origin may be away for long.
                near = [m for m in members if m.instance.region == own.region]
                others = [m for m in near if m.name != own.host and m not in asked]
                pieces = await self._ask_pieces(others[:MOST_ASKED], wanted)
                if pieces is None:
                    raise
        self._pieces = pieces
        await self._readings.keep_version(VersionReading(pieces))
        self._log.write(Event.VERSION_WANTED, version=pieces.version, revision=wanted, adopted=0)
        return pieces

    async def _ask_pieces(self, peers: list[MemberView], wanted: int) -> PieceList | None:
        shared = await self._readings.ask_version(peers, wanted)
        if shared is None:
            return None
        self._origin.add_list(shared.pieces)
        return shared.pieces


def own_chunks(plan: ChunkPlan, region: str, name: str, most: int) -> list[int]:
    """Returns which chunks a relay of a region is to hold.

    Args:
      most: How many fit; the rest sidecars bring in themselves.
    """
    own = plan.regions.get(region)
    if own is None:
        return []
    indexes = range(plan.chunk_count)
    return [i for i in indexes if name in own.order(i)[:HOLDERS_OF_CHUNK]][:most]


async def keep_nothing(index: int, content: bytes) -> None:
    """Delivers a chunk that is held in the store already, and nowhere else."""


def make_weights_relay(
    deployment: Deployment,
    client: httpclient.AsyncHTTPClient,
    state: RelayState,
    find_relays: collections.abc.Callable[[], dict[str, str]],
    in_progress: collections.abc.Callable[[], int],
    log: EventLog,
) -> WeightsRelay:
    """Returns a relay that has not started; see WeightsRelay."""
    return WeightsRelay(deployment, client, state, find_relays, in_progress, log)
