"""The placing rule for endpoints that are cold; see decisions/cold_endpoints.py."""

import collections.abc

from ..config.deployment import Bounds
from ..core.boot_clock import boot_seconds
from ..core.listed_endpoint import ListedEndpoint
from ..core.request_scope import RequestScope
from ..decisions.cold_endpoints import ColdEndpoints, ColdLimit
from ..decisions.rate_shares import EndpointRun, Entries
from ..decisions.route_table import RouteTable
from ..observe.event import Event
from ..observe.event_log import EventLog
from .published_state import PublishedState

# The error code of a request for which only cold endpoints are left, and these have no room.
COLD_CODE = "endpoints_cold"


def never_back(data_centre: str) -> float | None:
    """The default for what tells when a data centre came back; none ever has."""


class ColdEndpointRule:
    """Leaves out cold endpoints that may get no more requests from this entry now.

    It is inactive while no service states what its cold endpoints tolerate, and while none of their
    endpoints is cold.
    """

    __slots__ = ("_state", "_find_entries", "_bounds", "_log", "_cold", "_limits", "_limits_of")
    __slots__ += ("_data_centres", "_find_back_at", "_back_at")

    def __init__(
        self,
        state: PublishedState,
        find_entries: collections.abc.Callable[[], Entries],
        bounds: Bounds,
        log: EventLog,
        data_centres: collections.abc.Iterable[str] = (),
        find_back_at: collections.abc.Callable[[str], float | None] = never_back,
    ) -> None:
        """Creates the rule.

        Args:
          find_entries: Returns the entries that share the limits.
          data_centres: Those whose endpoints may all come back together.
          find_back_at: Returns when the endpoints of a data centre were last allowed again, by the
            boot clock; None if they were never forbidden.
        """
        self._state = state
        self._find_entries = find_entries
        self._bounds = bounds
        self._log = log
        self._cold = ColdEndpoints()
        # The limits by service, and the configuration that they are from.
        self._limits: dict[str, ColdLimit] = {}
        self._limits_of: RouteTable | None = None
        self._data_centres = tuple(data_centres)
        self._find_back_at = find_back_at
        self._back_at: dict[str, float | None] = {}

    @property
    def code(self) -> str:
        """See PlacingRule."""
        return COLD_CODE

    @property
    def active(self) -> bool:
        """See PlacingRule."""
        if not self._limits_in_force() and not self._cold:
            return False
        self._record_returned_data_centres()
        self._expire()
        return bool(self._cold)

    @property
    def count(self) -> int:
        """The number of endpoints that are cold."""
        self._expire()
        return self._cold.count(boot_seconds())

    def is_cold(self, endpoint: ListedEndpoint) -> bool:
        """Returns whether an endpoint is cold."""
        return bool(self._cold) and self._cold.is_cold(run_of(endpoint), boot_seconds())

    def seconds_until_allowed(
        self, endpoint: ListedEndpoint, scope: RequestScope, now: float
    ) -> float:
        """See PlacingRule."""
        return self._cold.seconds_until_room(
            run_of(endpoint), endpoint.data_centre, self._find_entries, now
        )

    def still_allows(self, endpoint: ListedEndpoint, scope: RequestScope, now: float) -> bool:
        """See PlacingRule; allows_placed_at decides."""
        return True

    def allows_placed_at(self, endpoint: ListedEndpoint, placed_at: float, now: float) -> bool:
        """See DelayRule."""
        if endpoint.service in self._limits:
            listed = self._state.endpoints.get(endpoint.id)
            # A later run at the same address would get the request.
            if listed is not None and listed.started_at != endpoint.started_at:
                return False
        return self._cold.allows_placed_at(run_of(endpoint), placed_at, now)

    def record_sent(self, endpoint: ListedEndpoint, now: float) -> None:
        """See PlacingRule."""
        if self._cold:
            self._cold.record_sent(run_of(endpoint))

    def record_listing(
        self, endpoint: ListedEndpoint, before: ListedEndpoint | None, not_before: float
    ) -> None:
        """Records a new registration of an endpoint.

        Args:
          before: What was registered before; None if the endpoint was not listed.
          not_before: A time by the boot clock before which the store had certainly not got it.
        """
        limit = self._limits_in_force().get(endpoint.service)
        if limit is None:
            return
        new_run = before is None or before.started_at != endpoint.started_at
        # What the first snapshot lists may have run for long.
        started = new_run and (bool(self._state.revision) or endpoint.cold_seconds is None)
        stated, now = endpoint.cold_seconds, boot_seconds()
        run = run_of(endpoint)
        if self._cold.record_listing(run, limit, stated, started, not_before, now):
            self._log_cold(endpoint, "started" if started else "registered", now)

    def record_answer(self, endpoint: ListedEndpoint, stated: float, placed_at: float) -> None:
        """Records for how many seconds an endpoint is cold, as it has stated in an answer.

        Args:
          placed_at: When the request was placed, by the boot clock.
        """
        limit = self._limits_in_force().get(endpoint.service)
        if limit is None:
            return
        now = boot_seconds()
        if self._cold.record_answer(run_of(endpoint), limit, stated, placed_at, now):
            self._log_cold(endpoint, "answered", now)

    def record_returned(self, endpoint: ListedEndpoint) -> None:
        """Records that an endpoint answers again that was silent or failing."""
        limit = self._limits_in_force().get(endpoint.service)
        if limit is None:
            return
        now = boot_seconds()
        if self._cold.record_restart(run_of(endpoint), limit, "returned", now):
            self._log_cold(endpoint, "returned", now)

    def _record_returned_data_centres(self) -> None:
        now = boot_seconds()
        for data_centre in self._data_centres:
            back_at = self._find_back_at(data_centre)
            if back_at is None or back_at == self._back_at.get(data_centre):
                continue
            self._back_at[data_centre] = back_at
            for endpoint in self._state.endpoints.endpoints:
                limit = self._limits.get(endpoint.service)
                if limit is None or endpoint.data_centre != data_centre:
                    continue
                run = run_of(endpoint)
                if self._cold.record_restart(run, limit, "data_centre_back", now, back_at):
                    self._log_cold(endpoint, "data_centre_back", now)

    def _limits_in_force(self) -> dict[str, ColdLimit]:
        """Returns what the cold endpoints of each service tolerate, where that is limited."""
        routes = self._state.routes
        if routes is not self._limits_of and routes is not None:
            self._limits_of = routes
            bounds = self._bounds
            self._limits = {
                service.name: ColdLimit(
                    service.cold_rate * bounds.cold_factor + bounds.cold_extra,
                    service.cold_seconds,
                )
                for service in routes.configuration.services
                if service.cold_rate > 0.0
            }
        return self._limits

    def _expire(self) -> None:
        for run, known in self._cold.expire(boot_seconds()):
            reason = "stated" if known.stated_warm else "time"
            seconds = round(known.until - known.since, 3)
            self._log.write(Event.ENDPOINT_WARM, endpoint=run[0], reason=reason, seconds=seconds)

    def _log_cold(self, endpoint: ListedEndpoint, reason: str, now: float) -> None:
        seconds = round(self._cold.seconds_left(run_of(endpoint), now), 3)
        self._log.write(Event.ENDPOINT_COLD, endpoint=endpoint.id, reason=reason, seconds=seconds)


def run_of(endpoint: ListedEndpoint) -> EndpointRun:
    """Returns what tells a run of an endpoint from its other runs."""
    return endpoint.id, endpoint.started_at
