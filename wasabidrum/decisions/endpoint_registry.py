"""Registered endpoints, from their registrations in the platform's store.

Load pattern: the store is down for some seconds. Registrations lapse meanwhile, because endpoints
cannot renew them, and when the store is back it lists few or none, or reports removals. Applied
at once, these would take all healthy endpoints out of routing together, and every caller would
be refused until they have registered again, which takes up to two seconds. An endpoint that
disappears around an outage therefore stays in routing for that grace period, and is removed
afterwards unless it has registered again. One that disappears while the store works is removed
at once; otherwise it would get requests after it has left. What counts as an outage is what this
process's own calls have shown: another process that reports failures may alone be cut off.

A store that is restored from a copy gives out its revisions again, so that a registration of the
new epoch may have a lower one than what it follows. What the copy lacks counts as lapsed in an
outage, because endpoints write it again. A run that leaves goes on leaving, whatever the copy says.
A run whose removal the copy lacks is withheld until it says something new of itself, or until its
registration would have lapsed if the run had ended.

What an endpoint has announced itself overrides its registration; see announced_leaving.py.
"""

import collections.abc
import dataclasses
import math

import msgspec

from ..core.listed_endpoint import ListedEndpoint
from .announced_leaving import AnnouncedLeaving

GRACE_SECONDS = 1.8
# Endpoints register again within this time after the store's return.
RETURN_SECONDS = 2.0
STORE_FAILURE_SECONDS = 2.5
# Within this time the store removes registrations that are not renewed.
LAPSE_SECONDS = 5.0
# A store comes back from a copy that is some seconds old.
REMOVALS_KEPT_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Removal:
    """A run that was removed, and when."""

    started_at: int
    removed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Withheld:
    """A registration that may have come back only because its removal was lost."""

    endpoint: ListedEndpoint
    until: float


