"""A sidecar's view of the platform's store: members, named versions and engine settings."""

import asyncio
import collections.abc
import contextlib

from ..config.deployment import Deployment
from ..core import waiting
from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..core.instance import Instance, InstanceRole
from ..core.listed_endpoint import ListedEndpoint
from ..core.published import PublishedConfiguration
from ..core.status import Status
from ..core.store_change import StoreChange, StoreReading
from ..decisions.chunk_plan import rank_names
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.member_view import MemberView, MemberViews
from ..platform import published_records
from ..platform.published_records import ItemKind, kind_of
from ..platform.store_client import KeyPrefix, StoreClient
from .chunk_member import make_chunk_member, region_of_centre
from .shared_readings import (
    MAX_PEERS_QUERIED,
    EngineSetting,
    ListedMember,
    MembersReading,
    SharedReadings,
    VersionReading,
    readers_before,
)

# Timeout of a watch call. Versions are named rarely, and each time-out costs another call.
WATCH_SECONDS = 20.0
# Pause between failed calls. Forty sidecars that retry three times a second make more calls than
# all other clients. Once the store is back, a version is learned at most one pause later.
PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 0.6
# Members are read when a version is named, and at this interval while weights are missing.
MEMBERS_SECONDS = 2.0
# How long a process waits for a relay after its start before it plans without relays; entries open
# their streams to it within half a second.
RELAYS_SECONDS = 1.0


