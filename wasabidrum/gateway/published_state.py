"""What an entry knows from the platform's store, each part replaced in one step."""

from ..config.deployment import Bounds
from ..core.awake_clock import awake_seconds
from ..core.errors import CodedError
from ..core.placing_limit import PlacingLimit
from ..core.published import EngineFigures, PublishedConfiguration
from ..core.store_change import StoreChange, StoreReading
from ..decisions.configuration_lease import ConfigurationLease
from ..decisions.endpoint_registry import EndpointRegistry
from ..decisions.route_table import RouteTable
from ..decisions.store_outage import StoreOutages
from ..decisions.version_floor import VersionFloor
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform import published_records
from ..platform.published_records import ItemKind, kind_of

# Endpoints of the two-year size and as many removals; beyond that the oldest removals go.
MOST_ITEMS = 4096
# Stands for "never" where a number is asked for.
MOST_SECONDS_SHOWN = 1e6


class PublishedState:
    """Configuration, endpoints and wanted versions.

    Attributes:
      routes: The configuration in force, or None before the first.
      endpoints: Who is registered.
      lease: How fresh all that is.
      outages: When the store last did not answer.
      revision: The store's revision up to which everything was taken; zero before the first.
    """

    __slots__ = ("_log", "_bounds", "_floors", "_items", "_whole_after", "_reported")
    __slots__ += ("routes", "endpoints", "lease", "outages", "revision")

    def __init__(self, bounds: Bounds, log: EventLog) -> None:
        self._log = log
        self._bounds = bounds
        self._floors: dict[str, VersionFloor] = {}
        # The newest version of each model that other processes have heard of.
        self._reported: dict[str, int] = {}
        # Every item as the store told it last, the removed included, for entries that the
        # store turns away.
        self._items: dict[str, StoreChange] = {}
        self._whole_after = 0
        self.revision = 0
        self.routes: RouteTable | None = None
        self.endpoints = EndpointRegistry()
        self.lease = ConfigurationLease(bounds.revocation)
        self.outages = StoreOutages(bounds.settling)

    @property
    def version(self) -> int:
        """The configuration version in force, zero before the first."""
        return self.routes.configuration.version if self.routes else 0

    @property
    def configuration(self) -> PublishedConfiguration | None:
        """The configuration in force, or None before the first."""
        return self.routes.configuration if self.routes else None

    def newest_version(self, model: str) -> int:
        """Returns the newest version of a model that anybody has heard of; zero before the first.

        Only weights are brought by that. What may answer is judged by what the store said.
        """
        floor = self._floors.get(model)
        return max(floor.newest if floor else 0, self._reported.get(model, 0))

    def newest_seconds(self, model: str) -> float:
        """Returns for how long the newest version of a model has been wanted; zero if none is."""
        floor = self._floors.get(model)
        return floor.newest_seconds(awake_seconds()) if floor and floor.newest else 0.0

    # Versions are dated by a clock that goes on while the instance is suspended. By the event
    # loop's, an entry that wakes after a minute would place requests on weights whose time is
    # long over, and callers would get text that nobody else serves any more.

    def oldest_to_place(self, model: str, late: float) -> int:
        """Returns the oldest version of a model's weights that requests are placed on now.

        Args:
          late: The seconds by which a request may begin later than forecast where it goes.
        """
        floor = self._floors.get(model)
        if floor is None:
            return 0
        return floor.oldest_to_place(awake_seconds() + late, self.outages.latest)

    def placing_limits(self) -> tuple[PlacingLimit, ...]:
        """Returns until when requests are placed on weights that were replaced, by version."""
        now, outage = awake_seconds(), self.outages.latest
        return tuple(
            limit
            for model, floor in self._floors.items()
            for limit in floor.placing_limits(model, now, outage)
        )

    def may_begin(self, model: str, weights: int) -> bool:
        """Returns whether a request on its way may still begin on some weights of a model."""
        floor = self._floors.get(model)
        if floor is None:
            return True
        return weights >= floor.oldest_to_begin(awake_seconds(), self.outages.latest)

    def record_reported_version(self, model: str, version: int, seconds: float) -> None:
        """Records from another process how long ago it had heard of a version."""
        self._reported[model] = max(version, self._reported.get(model, 0))
        floor = self._floors.get(model)
        if floor is not None and version:
            floor.record_reported(version, seconds, awake_seconds())

    def named_versions(self) -> list[tuple[str, int, float]]:
        """Returns model, version and for how many seconds it has been wanted, of each."""
        now = awake_seconds()
        return [
            (model, floor.newest, floor.newest_seconds(now))
            for model, floor in self._floors.items()
            if floor.newest
        ]

    def changes_after(self, revision: int) -> tuple[bool, list[StoreChange]]:
        """Returns what changed after a revision, and whether it is everything there is."""
        whole = revision < self._whole_after or not revision
        if whole:
            return True, [change for change in self._items.values() if change.value is not None]
        return False, [change for change in self._items.values() if change.revision > revision]

    def take_changes(self, reading: StoreReading, now: float, after: float = float("-inf")) -> None:
        """Takes changes, in their order, up to a revision.

        Args:
          after: By the awake clock, when none of them had been made yet; the lease may know
            a later moment.
        """
        for change in sorted(reading.changes, key=lambda change: change.revision):
            self.take_change(change, now, after)
        self.revision = max(self.revision, reading.revision)

    def take_reading(self, reading: StoreReading, now: float) -> None:
        """Takes everything that the store holds."""
        # The configuration comes first: it says how many layers make an engine whole.
        ordered = sorted(
            reading.changes, key=lambda change: kind_of(change.key) is not ItemKind.CONFIGURATION
        )
        for change in ordered:
            self.take_change(change, now)
        listed = {
            published_records.endpoint_id_of(change.key)
            for change in reading.changes
            if kind_of(change.key) is ItemKind.ENDPOINT
        }
        for endpoint_id in self.endpoints.apply_listing(listed, now):
            self._log.write(Event.ENDPOINT_UNLISTED, endpoint=endpoint_id, reason="not listed")
        kept = {change.key for change in reading.changes}
        self._items = {key: item for key, item in self._items.items() if key in kept}
        self._whole_after = reading.revision
        self.revision = max(self.revision, reading.revision)

    def take_change(self, change: StoreChange, now: float, after: float = float("-inf")) -> None:
        """Takes one item as it is now, or its removal; see take_changes."""
        self._remember(change)
        kind = kind_of(change.key)
        if kind is ItemKind.ENDPOINT:
            self._take_endpoint(published_records.endpoint_id_of(change.key), change, now)
        elif kind is ItemKind.CONFIGURATION and change.value is not None:
            self._take_configuration(change)
        elif kind is ItemKind.VERSION and change.value is not None:
            self._take_version(change, max(after, self.lease.confirmed_at))

    def tick(self, now: float) -> None:
        """Ends what only time ends."""
        for endpoint_id in self.endpoints.expire(now):
            self._log.write(Event.ENDPOINT_UNLISTED, endpoint=endpoint_id, reason="not back")

    def engine_of(self, service: str) -> EngineFigures | None:
        """Returns the figures of a service's engines, or None for a plain service."""
        known = self.routes.service(service) if self.routes else None
        return known.engine if known else None

    def _remember(self, change: StoreChange) -> None:
        known = self._items.get(change.key)
        if known is not None and known.revision >= change.revision:
            return
        # Moved to the end, so that the oldest removals stand first and can be forgotten.
        self._items.pop(change.key, None)
        self._items[change.key] = change
        if len(self._items) > MOST_ITEMS:
            gone = next((key for key, item in self._items.items() if item.value is None), None)
            if gone is not None:
                self._whole_after = max(self._whole_after, self._items.pop(gone).revision)

    def _take_configuration(self, change: StoreChange) -> None:
        try:
            configuration = published_records.decode_configuration(change.value or b"")
        except CodedError as error:
            self._log.write(
                Event.REVISION_REFUSED, revision=change.revision, reason=str(error)[:300]
            )
            return
        # A store that is restored or asked for a stale answer may offer an old version. In
        # force again, it would undo an operator's change, and callers would meet old routes.
        if configuration.version <= self.version:
            return
        self.routes = RouteTable(configuration)
        self._log.write(
            Event.REVISION_IN_FORCE,
            revision=configuration.version,
            store_revision=change.revision,
            routes=len(configuration.routes),
            workspaces=len(configuration.workspaces),
        )

    def _take_version(self, change: StoreChange, after: float) -> None:
        try:
            model, version = published_records.decode_version(change.value or b"")
        except CodedError as error:
            self._log.write(
                Event.REVISION_REFUSED, revision=change.revision, reason=str(error)[:300]
            )
            return
        floor = self._floors.setdefault(model, VersionFloor(self._bounds.version))
        now = awake_seconds()
        if floor.add(version, after, now):
            age = min(now - after, MOST_SECONDS_SHOWN)
            self._log.write(
                Event.VERSION_NAMED, model=model, version=version, evidence_age=round(age, 3)
            )

    def _take_endpoint(self, endpoint_id: str, change: StoreChange, now: float) -> None:
        if change.value is None:
            if self.endpoints.apply_removal(endpoint_id, change.revision, now):
                self._log.write(Event.ENDPOINT_UNLISTED, endpoint=endpoint_id, reason="removed")
            return
        try:
            endpoint = published_records.decode_endpoint(endpoint_id, change.value, self._layers)
        except CodedError as error:
            # Anyone may write an entry. One that cannot be understood names nobody to send
            # to, and must not disturb what the others say.
            self._log.write(
                Event.ENDPOINT_UNREADABLE, endpoint=endpoint_id, reason=str(error)[:300]
            )
            return
        if self.endpoints.apply(endpoint, change.revision):
            self._log.write(
                Event.ENDPOINT_LISTED,
                endpoint=endpoint_id,
                service=endpoint.service,
                address=f"{endpoint.host}:{endpoint.port}",
                leaving=endpoint.leaving,
                weights=endpoint.weights,
                whole=endpoint.whole,
            )

    def _layers(self, service: str) -> int:
        figures = self.engine_of(service)
        return figures.layers if figures else 0
