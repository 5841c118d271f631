"""Issues idempotency keys without contacting a sidecar and without storing anything."""

import random

from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..decisions.idempotency_key import IdempotencyKey, make_key
from ..decisions.uptime_estimator import UptimeEstimator
from .endpoint_table import EndpointTable, EndpointView

CALLER_KEY_LIFETIME_SECONDS = 300.0
SAMPLED_ENDPOINTS = 2


class KeyIssuer:
    """Issues keys whose times are expressed in the uptime of the sidecar that each names."""

    __slots__ = ("_table", "_clocks", "_random")

    def __init__(self, table: EndpointTable) -> None:
        self._table = table
        # Keyed by endpoint name, so that entries for replaced incarnations do not accumulate.
        self._clocks: dict[str, tuple[str, UptimeEstimator]] = {}
        self._random = random.Random()

    def issue(self, service: str, lifetime: float = CALLER_KEY_LIFETIME_SECONDS) -> IdempotencyKey:
        """Returns a key for an endpoint of a service, the less loaded of a few drawn at random.

        Raises:
          CodedError: No endpoint can take work now; outcome NOT_RUN.
        """
        candidates = self._table.candidates("", service)
        if not candidates:
            raise CodedError("no_endpoint", "no endpoint can issue a key now", 503, retry_after=1.0)
        sampled = self._random.sample(candidates, min(SAMPLED_ENDPOINTS, len(candidates)))
        return self.issue_for(min(sampled, key=lambda view: view.in_progress), lifetime)

    async def issue_or_wait(self, service: str, lifetime: float, deadline: float) -> IdempotencyKey:
        """Returns a key as issue does; if all endpoints are silent, waits for a status of one.

        Raises:
          CodedError: No endpoint can take work, or none reported by the deadline, which is a
            time of the event loop's clock; outcome NOT_RUN.
        """
        try:
            return self.issue(service, lifetime)
        except CodedError:
            if not await self._table.wait_for_status("", service, deadline):
                raise
        return self.issue(service, lifetime)

    def issue_for(self, view: EndpointView, lifetime: float) -> IdempotencyKey:
        """Returns a key that only the endpoint's current incarnation may execute."""
        uptime = self.uptime(view, view.status.incarnation)
        return make_key(view.instance.name, view.status.incarnation, uptime or 0.0, lifetime)

    def uptime(self, view: EndpointView, incarnation: str) -> float | None:
        """Returns a lower bound of an incarnation's uptime, or None if its status is unknown."""
        status = view.status
        if status is None or status.incarnation != incarnation:
            return None
        known = self._clocks.get(status.name)
        if known is None or known[0] != incarnation:
            known = (incarnation, UptimeEstimator(status.uptime, view.last_status_boot_time))
            self._clocks[status.name] = known
        known[1].record(status.uptime, view.last_status_boot_time)
        return known[1].uptime(boot_seconds())