class ListedEngines(MemberViews):
    """Watches named versions, and reads members and settings on demand.

    Its members are the sidecars of this service's engines, this one included.

    Attributes:
      wanted: The newest named version of this engine's model; zero if there is none.
      model: The model of this engine; empty before it is known.
      layers: The number of layers of the model.
      relays_known: Set once the first relay is known.
      on_members: Called after a periodic read of the members while the engine lacks its weights.
      on_relays: Called after the relays were updated.
      on_list: Called with the version whose list of pieces a relay follows, and how often that has
        corrected it, while the engine lacks its weights.
    """

    def __init__(
        self,
        deployment: Deployment,
        store: StoreClient,
        readings: SharedReadings,
        log: EventLog,
    ) -> None:
        super().__init__()
        self._deployment = deployment
        self._store = store
        self._readings = readings
        self._log = log
        self._changed = asyncio.Condition()
        self._listed: tuple[ListedMember, ...] = ()
        self._known = False
        self._named_at: dict[int, float] = {}
        # The revisions of the registrations that were last found unreadable, by endpoint.
        self._unreadable: dict[str, int] = {}
        self.wanted = 0
        self.model = ""
        self.layers = 0
        self._relays: dict[str, MemberView] = {}
        self._relay_links: dict[str, float] = {}
        # The version of which each relay holds its share, by the relay's name.
        self._relay_versions: dict[str, str] = {}
        self.relays_known = asyncio.Event()
        self._started_at = boot_seconds()
        self._setting_read_at = float("-inf")
        self.on_members = ignore_update
        self.on_relays = ignore_update
        self.on_list = ignore_list

    @property
    def members(self) -> list[MemberView]:
        """See Membership; relays included."""
        return [*self._views.values(), *self._relays.values()]

    @property
    def relays(self) -> dict[str, str]:
        """The regions of the entries that hold weights for others, by name."""
        return {name: view.instance.region for name, view in self._relays.items()}

    @property
    def relay_links(self) -> dict[str, float]:
        """The rates of the links of these entries in megabits per second, as far as known."""
        return self._relay_links

    def relays_hold(self, version: int) -> bool:
        """Returns whether the relays of this region hold a version; True if there are none."""
        own = self._deployment.region
        near = [name for name, region in self.relays.items() if region == own]
        return all(self._relay_versions.get(name) == str(version) for name in near)

    def set_relays(self, statuses: collections.abc.Collection[Status]) -> None:
        """Replaces the relays with the entries whose statuses are given."""
        self._relay_links = {s.host: s.link_mbit for s in statuses if s.link_mbit}
        self._relay_versions = {status.host: status.staged for status in statuses}
        self._relays = {
            status.host: MemberView(
                Instance(
                    status.host,
                    InstanceRole.ENTRY,
                    status.region,
                    status.data_centre,
                    status.host,
                    status.http_port,
                    status.peer_port,
                )
            )
            for status in statuses
        }
        if self._relays:
            self.relays_known.set()
        self.on_relays()

    async def wait_for_relays(self) -> None:
        """Waits for the first relay, until RELAYS_SECONDS after the start at most.

        All processes start together after a power outage. A sidecar that plans without relays
        fetches from the origin what the relays are about to fetch.
        """
        left = self._started_at + RELAYS_SECONDS - boot_seconds()
        if left > 0.0:
            with contextlib.suppress(TimeoutError):
                await waiting.wait_for(self.relays_known.wait(), left)

    @property
    def wanted_seconds(self) -> float:
        """Seconds since this process learned of the wanted version."""
        return self.named_for(self.wanted)

    def named_for(self, version: int) -> float:
        """Returns the seconds since a version was learned to be named; zero if unknown."""
        at = self._named_at.get(version)
        return boot_seconds() - at if at is not None else 0.0

    def replaced_for(self, version: int) -> float:
        """Returns the seconds since a newer version was learned to be named; zero if none was."""
        newer = (at for named, at in self._named_at.items() if named > version)
        return boot_seconds() - min(newer, default=boot_seconds())

    @property
    def ready(self) -> bool:
        """Whether members, engine settings and versions have been read."""
        return self._known

    @property
    def origin(self) -> tuple[str, int]:
        """Host and port of the origin."""
        setting = self._readings.setting
        return setting.origin_host, setting.origin_port

    @property
    def origin_region(self) -> str:
        """The region of the origin; empty if it is not published."""
        return self._deployment.region_of.get(self._readings.setting.origin_data_centre, "")

    @property
    def listed(self) -> tuple[ListedMember, ...]:
        """The members as they were last read."""
        return self._listed

    @property
    def leaving(self) -> bool:
        """Whether the local engine accepts no new work."""
        return any(m.leaving for m in self._listed if m.host == self._deployment.host)

    @property
    def own_name(self) -> str:
        """The name of this sidecar."""
        return self._deployment.host

    @property
    def answering(self) -> dict[str, str]:
        """The regions of the engines that serve any version and are not leaving, by name."""
        return {
            member.host: self._region_of(member.data_centre)
            for member in self._listed
            if member.weights and not member.leaving
        }

    @property
    def served_versions(self) -> frozenset[int]:
        """The versions that the listed engines serve."""
        return frozenset(member.weights for member in self._listed if member.weights)

    def holders(self, version: int) -> frozenset[str]:
        """Returns the other members of this region whose engines serve a version."""
        own = self._deployment
        return frozenset(
            member.host
            for member in self._listed
            if member.weights == version
            and member.host != own.host
            and own.region_of.get(member.data_centre) == own.region
        )

    @property
    def region_of(self) -> dict[str, str]:
        """The regions of the members that are not leaving, by name.

        Leaving instances stay in the members: until they are gone they serve the chunks that they
        have fetched, and may be the only ones that hold them.
        """
        leaving = {member.host for member in self._listed if member.leaving}
        return {
            name: view.instance.region for name, view in self._views.items() if name not in leaving
        }

    async def wait_for_change(self, version: int) -> None:
        """Waits until the wanted version differs from the one given."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.wanted != version)

    async def run(self) -> None:
        """Reads everything once, then watches named versions, forever."""
        failures = 0
        while True:
            try:
                reading = await self._read_all()
                if failures:
                    self._log.write(Event.STORE_BACK, failures=failures)
                    failures = 0
                await self._follow(reading)
            except CodedError as error:
                if not failures:
                    self._log.write(Event.STORE_LOST, reason=str(error)[:200], evidence_age=0.0)
                failures += 1
                await asyncio.sleep(min(MAX_PAUSE_SECONDS, PAUSE_SECONDS * failures))

    async def _follow(self, reading: StoreReading) -> None:
        """Watches named versions from a reading on, until the store was restored since."""
        epoch, revision = reading.epoch, reading.revision
        while True:
            reading = await self._store.watch(KeyPrefix.VERSIONS, revision, WATCH_SECONDS)
            if reading.epoch != epoch:
                # The revision may have been given out again, and what came before it is missing.
                self._log.write(Event.STORE_ANSWER_OUTDATED, epoch=reading.epoch, held_epoch=epoch)
                return
            revision = reading.revision
            for change in reading.changes:
                await self._record_version(change)

    async def refresh_members(self, lacking: collections.abc.Callable[[], bool]) -> None:
        """Reads the members periodically, forever, while this engine lacks its weights."""
        while True:
            await asyncio.sleep(MEMBERS_SECONDS)
            if lacking():
                reading = await self.read_members()
                self.on_members()
                if reading is not None:
                    await self.on_list(reading.version, reading.corrections)

    async def read_members(self) -> MembersReading | None:
        """Reads the members, and returns what a relay answered; keeps the known ones if that fails.

        Relays of this region know them, and a hundred sidecars that lack a version would each read
        several pages from the store.
        """
        own = self._deployment
        near = [name for name, region in self.relays.items() if region == own.region]
        asked = rank_names(own.host, near)[:MAX_PEERS_QUERIED]
        reading = await self._readings.request_members([self._relays[name] for name in asked])
        if reading is not None and reading.members:
            self._set_members(reading.members)
            return reading
        try:
            await self._read_members()
        except CodedError as error:
            self._log.write(Event.LIST_UNREACHABLE, reason=str(error)[:200])
        return None

    async def read_version(self, version: int) -> VersionReading | None:
        """Returns a version reading from a peer of the region, or None; updates the members."""
        peers = self._readers_before(f"{self.model}/{version}")
        reading = await self._readings.request_version(peers, version)
        if reading is None:
            return None
        if version in self._named_at and version == self.wanted:
            named_at = boot_seconds() - reading.named_for
            self._named_at[version] = min(self._named_at[version], named_at)
        if reading.members:
            self._set_members(reading.members)
        else:
            await self.read_members()
        return reading

    def _readers_before(self, subject: str) -> list[MemberView]:
        own = self._deployment
        return readers_before(subject, own.host, own.region, self.members, self._relays)

    async def _read_all(self) -> StoreReading:
        await self._read_members()
        if self._readings.setting is None:
            await self._update_setting()
        reading = await self._store.read(KeyPrefix.VERSIONS)
        for change in reading.changes:
            await self._record_version(change)
        self._known = True
        return reading

    async def refresh_setting(self) -> None:
        """Reads the engine setting again, unless it was read a moment ago.

        Raises:
          CodedError: Neither a peer nor the store answered with it.
        """
        if boot_seconds() - self._setting_read_at >= MEMBERS_SECONDS:
            await self._update_setting()

    async def _update_setting(self) -> None:
        self._setting_read_at = boot_seconds()
        peers = self._readers_before(self._deployment.service)
        setting = await self._readings.request_setting(peers)
        if setting is None:
            setting = await self._read_setting()
        await self._readings.keep_setting(setting)
        self.model = setting.model
        self.layers = setting.layers

    async def _read_setting(self) -> EngineSetting:
        reading = await self._store.read(KeyPrefix.CONFIGURATION)
        for change in reading.changes:
            if kind_of(change.key) is ItemKind.CONFIGURATION and change.value is not None:
                configuration = published_records.decode_configuration(change.value)
                setting = find_setting(configuration, self._deployment.service)
                if setting is not None:
                    return setting
        raise CodedError("configuration_missing", "this engine's service is not published")

    async def _read_members(self) -> None:
        reading = await self._store.read(KeyPrefix.ENDPOINTS)
        members = []
        unreadable = {}
        for change in reading.changes:
            endpoint_id = published_records.endpoint_id_of(change.key)
            try:
                endpoint = published_records.decode_endpoint(
                    endpoint_id, change.value or b"", lambda service: self.layers
                )
            except CodedError as error:
                unreadable[endpoint_id] = change.revision
                if self._unreadable.get(endpoint_id) != change.revision:
                    self._log.write(
                        Event.ENDPOINT_UNREADABLE, endpoint=endpoint_id, reason=str(error)[:200]
                    )
                continue
            if endpoint.service == self._deployment.service:
                members.append(to_member(endpoint))
        self._unreadable = unreadable
        self._set_members(tuple(members))

    def _set_members(self, members: tuple[ListedMember, ...]) -> None:
        self._listed = members
        own = self._deployment
        places = {member.host: member.data_centre for member in members}
        places[own.host] = own.data_centre
        self._views = {
            host: self._views.get(host)
            or make_chunk_member(
                host, InstanceRole.SIDECAR, self._region_of(centre), centre, own.first_port
            )
            for host, centre in places.items()
        }

    def _region_of(self, data_centre: str) -> str:
        return region_of_centre(self._deployment.region_of, data_centre)

    async def _record_version(self, change: StoreChange) -> None:
        if change.value is None:
            return
        try:
            model, version = published_records.decode_version(change.value)
        except CodedError as error:
            self._log.write(
                Event.REVISION_REFUSED, revision=change.revision, reason=str(error)[:200]
            )
            return
        if model != self.model or version <= self.wanted:
            return
        self._log.write(Event.VERSION_NAMED, model=model, version=version)
        async with self._changed:
            self.wanted = version
            self._named_at[version] = boot_seconds()
            self._changed.notify_all()


def to_member(endpoint: ListedEndpoint) -> ListedMember:
    """Returns the member for a listed endpoint."""
    weights = endpoint.weights if endpoint.whole else 0
    return ListedMember(endpoint.host, endpoint.data_centre, endpoint.leaving, weights)


def find_setting(configuration: PublishedConfiguration, service: str) -> EngineSetting | None:
    """Returns the engine setting of a service, or None if engine or origin is not published."""
    own = next((s for s in configuration.services if s.name == service and s.engine), None)
    origin = next((s for s in configuration.services if s.origin is not None), None)
    if own is None or origin is None or not own.models:
        return None
    host, port = origin.origin
    return EngineSetting(
        own.models[0],
        own.engine.layers,
        host,
        port,
        origin.data_centre,
        own.engine.chunk_count,
        own.engine.chunk_bytes,
    )


def ignore_update() -> None:
    """Default callback that does nothing."""


async def ignore_list(version: int, corrections: int) -> None:
    """The default on_list callback; does nothing."""
