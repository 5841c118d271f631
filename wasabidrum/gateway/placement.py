"""Joins what is registered with this entry's own counts, and asks the decisions where to go."""

import asyncio
import dataclasses
import random
import typing

from ..config.deployment import Bounds
from ..core.listed_endpoint import ListedEndpoint
from ..core.published import EngineFigures
from ..core.request_head import RequestHead
from ..core.route import Route, RouteKind
from ..core.status import Status
from ..decisions.endpoint_assignment import assign_endpoints
from ..decisions.endpoint_choice import (
    FIRST_EVENT_LIMIT_FRACTION,
    Candidate,
    Choice,
    Demand,
    choose,
)
from ..decisions.endpoint_health import Health, is_silent
from ..decisions.endpoint_load import EndpointLoad
from ..decisions.engine_forecast import pass_seconds
from ..decisions.entry_roster import HostPort
from ..decisions.request_recall import is_stalled
from ..decisions.retry_budget import RetryBudget
from ..observe.event import Event
from ..observe.event_log import EventLog
from .published_state import PublishedState
from .reported_statuses import ReportedStatuses
from .service_traffic import ServiceTraffic

# A plain service's call is short; one is refused only where it could not end in its time.
PLAIN_LATEST_FRACTION = 0.5
# The part of the users' retries that entries use themselves; callers of one service may send to
# endpoints of others, and entries count each other only roughly.
RETRY_PART = 0.7
FEWEST_ENTRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """An endpoint that was chosen, with what is counted of it.

    Attributes:
      weights: The version of the weights that must answer; zero for a plain service.
      seconds: The first event that was forecast.
      raw: The same by the engine's figures alone.
    """

    endpoint: ListedEndpoint
    load: EndpointLoad
    weights: int
    seconds: float
    raw: float = 0.0


class PeerEntries(typing.Protocol):
    """What is known of the other entries."""

    @property
    def count(self) -> int:
        """How many entries there are, this one included."""

    @property
    def own(self) -> HostPort:
        """This entry, as the others know it."""

    def nearby(self) -> list[HostPort]:
        """Returns the entries of this one's data centre, in an order that all agree on."""


