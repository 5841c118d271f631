"""Issues idempotency keys, with no round trip and nothing to remember."""

import random

from ..core.awake_clock import awake_seconds
from ..core.errors import CodedError
from ..decisions.idempotency_key import IdempotencyKey, make_key
from ..decisions.uptime_estimator import UptimeEstimator
from .endpoint_table import EndpointTable, EndpointView

CALLER_KEY_SECONDS = 300.0
SAMPLED_ENDPOINTS = 2


class KeyIssuer:
    """Issues keys in the time of the sidecar that each names."""

    __slots__ = ("_table", "_clocks", "_random")

    def __init__(self, table: EndpointTable) -> None:
        self._table = table
        # By endpoint name, so that replaced incarnations do not pile up.
        self._clocks: dict[str, tuple[str, UptimeEstimator]] = {}
        self._random = random.Random()

    def issue(self, service: str, lifetime: float = CALLER_KEY_SECONDS) -> IdempotencyKey:
        """Returns a key for an endpoint of a service, one with little of our work.

        Raises:
          CodedError: No endpoint can take work now; outcome NOT_RUN.
        """
        candidates = self._table.candidates("", service)
        if not candidates:
            raise CodedError("no_endpoint", "no endpoint can answer now", 503, retry_after=1.0)
        sampled = self._random.sample(candidates, min(SAMPLED_ENDPOINTS, len(candidates)))
        return self.issue_for(min(sampled, key=lambda view: view.in_progress), lifetime)

    async def issue_soon(self, service: str, lifetime: float, deadline: float) -> IdempotencyKey:
        """Returns a key as issue does, where all endpoints are silent once one is heard again.

        Raises:
          CodedError: None was by a deadline of the event loop's clock, or in time; as above.
        """
        try:
            return self.issue(service, lifetime)
        except CodedError:
            if not await self._table.wait_until_heard("", service, deadline):
                raise
        return self.issue(service, lifetime)

    def issue_for(self, view: EndpointView, lifetime: float) -> IdempotencyKey:
        """Returns a key that only the endpoint's present incarnation may run."""
        uptime = self.uptime(view, view.status.incarnation)
        return make_key(view.instance.name, view.status.incarnation, uptime or 0.0, lifetime)

    def uptime(self, view: EndpointView, incarnation: str) -> float | None:
        """Returns how long an incarnation has run at least, or None where it was not heard."""
        status = view.status
        if status is None or status.incarnation != incarnation:
            return None
        known = self._clocks.get(status.name)
        if known is None or known[0] != incarnation:
            known = (incarnation, UptimeEstimator(status.uptime, view.told_at))
            self._clocks[status.name] = known
        known[1].record(status.uptime, view.told_at)
        return known[1].uptime(awake_seconds())