class EndpointRegistry:
    """The registered endpoints, by id.

    Attributes:
      version: Incremented with each change.
    """

    __slots__ = ("_endpoints", "_revisions", "_grace_ends_at", "_store_failed_at", "version")
    __slots__ += ("_by_host", "_by_host_version", "_announced")
    __slots__ += ("_removals", "_withheld", "_withheld_until")

    def __init__(self) -> None:
        self._endpoints: dict[str, ListedEndpoint] = {}
        self._revisions: dict[str, int] = {}
        self._grace_ends_at: dict[str, float] = {}
        self._store_failed_at = float("-inf")
        self._announced = AnnouncedLeaving()
        self._removals: dict[str, _Removal] = {}
        # The registrations that are withheld, and until when those of the present epoch are.
        self._withheld: dict[str, _Withheld] = {}
        self._withheld_until = float("-inf")
        self.version = 0
        # The endpoints of each host, as of a version of this registry.
        self._by_host: dict[str, list[ListedEndpoint]] = {}
        self._by_host_version = 0

    @property
    def endpoints(self) -> collections.abc.ValuesView[ListedEndpoint]:
        """All endpoints, including those that are leaving and those in their grace period."""
        return self._endpoints.values()

    def get(self, endpoint_id: str) -> ListedEndpoint | None:
        """Returns an endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def at_host(self, host: str) -> collections.abc.Sequence[ListedEndpoint]:
        """Returns the endpoints of one host."""
        if self._by_host_version != self.version:
            self._by_host_version = self.version
            self._by_host = {}
            for endpoint in self._endpoints.values():
                self._by_host.setdefault(endpoint.host, []).append(endpoint)
        return self._by_host.get(host, ())

    def count_leaving(self, service: str = "") -> int:
        """Returns how many endpoints leave.

        Args:
          service: Whose endpoints to count; empty for those of all services.
        """
        return sum(
            1
            for endpoint in self._endpoints.values()
            if endpoint.leaving and service in ("", endpoint.service)
        )

    def record_leaving(self, endpoint_id: str, started_at: int) -> bool:
        """Records that a run of an endpoint has announced that it leaves.

        Returns:
          Whether this was not known of it before.
        """
        listed = self._endpoints.get(endpoint_id)
        # The run has ended, or cannot be told from a later one.
        if listed.started_at != started_at if listed is not None else not started_at:
            return False
        if not self._announced.record(endpoint_id, started_at):
            return False
        if listed is not None and not listed.leaving:
            self._endpoints[endpoint_id] = msgspec.structs.replace(listed, leaving=True)
            self.version += 1
        return True

    def is_leaving(self, endpoint: ListedEndpoint) -> bool:
        """Returns whether a run of an endpoint leaves, by all that is known now.

        Args:
          endpoint: The run, as it was listed at some time.
        """
        listed = self._endpoints.get(endpoint.id)
        if listed is not None and listed.started_at == endpoint.started_at:
            return listed.leaving
        return self._announced.includes(endpoint.id, endpoint.started_at)

    def revision_of(self, endpoint_id: str) -> int:
        """Returns the revision of the last registration or removal of an endpoint, or zero."""
        return self._revisions.get(endpoint_id, 0)

    def record_store_failure(self, now: float) -> None:
        """Records that the store could not be reached until a time."""
        self._store_failed_at = max(now, self._store_failed_at)

    def begin_epoch(self, now: float) -> None:
        """Prepares for the first listing of a restored store, whose revisions start over."""
        self._revisions.clear()
        for endpoint in self._endpoints.values():
            if endpoint.leaving:
                self._announced.record(endpoint.id, endpoint.started_at)
        self._forget_removals(now)
        self._withheld.clear()
        self._withheld_until = now + LAPSE_SECONDS
        self.record_store_failure(now)

    def confirm(self, endpoint_id: str, revision: int) -> None:
        """Records that an endpoint is registered as it is listed."""
        self._revisions[endpoint_id] = max(revision, self._revisions.get(endpoint_id, 0))
        self._grace_ends_at.pop(endpoint_id, None)

    def apply(self, endpoint: ListedEndpoint, revision: int) -> bool:
        """Applies a registration; returns whether it changed the endpoint."""
        known = self._revisions.get(endpoint.id, 0)
        if revision == known:
            self._grace_ends_at.pop(endpoint.id, None)
        if revision <= known:
            # One that is older than a removal says nothing against it.
            return False
        is_first = endpoint.id not in self._revisions
        self._revisions[endpoint.id] = revision
        self._grace_ends_at.pop(endpoint.id, None)
        removal = self._removals.get(endpoint.id)
        if is_first and removal is not None and removal.started_at == endpoint.started_at:
            self._withheld[endpoint.id] = _Withheld(endpoint, self._withheld_until)
            return False
        return self._list(endpoint)

    def _list(self, endpoint: ListedEndpoint) -> bool:
        self._withheld.pop(endpoint.id, None)
        self._removals.pop(endpoint.id, None)
        if self._announced.includes(endpoint.id, endpoint.started_at):
            endpoint = msgspec.structs.replace(endpoint, leaving=True)
        if self._endpoints.get(endpoint.id) == endpoint:
            return False
        self._endpoints[endpoint.id] = endpoint
        self.version += 1
        return True

    def apply_removal(self, endpoint_id: str, revision: int, now: float) -> bool:
        """Applies a removed registration; returns whether the endpoint was removed at once."""
        if revision <= self._revisions.get(endpoint_id, 0):
            return False
        self._revisions[endpoint_id] = revision
        self._withheld.pop(endpoint_id, None)
        return self._handle_missing(endpoint_id, now)

    def apply_listing(
        self, listed: collections.abc.Collection[str], now: float, revision: float = math.inf
    ) -> list[str]:
        """Applies the store's complete list of ids; returns those that were removed at once.

        Args:
          revision: The list's revision. It says nothing of later registrations, which another
            process may have told of while the list was read.
        """

        def is_missing(endpoint_id: str) -> bool:
            return endpoint_id not in listed and self.revision_of(endpoint_id) <= revision

        self._withheld = {k: each for k, each in self._withheld.items() if not is_missing(k)}
        missing = [endpoint_id for endpoint_id in self._endpoints if is_missing(endpoint_id)]
        return [endpoint_id for endpoint_id in missing if self._handle_missing(endpoint_id, now)]

    def kept_for(self, endpoint_id: str, now: float) -> float:
        """Returns for how long an endpoint without a registration is kept; zero if it is not."""
        return max(0.0, self._grace_ends_at.get(endpoint_id, now) - now)

    def failed_ago(self, now: float) -> float:
        """Returns the seconds since the store could not be reached; infinite if it always was."""
        return now - self._store_failed_at

    def expire(self, now: float) -> list[str]:
        """Removes the endpoints whose grace period has ended; returns their ids."""
        expired = [name for name, end in self._grace_ends_at.items() if now >= end]
        for endpoint_id in expired:
            self._remove(endpoint_id, now)
        return expired

    def is_withheld(self, endpoint_id: str) -> bool:
        """Returns whether the registration of an endpoint is withheld."""
        return endpoint_id in self._withheld

    def list_withheld(self, now: float) -> list[ListedEndpoint]:
        """Lists the endpoints that are withheld no longer; returns them."""
        due = [each.endpoint for each in self._withheld.values() if now >= each.until]
        for endpoint in due:
            self._list(endpoint)
        return due

    def _handle_missing(self, endpoint_id: str, now: float) -> bool:
        if endpoint_id not in self._endpoints:
            return False
        leaving = self._endpoints[endpoint_id].leaving
        if now - self._store_failed_at <= STORE_FAILURE_SECONDS and not leaving:
            ends_at = min(now + GRACE_SECONDS, self._store_failed_at + RETURN_SECONDS)
            self._grace_ends_at.setdefault(endpoint_id, ends_at)
            return False
        self._remove(endpoint_id, now)
        return True

    def _forget_removals(self, now: float) -> None:
        recent = now - REMOVALS_KEPT_SECONDS
        self._removals = {key: r for key, r in self._removals.items() if r.removed_at >= recent}

    def _remove(self, endpoint_id: str, now: float) -> None:
        self._grace_ends_at.pop(endpoint_id, None)
        self._announced.record_unlisted(endpoint_id)
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self._forget_removals(now)
            self._removals[endpoint_id] = _Removal(endpoint.started_at, now)
            self.version += 1
