"""What a sidecar knows from the platform's store: who else there is, and what is wanted."""

import asyncio
import collections.abc

from ..config.deployment import Deployment
from ..core.awake_clock import awake_seconds
from ..core.errors import CodedError
from ..core.instance import Instance, InstanceRole
from ..core.listed_endpoint import ListedEndpoint
from ..core.published import PublishedConfiguration, PublishedService
from ..core.store_change import StoreChange
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.member_view import MemberView
from ..platform import published_records
from ..platform.published_records import ItemKind, kind_of
from ..platform.store_client import StoreClient, Watched

# Versions are named rarely; a watch that ends without news costs a call.
WATCH_SECONDS = 20.0
PAUSE_SECONDS = 0.3
# Who else there is, is read again when a version is named, and while this one lacks weights.
MEMBERS_SECONDS = 2.0
CHUNK_PORT_OFFSET = 1


class ListedEngines:
    """Follows the versions that are named, and reads the rest when it is needed.

    Attributes:
      wanted: The newest version of this engine's model that was named; zero where none was.
      model: The model of this engine, empty before it is known.
      layers: How many layers the model has.
    """

    def __init__(self, deployment: Deployment, store: StoreClient, log: EventLog) -> None:
        self._deployment = deployment
        self._store = store
        self._log = log
        self._changed = asyncio.Condition()
        self._views: dict[str, MemberView] = {}
        self._origin: PublishedService | None = None
        self._known = False
        self._wanted_at = 0.0
        self.wanted = 0
        self.model = ""
        self.layers = 0

    @property
    def wanted_seconds(self) -> float:
        """For how long the wanted version has been known here."""
        return awake_seconds() - self._wanted_at if self.wanted else 0.0

    @property
    def ready(self) -> bool:
        """Whether enough is known to bring an engine its weights."""
        return bool(self.model) and self._origin is not None and self._known

    @property
    def origin(self) -> tuple[str, int]:
        """Host and port of the origin."""
        return self._origin.origin

    @property
    def origin_region(self) -> str:
        """The region in which the origin stands."""
        return self._deployment.region_of.get(self._origin.origin_data_centre, "")

    @property
    def members(self) -> list[MemberView]:
        """See Membership: the sidecars beside this service's engines, this one included."""
        return list(self._views.values())

    @property
    def region_of(self) -> dict[str, str]:
        """The regions of all those members, by name."""
        return {name: view.instance.region for name, view in self._views.items()}

    def report_failure(self, name: str) -> None:
        """See Membership."""
        if name in self._views:
            self._views[name].suspected = True

    def report_success(self, name: str) -> None:
        """See Membership."""
        if name in self._views:
            self._views[name].suspected = False

    async def wait_other_than(self, version: int) -> None:
        """Waits until another version is wanted than the one given."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.wanted != version)

    async def run(self) -> None:
        """Follows for ever."""
        while True:
            try:
                revision = await self._read_all()
                while True:
                    reading = await self._store.watch(Watched.VERSIONS, revision, WATCH_SECONDS)
                    revision = reading.revision
                    if reading.changes:
                        await self._read_members()
                    for change in reading.changes:
                        await self._take_version(change)
            except CodedError as error:
                self._log.write(Event.STORE_LOST, reason=str(error)[:200], evidence_age=0.0)
                await asyncio.sleep(PAUSE_SECONDS)

    async def keep_members(self, lacking: collections.abc.Callable[[], bool]) -> None:
        """Reads again who else there is, while this engine lacks its weights, for ever."""
        while True:
            await asyncio.sleep(MEMBERS_SECONDS)
            if lacking():
                try:
                    await self._read_members()
                except CodedError as error:
                    self._log.write(Event.LIST_UNREACHABLE, reason=str(error)[:200])

    async def _read_all(self) -> int:
        reading = await self._store.read(Watched.CONFIGURATION)
        for change in reading.changes:
            if kind_of(change.key) is ItemKind.CONFIGURATION and change.value is not None:
                self._take_configuration(published_records.decode_configuration(change.value))
        if not self.model:
            raise CodedError("configuration_missing", "this engine's service is not published")
        await self._read_members()
        reading = await self._store.read(Watched.VERSIONS)
        for change in reading.changes:
            await self._take_version(change)
        self._known = True
        return reading.revision

    def _take_configuration(self, configuration: PublishedConfiguration) -> None:
        for service in configuration.services:
            if service.name == self._deployment.service and service.engine is not None:
                self.model = service.models[0] if service.models else ""
                self.layers = service.engine.layers
            if service.origin is not None:
                self._origin = service

    async def _read_members(self) -> None:
        reading = await self._store.read(Watched.ENDPOINTS)
        endpoints = []
        for change in reading.changes:
            endpoint_id = published_records.endpoint_id_of(change.key)
            try:
                endpoint = published_records.decode_endpoint(
                    endpoint_id, change.value or b"", lambda service: self.layers
                )
            except CodedError as error:
                self._log.write(
                    Event.ENDPOINT_UNREADABLE, endpoint=endpoint_id, reason=str(error)[:200]
                )
                continue
            if endpoint.service == self._deployment.service and not endpoint.leaving:
                endpoints.append(endpoint)
        self._take_endpoints(endpoints)

    def _take_endpoints(self, endpoints: list[ListedEndpoint]) -> None:
        own = self._deployment
        places = {endpoint.host: endpoint.data_centre for endpoint in endpoints}
        places[own.host] = own.data_centre
        self._views = {
            host: self._views.get(host) or self._make_view(host, data_centre)
            for host, data_centre in places.items()
        }

    def _make_view(self, host: str, data_centre: str) -> MemberView:
        own = self._deployment
        region = own.region_of.get(data_centre, data_centre)
        port = own.first_port + CHUNK_PORT_OFFSET
        peer_port = own.first_port
        return MemberView(
            Instance(host, InstanceRole.SIDECAR, region, data_centre, host, port, peer_port)
        )

    async def _take_version(self, change: StoreChange) -> None:
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
            self._wanted_at = awake_seconds()
            self._changed.notify_all()
