"""What an entry knows from the platform's store: configuration, endpoints and versions.

Each part is replaced in one step, so that readers never see a mixture of old and new.

The store may be restored from a copy that is some seconds old. It then lacks what was written
since, and gives out the same revisions again, so that revisions are compared within one epoch of
the store only: a snapshot of a later epoch replaces what is known, whatever its revision. What must
not be undone does not depend on revisions: configurations and weights are ordered by their own
versions.
"""

import collections.abc

from ..config.deployment import Bounds
from ..core.boot_clock import boot_seconds
from ..core.decoding import describe
from ..core.errors import CodedError
from ..core.listed_endpoint import ListedEndpoint
from ..core.placing_limit import PlacingLimit
from ..core.published import EngineFigures, PublishedConfiguration
from ..core.request_scope import RequestScope
from ..core.store_change import StoreChange, StorePosition, StoreReading
from ..decisions.configuration_lease import ConfigurationLease
from ..decisions.endpoint_registry import EndpointRegistry
from ..decisions.evacuations import EvacuationChange, Evacuations
from ..decisions.home_regions import find_faults
from ..decisions.route_table import RouteTable
from ..decisions.store_outage import StoreOutages
from ..decisions.store_readers import MAX_LATE_SECONDS
from ..decisions.version_floor import BeginLimit, VersionFloor
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform import published_records
from ..platform.published_records import ItemKind, kind_of
from .kept_items import KeptItems

# Reported in place of an infinite age, where a finite number is required.
MAX_REPORTED_SECONDS = 1e6
# The workspaces that one line names.
MAX_LOGGED_WORKSPACES = 16
MAX_LOGGED_CHARACTERS = 300
# Beyond this number the items that were left out first may be logged again.
MAX_REFUSED_ITEMS = 1024

EndpointListener = collections.abc.Callable[[ListedEndpoint, ListedEndpoint | None, float], None]