class Placer:
    """The endpoints of one entry, and what it knows of each."""

    __slots__ = ("_state", "_log", "_near", "_loads", "_rng", "_budgets", "_bounds")
    __slots__ += ("_told", "_peer_entries", "_traffic", "_first", "_dealt_for")

    def __init__(
        self,
        state: PublishedState,
        log: EventLog,
        data_centre: str,
        bounds: Bounds,
        peer_entries: PeerEntries,
    ) -> None:
        self._state = state
        self._log = log
        self._near = data_centre
        self._bounds = bounds
        self._peer_entries = peer_entries
        self._traffic: dict[str, ServiceTraffic] = {}
        self._first: frozenset[str] = frozenset()
        self._dealt_for: tuple[object, ...] = ()
        self._loads: dict[tuple[str, int], EndpointLoad] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._told = ReportedStatuses()
        self._rng = random.Random()

    @property
    def rng(self) -> random.Random:
        """The entry's source of chance."""
        return self._rng

    def load_of(self, endpoint: ListedEndpoint) -> EndpointLoad:
        """Returns what is known of one run of an endpoint."""
        key = (endpoint.id, endpoint.started_at)
        load = self._loads.get(key)
        if load is None:
            self._forget_unlisted()
            load = self._loads[key] = EndpointLoad(self._rng)
        return load

    def budget(self, service: str) -> RetryBudget:
        """Returns the retries that a service may still be sent."""
        budget = self._budgets.get(service)
        if budget is None:
            entries = max(FEWEST_ENTRIES, self._peer_entries.count)
            part = RETRY_PART * self._bounds.retry_extra / entries
            earned = RETRY_PART * self._bounds.retry_fraction
            budget = self._budgets[service] = RetryBudget(earned, part, part)
        return budget

    def pick_service(self, route: Route) -> str:
        """Returns the service that a request of a route goes to, by the targets' weights."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [max(0.0, target.weight) for target in route.targets]
        if not any(weights):
            return route.targets[0].service
        return self._rng.choices(route.targets, weights)[0].service

    def choose(
        self,
        route: Route,
        service: str,
        head: RequestHead,
        tried: frozenset[str],
        weights: int,
        leaves_in: float,
        moved: bool = False,
    ) -> Choice:
        """Chooses an endpoint that was not tried yet; counts nothing.

        Args:
          weights: The version that must answer, for a stream that goes on; zero for any.
          leaves_in: The seconds until its caller leaves.
          moved: It is given up at another endpoint.
        """
        now = asyncio.get_running_loop().time()
        figures = self._state.engine_of(service)
        self._deal()
        candidates = self._candidates(service, figures, tried, weights, now)
        if figures is None:
            latest = leaves_in * PLAIN_LATEST_FRACTION
        else:
            latest = min(leaves_in, route.target_latency * FIRST_EVENT_LIMIT_FRACTION)
        risky = route.kind is RouteKind.UNSAFE or not route.idempotent
        traffic = self.traffic(service)
        demand = Demand(
            head.prompt_tokens,
            latest,
            risky,
            others_rate=self._others_rate(traffic, len(candidates), now),
            corrections=traffic.bias.corrections(now),
            refused_share=traffic.refused_share(now),
            moved=moved,
            caller_leaves_in=leaves_in,
        )
        return choose(candidates, figures, demand, now, self._rng)

    def placed_by(self, choice: Choice) -> Placed | None:
        """Returns the endpoint that was chosen with what is counted of it, or None."""
        if choice.candidate is None:
            return None
        endpoint, load = choice.candidate.endpoint, choice.candidate.load
        is_engine = self._state.engine_of(endpoint.service) is not None
        version = endpoint.weights if is_engine else 0
        return Placed(endpoint, load, version, choice.seconds, choice.uncorrected_seconds)

    def record_refusal(self, service: str) -> None:
        """Counts a request that no endpoint could take."""
        self.traffic(service).refusals.record(asyncio.get_running_loop().time())

    def traffic(self, service: str) -> ServiceTraffic:
        """Returns what this entry sends to a service."""
        traffic = self._traffic.get(service)
        if traffic is None:
            traffic = self._traffic[service] = ServiceTraffic()
        return traffic

    def begin(self, placed: Placed, prompt_tokens: int) -> None:
        """Counts a request that is sent to its endpoint."""
        now = asyncio.get_running_loop().time()
        placed.load.record_placed(prompt_tokens, now, placed.seconds)
        self.traffic(placed.endpoint.service).rate.record(now)

    def record_first_event(self, placed: Placed, prompt_tokens: int, seconds: float) -> None:
        """Records a request's first event, some seconds after it was placed."""
        now = asyncio.get_running_loop().time()
        placed.load.record_first_event(prompt_tokens, now)
        placed.load.lateness.record(seconds - placed.seconds, now)
        self.traffic(placed.endpoint.service).bias.record(placed.raw, seconds, now)

    def record_waiting(self, placed: Placed, placed_at: float) -> None:
        """Records that a request has not begun yet, which may be later than forecast."""
        now = asyncio.get_running_loop().time()
        placed.load.lateness.record(now - placed_at - placed.seconds, now)

    def record_failure(self, placed: Placed, reason: str) -> None:
        """Records a failure that may be the endpoint's own."""
        now = asyncio.get_running_loop().time()
        placed.load.record_outcome(True, now)
        if placed.load.health.record_failure(now):
            self._tell_ejected(placed.endpoint, placed.load, reason)

    def record_missing_weights(self, placed: Placed) -> None:
        """Records that an engine does not hold the weights on which a request was placed there."""
        now = asyncio.get_running_loop().time()
        self._told.record_refusal(placed.endpoint.id, now)
        placed.load.health.end_probe(now)

    def record_success(self, placed: Placed) -> None:
        """Records a whole answer."""
        placed.load.record_outcome(False, asyncio.get_running_loop().time())
        if placed.load.health.record_success(0.0):
            self._log.write(Event.ENDPOINT_RETURNED, endpoint=placed.endpoint.id)

    def record_no_verdict(self, placed: Placed) -> None:
        """Records the end of a request that tells nothing of the endpoint."""
        placed.load.health.end_probe(asyncio.get_running_loop().time())

    def take_status(self, status: Status) -> None:
        """Takes what the sidecar beside an engine tells of it."""
        now = asyncio.get_running_loop().time()
        self._told.take(status, now)
        load = status.load
        figures = self._state.engine_of(status.service)
        lag = figures.report_lag if figures is not None else 0.0
        for endpoint in self._state.endpoints.endpoints:
            if endpoint.host == status.host and endpoint.service == status.service:
                self.load_of(endpoint).record_report(
                    load.running, load.waiting, load.pace, now, lag
                )
        if status.model and status.wanted_version.isdecimal():
            self._state.record_reported_version(
                status.model, int(status.wanted_version), status.wanted_seconds
            )

    def _candidates(
        self,
        service: str,
        figures: EngineFigures | None,
        tried: frozenset[str],
        weights: int,
        now: float,
    ) -> list[Candidate]:
        found = []
        one_pass = 0.0 if figures is None else pass_seconds(figures, figures.slots)
        for listed in self._state.endpoints.endpoints:
            if listed.service != service or listed.leaving or listed.id in tried:
                continue
            endpoint = listed if figures is None else self._told.with_reported_weights(listed, now)
            load = self.load_of(endpoint)
            late = load.lateness.worst(now)
            if figures is not None and not self._may_answer(endpoint, weights, late):
                continue
            near = endpoint.data_centre == self._near
            first = figures is None or endpoint.id in self._first
            self._judge_silence(endpoint, load, one_pass or load.run_seconds, now)
            found.append(Candidate(endpoint, load, near, first, late))
        return found

    def is_stalled(self, placed: Placed, heard_at: float, begun: bool) -> bool:
        """Returns whether a request waits at an endpoint that stands still.

        Args:
          heard_at: When something came of it, or it was placed.
        """
        now = asyncio.get_running_loop().time()
        figures = self._state.engine_of(placed.endpoint.service)
        one_pass = 0.0 if figures is None else pass_seconds(figures, figures.slots)
        usual = one_pass or placed.load.run_seconds
        self._judge_silence(placed.endpoint, placed.load, usual, now)
        # Its work is what shows that it stands still. Moved before the verdict, none would be left
        # to show it, and new work would go there.
        if placed.load.health.health is Health.HEALTHY:
            return False
        forecast = 0.0 if begun else placed.seconds
        silent = is_silent(placed.load.silent_seconds(now), usual)
        return silent and is_stalled(now - heard_at, forecast, usual)

    def _judge_silence(
        self, endpoint: ListedEndpoint, load: EndpointLoad, usual: float, now: float
    ) -> None:
        """Leaves out one that holds this entry's requests and says nothing.

        Args:
          usual: The seconds in which something comes from it as a rule.
        """
        silent = load.silent_seconds(now)
        if load.health.record_silence(silent, usual, now):
            self._tell_ejected(endpoint, load, f"silent for {silent:.2f} s")

    def _tell_ejected(self, endpoint: ListedEndpoint, load: EndpointLoad, reason: str) -> None:
        self._log.write(
            Event.ENDPOINT_EJECTED,
            endpoint=endpoint.id,
            health=load.health.health.value,
            reason=reason,
        )

    def _others_rate(self, traffic: ServiceTraffic, endpoints: int, now: float) -> float:
        """Returns how many requests a second others send to each endpoint, on average."""
        return traffic.rate.per_second(now) * (self._peer_entries.count - 1) / max(1, endpoints)

    def _deal(self) -> None:
        """Finds out which engines this entry sends to first, where anything has changed."""
        entries = self._peer_entries.nearby()
        state = (self._state.endpoints.version, tuple(entries))
        if state == self._dealt_for:
            return
        self._dealt_for = state
        by_service: dict[str, list[str]] = {}
        for endpoint in self._state.endpoints.endpoints:
            if endpoint.data_centre == self._near and not endpoint.leaving:
                by_service.setdefault(endpoint.service, []).append(endpoint.id)
        shares = (
            assign_endpoints(ids, entries, self._peer_entries.own) for ids in by_service.values()
        )
        self._first = frozenset().union(*shares)

    def _may_answer(self, endpoint: ListedEndpoint, weights: int, late: float) -> bool:
        """Returns whether a request may be placed on what an engine holds.

        Args:
          late: By how many seconds requests have lately begun there later than forecast.
        """
        if not endpoint.whole or endpoint.weights <= 0:
            return False
        if weights and endpoint.weights != weights:
            return False
        return endpoint.weights >= self._state.oldest_to_place(endpoint.model, late)

    def _forget_unlisted(self) -> None:
        listed = {(e.id, e.started_at) for e in self._state.endpoints.endpoints}
        for key in [
            k for k, load in self._loads.items() if k not in listed and not load.own_requests
        ]:
            del self._loads[key]
