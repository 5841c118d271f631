"""The endpoints of one model or plain service, and the requests that wait for them."""

import asyncio
import random
import statistics

from ..core.boot_clock import boot_seconds
from ..core.instance import InstanceState
from ..decisions.admission_queue import RESERVED_FRACTION, AdmissionQueue
from ..decisions.endpoint_health import Health
from ..decisions.endpoint_rests import EndpointRests, EndpointRun
from ..decisions.endpoint_state import EndpointState
from ..decisions.prefix_affinity import PrefixRing
from ..decisions.routing import EndpointPool
from ..decisions.ticket import Ticket
from .endpoint_table import EndpointTable, EndpointView

REFRESH_SECONDS = 0.1


class TargetPool:
    """Copies the endpoint table into the state that decisions use, at most ten times a second.

    Between two refreshes a decision touches only the few endpoints that it samples, so its cost
    does not grow with the number of endpoints.
    """

    def __init__(
        self, model: str, service: str, region: str, data_centre: str, rng: random.Random
    ) -> None:
        self.model = model
        self.service = service
        # Models serve a single class of requests, so no room is reserved for another class.
        self.queue = AdmissionQueue(0.0 if model else RESERVED_FRACTION)
        self.waiters: dict[Ticket, asyncio.Future[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.median_token_seconds = 0.0
        self.fastest_token_seconds = 0.0
        self.views: dict[str, EndpointView] = {}
        self.states: dict[str, EndpointState] = {}
        self.endpoints = EndpointPool((), rng)
        self.ring = PrefixRing(())
        self._region = region
        self._data_centre = data_centre
        self._rng = rng
        self._refreshed_at = float("-inf")
        self._addresses: dict[str, tuple[str, int]] = {}
        self._reported_at: dict[str, float] = {}
        self._rests = EndpointRests()

    def refresh(self, table: EndpointTable, now: float) -> bool:
        """Reads the table unless it was read recently; returns whether it did."""
        if now - self._refreshed_at < REFRESH_SECONDS:
            return False
        self._refreshed_at = now
        views = {view.instance.name: view for view in table.candidates(self.model, self.service)}
        self._update_views(views)
        seconds = [
            state.health.token_seconds
            for state in self.states.values()
            if state.health.token_seconds and state.health.health is Health.HEALTHY
        ]
        self.median_token_seconds = statistics.median(seconds) if seconds else 0.0
        self.fastest_token_seconds = min(seconds, default=0.0)
        for name, view in views.items():
            self.record_report(name, view, now)
        limits = [
            state.limit.value
            for state in self.states.values()
            if state.health.may_receive(now) and self.accepts_work(state.name)
        ]
        self.queue.set_limit(sum(limits))
        return True

    def invalidate(self) -> None:
        """Makes the next decision read the table again, because something has changed."""
        self._refreshed_at = float("-inf")

    def record_report(self, name: str, view: EndpointView, now: float) -> None:
        """Records a view's load if it is newer than the last one recorded."""
        if view.status is None or view.last_status_at <= self._reported_at.get(name, float("-inf")):
            return
        self._reported_at[name] = view.last_status_at
        # A plain service reports no load; its placeholder must not be counted as one slot.
        if self.model:
            run_seconds = self.queue.mean_run_seconds
            self.states[name].record_report(view.status.load, run_seconds, now)

    def peer_token_seconds(self, state: EndpointState, now: float) -> float:
        """Returns the median seconds per token of an endpoint's healthy peers, or zero.

        It is computed when needed, because the values of the last refresh may date from before
        all endpoints became slow. The endpoint itself is left out: without healthy peers no
        endpoint could serve its callers faster.
        """
        paces = [
            peer.seconds_per_token(now)
            for peer in self.states.values()
            if peer is not state
            and peer.health.health is Health.HEALTHY
            and peer.health.token_seconds
            and self.accepts_work(peer.name)
        ]
        return statistics.median(paces) if paces else 0.0

    def accepts_work(self, name: str) -> bool:
        """Returns whether an endpoint takes new work, as far as this entry knows right now."""
        view = self.views[name]
        status = view.status
        return (
            status is not None
            and not self.rest_seconds(name)
            and not status.leaving
            and not view.lost
            and status.load.slots > 0
            and view.instance.state is InstanceState.LIVE
        )

    def record_rest(self, name: str, seconds: float) -> None:
        """Records that an endpoint wants no more requests from this entry for some time."""
        if name in self.views:
            self._rests.record(self._run_of(name), seconds, boot_seconds())
            self.invalidate()

    def rest_seconds(self, name: str) -> float:
        """Returns for how long an endpoint still wants no requests; zero if it takes them."""
        return self._rests.seconds_left(self._run_of(name), boot_seconds())

    def resting_count(self) -> int:
        """Returns how many endpoints want no requests now."""
        return self._rests.count(boot_seconds())

    def seconds_until_usable(self, now: float) -> float:
        """Returns the seconds until an endpoint takes a request or a probe; zero if one does."""
        waits = [
            max(state.health.probe_at - now, self.rest_seconds(state.name))
            for state in self.states.values()
        ]
        return max(0.0, min(waits)) if waits else 0.0

    def _run_of(self, name: str) -> EndpointRun:
        status = self.views[name].status
        return name, "" if status is None else status.incarnation

    def _update_views(self, views: dict[str, EndpointView]) -> None:
        addresses = {
            name: (view.instance.host, view.instance.http_port) for name, view in views.items()
        }
        self.views = views
        if addresses == self._addresses:
            return
        states = {}
        for name, view in views.items():
            known = self.states.get(name)
            if known is None or self._addresses.get(name) != addresses[name]:
                known = EndpointState(name, self._tier_of(view), self._rng)
                self._reported_at.pop(name, None)
            states[name] = known
        if states.keys() != self.states.keys():
            self.ring = PrefixRing(states)
        self.states = states
        self._addresses = addresses
        self._reported_at = {name: at for name, at in self._reported_at.items() if name in states}
        self.endpoints = EndpointPool(states.values(), self._rng)

    def _tier_of(self, view: EndpointView) -> int:
        if view.instance.region != self._region:
            return 2 if self._region else 0
        return 0 if view.instance.data_centre == self._data_centre else 1