class PublishedState:
    """Configuration, endpoints and wanted versions.

    Attributes:
      routes: The routes of the configuration in force; None before the first configuration.
      endpoints: The registered endpoints.
      evacuations: The data centres to whose endpoints nothing may be sent.
      lease: How recent this state is known to be.
      outages: The times at which the store did not answer.
      epoch: The store's epoch that the revision belongs to; zero before the first that it states.
      revision: The store revision up to which all changes were applied; zero before the first.
      restored_at: When this process learned that the store was restored, by the boot clock; minus
        infinity before.
      store_failed_at: Until when calls of this process to the store failed, by the boot clock.
      on_endpoint: Called with each new registration of an endpoint, what was registered before, or
        None if the endpoint was not listed, and a time by the boot clock before which the store had
        certainly not got it.
    """

    __slots__ = (
        "_log",
        "_bounds",
        "_version_floors",
        "_items",
        "_reported_versions",
        "_configuration_content",
        "_refused",
    )
    __slots__ += ("routes", "endpoints", "lease", "outages", "epoch", "revision")
    __slots__ += ("evacuations", "_regions", "restored_at")
    __slots__ += ("store_failed_at", "_store_asked", "_store_owes_since", "on_endpoint")
    __slots__ += ("_store_due_at",)

    def __init__(
        self,
        bounds: Bounds,
        log: EventLog,
        region_of: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        """Initializes the state, without configuration and endpoints.

        Args:
          region_of: The region of each data centre of the settings.
        """
        region_of = region_of or {}
        self.evacuations = Evacuations(region_of)
        self._regions = frozenset(region_of.values())
        self._log = log
        self._bounds = bounds
        self._version_floors: dict[str, VersionFloor] = {}
        # The newest version of each model that other processes have reported.
        self._reported_versions: dict[str, int] = {}
        self._items = KeptItems()
        # The revision under which each item was last left out, by key.
        self._refused: dict[str, int] = {}
        self.epoch = 0
        self.revision = 0
        # Whether this process asks the store itself, and since when it waits for an answer; failed
        # calls do not end the wait.
        self._store_asked = False
        self._store_owes_since: float | None = None
        self._store_due_at = float("inf")
        self.store_failed_at = float("-inf")
        self.restored_at = float("-inf")
        # As the operator wrote it, for other entries.
        self._configuration_content = b""
        self.routes: RouteTable | None = None
        self.endpoints = EndpointRegistry()
        self.lease = ConfigurationLease(bounds.revocation)
        self.outages = StoreOutages(bounds.settling)
        self.on_endpoint: EndpointListener = ignore_endpoint

    @property
    def position(self) -> StorePosition:
        """Up to where the store's changes were applied."""
        return StorePosition(self.epoch, self.revision)

    @property
    def version(self) -> int:
        """The configuration version in force; zero before the first."""
        return self.routes.configuration.version if self.routes else 0

    @property
    def configuration(self) -> PublishedConfiguration | None:
        """The configuration in force; None before the first."""
        return self.routes.configuration if self.routes else None

    @property
    def is_store_asked(self) -> bool:
        """Whether this process asks the store itself, and does not follow another one."""
        return self._store_asked

    def record_store_asked(self, now: float, wait: float) -> None:
        """Records that a question is sent to the store, by the boot clock.

        Args:
          wait: For how many seconds the store may hold it.
        """
        self._store_asked = True
        if self._store_owes_since is None:
            self._store_owes_since = now
            self._store_due_at = now + wait + MAX_LATE_SECONDS

    def record_store_answered(self) -> None:
        """Records that the store answered."""
        self._store_owes_since = None

    def record_evidence(self, asked_at: float) -> None:
        """Records that a call of this process to the store, sent at a time, was answered and that
        the answer was applied."""
        self.lease.renew(asked_at)
        self.outages.answers.record_answer(asked_at)
        self.outages.answers.forget_before(boot_seconds())

    def may_extend_bounds(self, now: float) -> bool:
        """Returns whether failed calls of this process may show an outage that extends bounds."""
        bounds = self._bounds
        return now - self.outages.last_failure_at <= bounds.settling + bounds.version

    def record_store_unasked(self) -> None:
        """Records that this process follows another one instead of the store."""
        self._store_asked = False
        self._store_owes_since = None

    def is_store_overdue(self, now: float) -> bool:
        """Returns whether a question of this process to the store should have been answered."""
        return self._store_owes_since is not None and now >= self._store_due_at

    def store_waiting_seconds(self, now: float) -> float:
        """Returns for how long the store has owed an answer; infinite if it is not asked."""
        if not self._store_asked:
            return float("inf")
        return now - self._store_owes_since if self._store_owes_since is not None else 0.0

    def newest_version(self, model: str) -> int:
        """Returns the newest version of a model known to any process; zero before the first.

        This only decides which weights are fetched. Which versions may answer requests is decided
        from what the store itself said.
        """
        floor = self._version_floors.get(model)
        return max(floor.newest if floor else 0, self._reported_versions.get(model, 0))

    def newest_seconds(self, model: str) -> float:
        """Returns for how long the newest version of a model has been wanted; zero if none is."""
        floor = self._version_floors.get(model)
        return floor.newest_seconds(boot_seconds()) if floor and floor.newest else 0.0

    # The ages of versions are measured by a clock that continues while the instance is suspended.
    # By the event loop's clock, an entry that resumes after a minute would place requests on
    # weights that expired long ago, and callers would get text that no other entry still serves.

    def oldest_to_place(self, model: str, late: float) -> int:
        """Returns the oldest version of a model that requests may be placed on now.

        Args:
          late: By how many seconds a request may begin later than forecast at its endpoint.
        """
        floor = self._version_floors.get(model)
        if floor is None:
            return 0
        return floor.oldest_to_place(boot_seconds() + late, *self.outages.known)

    def placing_limits(self) -> tuple[PlacingLimit, ...]:
        """Returns until when requests are placed on replaced weights, by replacing version."""
        now, outages = boot_seconds(), self.outages.known
        return tuple(
            limit
            for model, floor in self._version_floors.items()
            for limit in floor.placing_limits(model, now, *outages)
        )

    def may_begin(self, model: str, weights: int) -> bool:
        """Returns whether a request that was placed on a version may still begin on it."""
        floor = self._version_floors.get(model)
        if floor is None:
            return True
        return weights >= floor.oldest_to_begin(boot_seconds(), *self.outages.known)

    @property
    def shortest_bound(self) -> float:
        """The least seconds for which requests may begin on weights that are not replaced yet.

        A newer version may have been named since the last answer of the store.
        """
        return self._bounds.version - self.lease.age(boot_seconds())

    def begin_limit(self, model: str, weights: int) -> BeginLimit | None:
        """Returns until when requests may begin on a version; None while none is newer."""
        floor = self._version_floors.get(model)
        if floor is None:
            return None
        return floor.begin_limit(weights, boot_seconds(), *self.outages.known)

    def record_reported_version(
        self, model: str, version: int, seconds: float, unnamed_at: float = float("-inf")
    ) -> None:
        """Records a version that another process reported.

        Args:
          seconds: For how long the other process has known the version.
          unnamed_at: A time by the boot clock at which it certainly had not been named yet.
        """
        self._reported_versions[model] = max(version, self._reported_versions.get(model, 0))
        floor = self._version_floors.get(model)
        if floor is not None and version:
            floor.record_reported(version, seconds, boot_seconds(), unnamed_at)

    def named_versions(self) -> list[tuple[str, int, float, float]]:
        """Returns each model with its newest versions, and the evidence of when they were named.

        The last two are the seconds since some process had certainly learned of the version, and
        since it certainly had not been named yet.
        """
        now = boot_seconds()
        return [
            (model, known.version, known.known_for, known.unnamed_ago)
            for model, floor in self._version_floors.items()
            for known in floor.evidence(now)
        ]

    def changes_after(self, position: StorePosition) -> tuple[bool, list[StoreChange]]:
        """Returns the changes after a position, preceded by whether they are a full snapshot.

        There are none after a position in a later epoch than that of this state.
        """
        if position.epoch > self.epoch:
            return False, []
        changes = None
        if position.epoch == self.epoch:
            changes = self._items.changes_after(position.revision)
        return (True, self._items.all()) if changes is None else (False, changes)

    def count_superseded(self, reading: StoreReading) -> int:
        """Returns how many items of a snapshot are known under a higher revision."""
        return self._items.count_newer(reading.changes)

    def apply_changes(
        self, reading: StoreReading, now: float, not_before: float = float("-inf")
    ) -> None:
        """Applies changes in the order of their revisions.

        Args:
          not_before: A time by the boot clock before which none of the changes was made; the
            lease may know a later one.
        """
        for change in sorted(reading.changes, key=lambda change: change.revision):
            self.apply_change(change, now, not_before)
        self.revision = max(self.revision, reading.revision)

    def apply_snapshot(self, reading: StoreReading, now: float) -> None:
        """Applies a full snapshot of the store; items that are not in it are gone."""
        begins_epoch = reading.epoch > self.epoch and self.revision > 0
        if begins_epoch:
            self._begin_epoch(reading, now)
        # The configuration comes first, because it says how many layers make an engine complete.
        ordered = sorted(
            reading.changes, key=lambda change: kind_of(change.key) is not ItemKind.CONFIGURATION
        )
        for change in ordered:
            if not begins_epoch or not self._confirm(change):
                self.apply_change(change, now)
        listed = {
            published_records.endpoint_id_of(change.key)
            for change in reading.changes
            if kind_of(change.key) is ItemKind.ENDPOINT
        }
        for endpoint_id in self.endpoints.apply_listing(listed, now, reading.revision):
            self._log.write(Event.ENDPOINT_UNLISTED, endpoint=endpoint_id, reason="not listed")
        for endpoint in list(self.endpoints.endpoints):
            if endpoint.id not in listed:
                self._log_kept(endpoint.id, now)
        self._apply_evacuation_listing(reading)
        self._items.apply_listing({change.key for change in reading.changes}, reading.revision)
        self.revision = reading.revision if begins_epoch else max(self.revision, reading.revision)
        self.epoch = max(self.epoch, reading.epoch)

    def _confirm(self, change: StoreChange) -> bool:
        """Records that a restored store has an endpoint's registration as it is listed here.

        Returns:
          Whether that is so. It then says nothing new, and when it was written is not known.
        """
        if kind_of(change.key) is not ItemKind.ENDPOINT:
            return False
        endpoint_id = published_records.endpoint_id_of(change.key)
        try:
            read = published_records.decode_endpoint(
                endpoint_id, change.value or b"", self._layer_count
            )
        except CodedError:
            # It is reported where it is applied.
            return False
        if read != self.endpoints.get(endpoint_id):
            return False
        self._items.add(change)
        self.endpoints.confirm(endpoint_id, change.revision)
        return True

    def _begin_epoch(self, reading: StoreReading, now: float) -> None:
        """Prepares for the first snapshot of a later epoch, which is ordered after all before."""
        self._log.write(
            Event.STORE_RESTORED,
            epoch=reading.epoch,
            revision=reading.revision,
            held_epoch=self.epoch,
            held_revision=self.revision,
        )
        self.restored_at = boot_seconds()
        self._items.clear()
        self._refused.clear()
        self.endpoints.begin_epoch(now)
        self.evacuations.begin_epoch(boot_seconds())

    def apply_change(
        self, change: StoreChange, now: float, not_before: float = float("-inf")
    ) -> None:
        """Applies one changed or removed item; see apply_changes.

        An item that cannot be applied is left out, and does not hold up the others.
        """
        self._items.add(change)
        try:
            self._apply(change, now, not_before)
        except Exception as error:
            self._refuse(change, Event.ITEM_FAILED, describe(error), key=change.key)

    def _apply(self, change: StoreChange, now: float, not_before: float) -> None:
        kind = kind_of(change.key)
        if kind is ItemKind.ENDPOINT:
            endpoint_id = published_records.endpoint_id_of(change.key)
            self._apply_endpoint(endpoint_id, change, now, max(not_before, self.lease.confirmed_at))
        elif kind is ItemKind.CONFIGURATION and change.value is not None:
            self._apply_configuration(change.value, change.revision)
        elif kind is ItemKind.VERSION and change.value is not None:
            self._apply_version(change, max(not_before, self.lease.confirmed_at))
        elif kind is ItemKind.EVACUATION:
            self._apply_evacuation(change, max(not_before, self.lease.confirmed_at))

    def _refuse(self, change: StoreChange, event: Event, reason: str, **facts: object) -> None:
        """Logs that an item is left out, once for each time that it was written.

        Other entries tell of the item again, and a snapshot lists it again.
        """
        if self._refused.get(change.key) != change.revision:
            self._refused[change.key] = change.revision
            if len(self._refused) > MAX_REFUSED_ITEMS:
                del self._refused[next(iter(self._refused))]
            self._log.write(event, reason=reason[:MAX_LOGGED_CHARACTERS], **facts)

    def expire_items(self, now: float) -> None:
        """Removes what was kept over a store outage and was not written again, and lists endpoints
        that need not be withheld any longer."""
        for endpoint in self.endpoints.list_withheld(now):
            self._log_listed(endpoint)
        for name in self.evacuations.expire(boot_seconds()):
            self._log_evacuation(Event.EVACUATION_ENDED, name, self.lease.confirmed_at)
        for endpoint_id in self.endpoints.expire(now):
            self._log.write(
                Event.ENDPOINT_UNLISTED,
                endpoint=endpoint_id,
                reason="not registered again after a store outage",
            )

    def engine_figures(self, service: str) -> EngineFigures | None:
        """Returns the performance figures of a service's engines; None for a plain service."""
        return self.routes.engine_figures(service) if self.routes else None

    def count_evacuated(self, service: str) -> int:
        """Returns how many endpoints of a service are in evacuated data centres."""
        if not self.evacuations.count:
            return 0
        return sum(
            endpoint.service == service and self.evacuations.is_evacuated(endpoint.data_centre)
            for endpoint in self.endpoints.endpoints
        )

    def current_scope(self, accepted: RequestScope) -> RequestScope:
        """Returns what the configuration in force says about a request.

        Args:
          accepted: What it said when the request was accepted, which still holds for a route or a
            workspace that is gone.
        """
        routes = self.routes
        if routes is None:
            return accepted
        workspace = accepted.workspace
        if workspace is not None:
            workspace = routes.workspace(workspace.name) or workspace
        return RequestScope(routes.route(accepted.route.name) or accepted.route, workspace)

    def newer_configuration(self, version: int) -> bytes:
        """Returns the configuration in force as the operator wrote it; empty if no newer one than
        a version is in force."""
        return self._configuration_content if self.version > version else b""

    def apply_configuration(self, content: bytes) -> None:
        """Applies a configuration that is in force at another entry, if it is newer.

        An accepted configuration is never undone, also where a restored store has lost it.
        """
        self._apply_configuration(content, 0)

    def _apply_configuration(self, content: bytes, store_revision: int) -> None:
        """Puts a configuration in force if it is valid and newer.

        Args:
          store_revision: The store's revision of the item; zero if another entry told of it.
        """
        began = boot_seconds()
        try:
            configuration = published_records.decode_configuration(content)
        except CodedError as error:
            self._log.write(
                Event.REVISION_REFUSED, revision=store_revision, reason=str(error)[:300]
            )
            return
        # A store that was restored from a backup, or a stale read, may return an old version. To
        # apply it would undo an operator's change, and callers would get old routes.
        if configuration.version <= self.version:
            return
        self.routes = RouteTable(configuration, self.routes)
        self._configuration_content = content
        self._log.write(
            Event.REVISION_IN_FORCE,
            revision=configuration.version,
            store_revision=store_revision,
            routes=len(configuration.routes),
            workspaces=len(configuration.workspaces),
            seconds=round(boot_seconds() - began, 4),
        )
        for finding in find_faults(configuration, self._regions):
            self._log.write(
                Event.HOME_REGIONS_UNSERVED,
                revision=configuration.version,
                route=finding.route,
                workspace=finding.workspace,
                unknown=finding.unknown,
                disjoint=finding.disjoint[:MAX_LOGGED_WORKSPACES],
                disjoint_count=len(finding.disjoint),
            )

    def _apply_evacuation(self, change: StoreChange, not_before: float) -> None:
        name = published_records.evacuated_data_centre_of(change.key)
        now = boot_seconds()
        done = self.evacuations.apply(name, change.value, change.revision, now)
        if done is EvacuationChange.BEGAN:
            self._log_evacuation(Event.EVACUATION_BEGAN, name, not_before)
        elif done is EvacuationChange.ENDED:
            self._log_evacuation(Event.EVACUATION_ENDED, name, not_before)
        elif done is not EvacuationChange.NOTHING:
            self._log.write(
                Event.EVACUATION_REFUSED,
                data_centre=name[:100],
                revision=change.revision,
                reason=done.value,
            )

    def _apply_evacuation_listing(self, reading: StoreReading) -> None:
        listed = {
            published_records.evacuated_data_centre_of(change.key)
            for change in reading.changes
            if kind_of(change.key) is ItemKind.EVACUATION
        }
        ended = self.evacuations.apply_listing(listed, reading.revision, boot_seconds())
        for name in ended:
            self._log_evacuation(Event.EVACUATION_ENDED, name, self.lease.confirmed_at)

    def _log_evacuation(self, event: Event, data_centre: str, not_before: float) -> None:
        """Logs that an evacuation began or ended.

        Args:
          not_before: A time by the boot clock before which that was not the case.
        """
        known = not_before > float("-inf")
        self._log.write(
            event,
            data_centre=data_centre,
            evidence_age=round(boot_seconds() - not_before, 3) if known else None,
        )

    def _apply_version(self, change: StoreChange, not_before: float) -> None:
        try:
            model, version = published_records.decode_version(change.value or b"")
        except CodedError as error:
            self._refuse(change, Event.REVISION_REFUSED, str(error), revision=change.revision)
            return
        floor = self._version_floors.setdefault(model, VersionFloor(self._bounds.version))
        now = boot_seconds()
        if floor.add(version, not_before, now):
            known = not_before > float("-inf")
            self._log.write(
                Event.VERSION_NAMED,
                model=model,
                version=version,
                evidence_age=round(now - not_before, 3) if known else None,
            )

    def _apply_endpoint(
        self, endpoint_id: str, change: StoreChange, now: float, not_before: float
    ) -> None:
        if change.value is None:
            if self.endpoints.apply_removal(endpoint_id, change.revision, now):
                self._log.write(Event.ENDPOINT_UNLISTED, endpoint=endpoint_id, reason="removed")
            self._log_kept(endpoint_id, now)
            return
        try:
            endpoint = published_records.decode_endpoint(
                endpoint_id, change.value, self._layer_count
            )
        except CodedError as error:
            # Anyone may write a registration. One that cannot be decoded names no address to send
            # to, and must not affect the others.
            self._refuse(change, Event.ENDPOINT_UNREADABLE, str(error), endpoint=endpoint_id)
            return
        before = self.endpoints.get(endpoint_id)
        if change.revision > self.endpoints.revision_of(endpoint_id):
            self.on_endpoint(endpoint, before, not_before)
        was_withheld = self.endpoints.is_withheld(endpoint_id)
        if self.endpoints.apply(endpoint, change.revision):
            self._log_listed(endpoint)
        elif self.endpoints.is_withheld(endpoint_id) and not was_withheld:
            self._log.write(Event.ENDPOINT_WITHHELD, endpoint=endpoint_id)

    def _log_kept(self, endpoint_id: str, now: float) -> None:
        """Logs that an endpoint whose registration is gone is kept for a moment, if it is."""
        kept_for = self.endpoints.kept_for(endpoint_id, now)
        if kept_for > 0.0:
            self._log.write(
                Event.ENDPOINT_KEPT,
                endpoint=endpoint_id,
                seconds=round(kept_for, 3),
                failed_ago=round(min(self.endpoints.failed_ago(now), MAX_REPORTED_SECONDS), 3),
            )

    def _log_listed(self, endpoint: ListedEndpoint) -> None:
        self._log.write(
            Event.ENDPOINT_LISTED,
            endpoint=endpoint.id,
            service=endpoint.service,
            address=f"{endpoint.host}:{endpoint.port}",
            leaving=endpoint.leaving,
            weights=endpoint.weights,
            whole=endpoint.whole,
        )

    def _layer_count(self, service: str) -> int:
        figures = self.engine_figures(service)
        return figures.layers if figures else 0


def ignore_endpoint(
    endpoint: ListedEndpoint, before: ListedEndpoint | None, not_before: float
) -> None:
    """The default on_endpoint callback; does nothing."""
