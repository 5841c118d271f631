"""Chooses endpoints for requests, from what is registered and what this entry has measured.

The rules of the choice are in decisions/endpoint_choice.py. This module collects their inputs:
the registered endpoints, the statuses that sidecars report, and this entry's own counts.
"""

import asyncio
import dataclasses
import random
import typing

from ..config.deployment import Bounds
from ..core.boot_clock import boot_seconds
from ..core.listed_endpoint import ListedEndpoint
from ..core.published import EngineFigures
from ..core.request_head import RequestHead
from ..core.request_scope import RequestScope
from ..core.route import Route, RouteKind
from ..core.status import Status
from ..decisions import engine_memory, request_rank
from ..decisions.admission_order import AT_SHARE_POSITION
from ..decisions.demand_assignment import assign_by_demand
from ..decisions.endpoint_choice import (
    Candidate,
    Choice,
    Demand,
    choose,
    retry_after_overload,
)
from ..decisions.endpoint_health import Health, is_silent
from ..decisions.endpoint_load import EndpointLoad
from ..decisions.endpoint_rests import EndpointRests
from ..decisions.engine_forecast import (
    answer_seconds,
    extra_read_seconds,
    free_slot_seconds,
    pass_seconds,
    run_seconds,
)
from ..decisions.entry_roster import HostPort
from ..decisions.first_event_limit import Caller, first_event_limit
from ..decisions.rate_shares import Entries
from ..decisions.request_recall import is_stalled
from ..decisions.shared_retry_budget import RetryAllowance, SharedRetryBudget
from ..decisions.stated_limits import StatedLimits
from ..observe.event import Event
from ..observe.event_log import EventLog
from .call import Call
from .cold_endpoint_rule import ColdEndpointRule
from .placing_rules import MAX_RULED_OUT_RETRY_SECONDS, PlacingRules
from .published_state import PublishedState
from .reported_statuses import ReportedStatuses
from .service_orders import ServiceOrders
from .service_traffic import ServiceTraffic

# A call of a plain service is short. It is refused if its forecast exceeds this fraction of the
# time that its caller has left, because it could then not be expected to end in time.
PLAIN_LATEST_FRACTION = 0.5
# Endpoints whose rests end within this time serve the callers that come back after the first rest.
RETURN_SECONDS = 1.0
MIN_SERVED_PER_SECOND = 0.1
MIN_RUN_SECONDS = 0.001
# The codes of attempts whose connection could not be opened.
UNREACHABLE_CODES = frozenset(("endpoint_down", "endpoint_unreachable"))
# How often engines are assigned again, by what entries have told of their demand meanwhile.
ASSIGNMENT_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A chosen endpoint, with its load.

    Attributes:
      weights: The version of the weights that must answer; zero for a plain service.
      forecast_seconds: The forecast time to the first event.
      raw_forecast_seconds: The same from the engine's figures alone, before any correction.
      rank: The place in the engine's queue; None where requests have no order.
      placed_at: When the endpoint was chosen, by the boot clock.
    """

    endpoint: ListedEndpoint
    load: EndpointLoad
    weights: int
    forecast_seconds: float
    raw_forecast_seconds: float = 0.0
    rank: int | None = None
    placed_at: float = dataclasses.field(default_factory=boot_seconds)

    @property
    def queue_priority(self) -> int | None:
        """The priority in the endpoint's queue; None where requests have no order."""
        return None if self.rank is None else request_rank.queue_priority(self.rank)


class PeerEntries(typing.Protocol):
    """What is known of the other entries."""

    @property
    def count(self) -> int:
        """The number of entries, including this one."""

    @property
    def count_to_share(self) -> int | None:
        """The entries that something limited is divided by; None if that cannot be known."""

    @property
    def own_address(self) -> HostPort:
        """The address by which the other entries know this one."""

    def entries(self) -> Entries:
        """Returns the entries that share the limits of endpoints."""

    def local_entries(self) -> list[HostPort]:
        """Returns the entries of this data centre, in the same order at each of them."""

    def local_demands(self, service: str) -> dict[HostPort, float]:
        """Returns the requests per second that callers bring to entries of this data centre.

        This entry is included, with what it has told the others. Demands that are unknown or too
        old are left out.
        """


class Placer:
    """Places the requests of one entry, and keeps what it knows of each endpoint."""

    __slots__ = ("_state", "_log", "_data_centre", "_loads", "_rng", "_retry_budgets", "_bounds")
    __slots__ += ("_statuses", "_peer_entries", "_traffic", "_preferred", "_assigned_for")
    __slots__ += ("_only_entry", "_limits", "_rests", "_rules", "_orders")
    __slots__ += ("_cold_rule",)

    def __init__(
        self,
        state: PublishedState,
        log: EventLog,
        data_centre: str,
        bounds: Bounds,
        peer_entries: PeerEntries,
        limits: StatedLimits,
        only_entry: bool = False,
        rules: PlacingRules | None = None,
        cold_rule: ColdEndpointRule | None = None,
    ) -> None:
        self._state = state
        self._log = log
        self._data_centre = data_centre
        self._bounds = bounds
        self._peer_entries = peer_entries
        self._traffic: dict[str, ServiceTraffic] = {}
        # The engines that this entry sends to first, and the inputs that they were assigned from.
        self._preferred: frozenset[str] = frozenset()
        self._assigned_for: tuple[object, ...] = ()
        self._loads: dict[tuple[str, int], EndpointLoad] = {}
        self._retry_budgets: dict[str, SharedRetryBudget] = {}
        self._only_entry = only_entry
        self._limits = limits
        self._rests = EndpointRests()
        self._rules = rules or PlacingRules()
        self._orders = ServiceOrders(state, log)
        self._cold_rule = cold_rule
        self._statuses = ReportedStatuses()
        self._rng = random.Random()

    @property
    def rng(self) -> random.Random:
        """The entry's random number generator."""
        return self._rng

    @property
    def orders(self) -> ServiceOrders:
        """The order in which requests of each service are admitted."""
        return self._orders

    @property
    def resting_count(self) -> int:
        """The number of endpoints that want no requests from this entry now."""
        return self._rests.count(boot_seconds())

    @property
    def assigned_count(self) -> int:
        """The number of endpoints that this entry sends to first."""
        return len(self._preferred)

    def load_of(self, endpoint: ListedEndpoint) -> EndpointLoad:
        """Returns the load of an endpoint since its last start."""
        key = (endpoint.id, endpoint.started_at)
        load = self._loads.get(key)
        if load is None:
            self._drop_unlisted_loads()
            load = self._loads[key] = EndpointLoad(self._rng)
        return load

    def record_request(self, service: str) -> None:
        """Records a new request, which earns a part of a retry."""
        now = boot_seconds()
        self._retry_budget(service).earn(now, self._peer_entries.count_to_share)
        self.traffic(service).demand.record(asyncio.get_running_loop().time())

    def tell_demands(self) -> dict[str, float]:
        """Returns the demand of each service with engines here, as the other entries are told."""
        now = asyncio.get_running_loop().time()
        told = {}
        for service, engines in self._local_endpoints().items():
            if self._state.engine_figures(service) is not None:
                demands = self._peer_entries.local_demands(service)
                engine_demand = sum(demands.values()) / len(engines)
                rate = self.traffic(service).demand.told(engine_demand, now)
                if rate is not None:
                    told[service] = rate
        return told

    def spend_retry(self, service: str, retries_so_far: int) -> bool:
        """Spends one retry to a service; returns whether this entry had one left."""
        now = boot_seconds()
        entries = self._peer_entries.count_to_share
        return self._retry_budget(service).spend(retries_so_far, now, entries)

    def retries_left(self, service: str) -> float:
        """Returns how many retries to a service this entry may spend now."""
        return self._retry_budget(service).balance

    def pick_service(self, route: Route, head: RequestHead) -> str:
        """Returns one of a route's target services, chosen at random by their weights.

        Services whose engines have too little memory for the request are left out, unless all have.
        """
        if len(route.targets) == 1:
            return route.targets[0].service
        targets = [t for t in route.targets if self._fits(t.service, head)] or route.targets
        weights = [max(0.0, target.weight) for target in targets]
        if not any(weights):
            return targets[0].service
        return self._rng.choices(targets, weights)[0].service

    def choose(
        self,
        scope: RequestScope,
        service: str,
        head: RequestHead,
        tried: frozenset[str],
        weights: int,
        seconds_until_disconnect: float,
        moved: bool = False,
        returning: bool = False,
        share_position: float = AT_SHARE_POSITION,
    ) -> Choice:
        """Chooses an endpoint for a request without recording it.

        Args:
          scope: The request's route and workspace as of when it was accepted.
          tried: The endpoints that the request was already sent to, which are left out.
          weights: The version that must answer, when a stream is resumed; zero for any.
          seconds_until_disconnect: Seconds until the caller will disconnect.
          moved: The request is being recalled from another endpoint.
          returning: Its caller has waited before; see record_caller.
          share_position: How far its workspace is over its share; see WorkspaceShares.position.
        """
        now = asyncio.get_running_loop().time()
        route = scope.route
        figures = self._state.engine_figures(service)
        self._assign_endpoints()
        candidates = self._candidates(service, figures, tried, weights, now)
        again = [e for e in self._listed(service) if e.id in tried] if tried else []
        ruled_out, rule, seconds_until_allowed = self._leave_out_ruled_out(candidates, again, scope)
        resting, seconds_until_rested = self._leave_out_resting(candidates)
        full, seconds_until_room = self._leave_out_limited(candidates)
        filled = self._leave_out_filled(candidates, figures, head, now)
        if filled:
            # About as long until a request there ends as a slot takes to become free.
            seconds = run_seconds(figures, figures.slots) / figures.slots
            seconds_until_room = min(seconds_until_room, seconds) if full else seconds
            full += filled
        traffic = self.traffic(service)
        refused_share = traffic.refused_share(now)
        rank = self._orders.rank(scope, service)
        if figures is None:
            latest = seconds_until_disconnect * PLAIN_LATEST_FRACTION
        elif tried or moved or weights:
            # What was done for it already is lost if it goes no further.
            latest = first_event_limit(Caller(route.target_latency), 0.0)
        else:
            caller = Caller(
                route.target_latency,
                extra_read_seconds(figures, head.prompt_tokens),
                returning,
                free_slot_seconds(figures, head.prompt_tokens),
            )
            admission = self._orders.admission(service, rank, caller, refused_share, share_position)
            rank, latest = admission.rank, admission.latest
            refused_share = admission.refused_share
        if figures is not None:
            latest = min(latest, seconds_until_disconnect)
        risky = route.kind is RouteKind.UNSAFE or not route.idempotent
        demand = Demand(
            head.prompt_tokens,
            latest,
            risky,
            others_rate=self._others_rate(traffic, len(candidates), now),
            corrections=traffic.bias(rank).corrections(now),
            refused_share=refused_share,
            moved=moved,
            may_wait=not moved and not tried,
            caller_leaves_in=seconds_until_disconnect,
            rank=rank,
        )
        choice = choose(candidates, figures, demand, now, self._rng)
        if not full and not resting and not ruled_out:
            return choice
        choice = dataclasses.replace(
            choice,
            known=choice.known + full + resting + ruled_out,
            limited=full,
            resting=resting,
            ruled_out=ruled_out,
            rule=rule,
        )
        if choice.seconds < float("inf"):
            return choice
        retry_after = choice.retry_after if candidates else float("inf")
        if ruled_out:
            retry_after = min(retry_after, seconds_until_allowed, MAX_RULED_OUT_RETRY_SECONDS)
        if full:
            retry_after = retry_after_overload(figures, seconds_until_room, refused_share)
        if any(not self.rest_seconds_left(endpoint) for endpoint in again):
            # One that has turned this request away, and does not rest, may take the next one.
            retry_after = min(retry_after, retry_after_overload(figures, 0.0, refused_share))
        if resting and seconds_until_rested <= retry_after:
            return dataclasses.replace(choice, retry_after=seconds_until_rested, rest_ends=True)
        return dataclasses.replace(choice, retry_after=retry_after)

    def placement_for(self, choice: Choice) -> Placement | None:
        """Returns the placement on the endpoint that was chosen; None for a refusal."""
        if choice.candidate is None:
            return None
        endpoint, load = choice.candidate.endpoint, choice.candidate.load
        is_engine = self._state.engine_figures(endpoint.service) is not None
        version = endpoint.weights if is_engine else 0
        return Placement(
            endpoint, load, version, choice.seconds, choice.uncorrected_seconds, choice.rank
        )

    def needed_seconds(self, placement: Placement, head: RequestHead, longest: bool) -> float:
        """Returns the forecast seconds until the answer of an engine is complete.

        Args:
          longest: Whether the answer is the longest that the request allows, or else a usual one.
        """
        figures = self._state.engine_figures(placement.endpoint.service)
        if figures is None:
            return placement.forecast_seconds
        work = placement.load.work(asyncio.get_running_loop().time())
        tokens = head.max_tokens
        if not longest and tokens > figures.usual_answer:
            tokens = 0
        return placement.forecast_seconds + answer_seconds(figures, work, tokens)

    def record_caller(self, service: str, route: Route, head: RequestHead) -> bool:
        """Records a new request; returns whether its caller has waited before, by what it states.

        Only callers of engines are told apart: those of plain services are served for as long as
        they wait.
        """
        if head.deadline is None or self._state.engine_figures(service) is None:
            return False
        return self.traffic(service).record_wait(route.name, head.deadline)

    def record_refusal(self, service: str) -> None:
        """Records a request that was refused because all endpoints have too much work."""
        self.traffic(service).refusals.record(asyncio.get_running_loop().time())

    def traffic(self, service: str) -> ServiceTraffic:
        """Returns the traffic of this entry to a service."""
        traffic = self._traffic.get(service)
        if traffic is None:
            traffic = self._traffic[service] = ServiceTraffic()
        return traffic

    def record_sent(self, placement: Placement, prompt_tokens: int) -> None:
        """Records a request that is sent, or has a place reserved, at an endpoint."""
        now = asyncio.get_running_loop().time()
        placement.load.record_placed(
            prompt_tokens, now, placement.forecast_seconds, placement.rank or 0
        )
        self.traffic(placement.endpoint.service).rate.record(now)
        endpoint = placement.endpoint
        self._limits.record_sent((endpoint.id, endpoint.started_at), boot_seconds())
        self._rules.record_sent(endpoint, boot_seconds())

    def record_stated_limit(self, placement: Placement, limit: float | None) -> None:
        """Records the limit that an endpoint has stated in an answer; None if it stated none."""
        endpoint = placement.endpoint
        run = (endpoint.id, endpoint.started_at)
        if self._limits.record(run, limit, boot_seconds()):
            self._log.write(Event.LIMIT_STATED, endpoint=endpoint.id, limit=limit, peer="")

    def record_leaving(self, placement: Placement, request_id: str, status: int) -> None:
        """Records that an endpoint has announced in an answer that it leaves."""
        endpoint = placement.endpoint
        if self._state.endpoints.record_leaving(endpoint.id, endpoint.started_at):
            self._log.write(
                Event.ENDPOINT_LEAVING, endpoint=endpoint.id, request=request_id, status=status
            )

    def record_rest(self, placement: Placement, seconds: float) -> None:
        """Records that an endpoint wants no more requests from this entry for some time."""
        endpoint = placement.endpoint
        self._rests.record((endpoint.id, endpoint.started_at), seconds, boot_seconds())
        self._log.write(Event.REST_ASKED, endpoint=endpoint.id, seconds=seconds)

    def rest_seconds_left(self, endpoint: ListedEndpoint) -> float:
        """Returns for how long an endpoint wants no requests from this entry; zero if it does."""
        return self._rests.seconds_left((endpoint.id, endpoint.started_at), boot_seconds())

    def seconds_until_rest_ends(self, service: str) -> float:
        """Returns in how many seconds the first endpoint takes requests; zero if one does now."""
        return min(map(self.rest_seconds_left, self._listed(service)), default=0.0)

    def retry_after_rest(self, service: str, seconds: float, call: Call) -> float:
        """Returns after how many seconds the caller of a request should come back.

        Args:
          seconds: Until the first endpoint takes requests again.
        """
        now, figures = boot_seconds(), self._state.engine_figures(service)
        served_per_second = 0.0
        for endpoint in self._listed(service):
            if self.rest_seconds_left(endpoint) <= seconds + RETURN_SECONDS:
                slots = max(1, endpoint.slots if figures is None else figures.slots)
                run = self.load_of(endpoint).run_seconds(asyncio.get_running_loop().time())
                run = run_seconds(figures, slots) if figures is not None else run
                served_per_second += slots / max(run, MIN_RUN_SECONDS)
        interval = self._peer_entries.count / max(served_per_second, MIN_SERVED_PER_SECOND)
        left = call.caller_seconds_left
        latest = left - call.route.target_latency
        turns = self.traffic(service).return_turns
        return turns.assign(now + seconds, interval, now, left, latest)

    def record_first_event(self, placement: Placement, prompt_tokens: int, seconds: float) -> None:
        """Records the first event of a request, and how long after the placement it arrived."""
        now = asyncio.get_running_loop().time()
        placement.load.record_first_event(prompt_tokens, now, placement.rank or 0)
        placement.load.lateness.record(seconds - placement.forecast_seconds, now)
        self.traffic(placement.endpoint.service).bias(placement.rank).record(
            placement.raw_forecast_seconds, seconds, now
        )

    def record_progress(self, placement: Placement, at: float) -> None:
        """Records that something of an answer arrived, at a time by the event loop's clock."""
        placement.load.record_progress(at)
        if placement.load.health.record_heard():
            self._record_returned(placement)

    def record_waiting(self, placement: Placement, placed_at: float) -> None:
        """Records that a request has not begun yet, and by how much its forecast is exceeded."""
        now = asyncio.get_running_loop().time()
        placement.load.lateness.record(now - placed_at - placement.forecast_seconds, now)

    def record_failure(self, placement: Placement, reason: str) -> None:
        """Records a failure that may be the endpoint's fault."""
        now = asyncio.get_running_loop().time()
        placement.load.record_outcome(True, now)
        if reason in UNREACHABLE_CODES:
            placement.load.unreachable = True
        if placement.load.health.record_failure(now):
            self._log_ejection(placement.endpoint, placement.load, reason)

    def record_missing_weights(self, placement: Placement) -> None:
        """Records that an engine refused a request because it does not hold the weights."""
        now = asyncio.get_running_loop().time()
        self._statuses.record_refusal(placement.endpoint.id, now)
        placement.load.health.end_probe(now)

    def record_success(self, placement: Placement) -> None:
        """Records a complete reply."""
        placement.load.record_outcome(False, asyncio.get_running_loop().time())
        if placement.load.health.record_success(0.0):
            self._record_returned(placement)
        placement.load.unreachable = False

    def _record_returned(self, placement: Placement) -> None:
        self._log.write(Event.ENDPOINT_RETURNED, endpoint=placement.endpoint.id)
        # One whose answers were late or lost meanwhile has not started again.
        if self._cold_rule is not None and placement.load.unreachable:
            self._cold_rule.record_returned(placement.endpoint)

    def record_inconclusive_end(self, placement: Placement) -> None:
        """Records the end of a request that says nothing about the endpoint's health."""
        placement.load.health.end_probe(asyncio.get_running_loop().time())

    def record_load(self, status: Status) -> None:
        """Records the load and the weights in a status that the sidecar of an engine sent."""
        now = asyncio.get_running_loop().time()
        self._statuses.record(status, now)
        load = status.load
        figures = self._state.engine_figures(status.service)
        lag = figures.report_lag if figures is not None else 0.0
        for endpoint in self._state.endpoints.at_host(status.host):
            if endpoint.service == status.service:
                known = self.load_of(endpoint)
                known.record_report(load.running, load.waiting, load.pace, now, lag)
                # A sidecar reports no slots while its engine does not answer.
                if load.slots > 0:
                    known.reported_at = now

    def record_status(self, status: Status) -> None:
        """Records a status that the sidecar of an engine sent."""
        self.record_load(status)
        if status.model and status.wanted_version.isdecimal():
            self._state.record_reported_version(
                status.model, int(status.wanted_version), status.wanted_seconds
            )

    def _listed(self, service: str) -> list[ListedEndpoint]:
        """Returns the endpoints of a service that are not leaving."""
        listed = self._state.endpoints.endpoints
        return [e for e in listed if e.service == service and not e.leaving]

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
            endpoint = (
                listed if figures is None else self._statuses.with_reported_weights(listed, now)
            )
            load = self.load_of(endpoint)
            late = load.lateness.worst(now)
            if figures is not None and not self._can_serve(endpoint, weights, late):
                continue
            near = endpoint.data_centre == self._data_centre
            first = figures is None or endpoint.id in self._preferred
            self._check_silence(endpoint, load, one_pass or load.run_seconds(now), now)
            cold = self._cold_rule is not None and self._cold_rule.is_cold(endpoint)
            found.append(Candidate(endpoint, load, near, first, late, cold))
        return found

    def refusing_rule(
        self, endpoint: ListedEndpoint, accepted: RequestScope, placed_at: float | None = None
    ) -> str:
        """Returns the code of a rule that forbids to send a request; empty if none does.

        Args:
          accepted: The request's route and workspace as of when it was accepted.
          placed_at: When it was placed, by the boot clock; None if nothing is sent yet.
        """
        if not self._rules.active:
            return ""
        scope = self._state.current_scope(accepted)
        return self._rules.refusing_code(endpoint, scope, boot_seconds(), placed_at)

    def _leave_out_ruled_out(
        self,
        candidates: list[Candidate],
        tried: list[ListedEndpoint],
        accepted: RequestScope,
    ) -> tuple[int, str, float]:
        """Removes the endpoints that the rules forbid for a request.

        Args:
          tried: The endpoints that the request was already sent to, which are no candidates.

        Returns:
          How many are forbidden, and the code and the seconds of the shortest wait.
        """
        if not self._rules.active:
            return 0, "", 0.0
        now, scope = boot_seconds(), self._state.current_scope(accepted)
        waits = [(c, *self._rules.first_wait(c.endpoint, scope, now)) for c in candidates]
        candidates[:] = [candidate for candidate, code, _ in waits if not code]
        forbidden = [(seconds, code) for _, code, seconds in waits if code]
        for endpoint in list(tried):
            code, seconds = self._rules.first_wait(endpoint, scope, now)
            if code:
                tried.remove(endpoint)
                forbidden.append((seconds, code))
        seconds, code = min(forbidden, default=(0.0, ""))
        return len(forbidden), code, seconds

    def _leave_out_resting(self, candidates: list[Candidate]) -> tuple[int, float]:
        """Removes the endpoints that want no requests from this entry now.

        Returns:
          How many there are, and in how many seconds the first takes requests again.
        """
        waits = [self.rest_seconds_left(candidate.endpoint) for candidate in candidates]
        pairs = zip(candidates, waits, strict=True)
        candidates[:] = [candidate for candidate, wait in pairs if not wait]
        resting = [wait for wait in waits if wait]
        return len(resting), min(resting, default=0.0)

    def _leave_out_limited(self, candidates: list[Candidate]) -> tuple[int, float]:
        """Removes the endpoints whose stated limits leave no room for a request now.

        Returns:
          How many there are, and in how many seconds the first has room.
        """
        if not self._limits:
            return 0, 0.0
        now = boot_seconds()
        entries = self._peer_entries.entries()
        waits = {}
        for candidate in candidates:
            endpoint = candidate.endpoint
            run = (endpoint.id, endpoint.started_at)
            wait = self._limits.seconds_until_room(run, endpoint.data_centre, entries, now)
            if wait > 0.0:
                waits[endpoint.id] = wait
        candidates[:] = [c for c in candidates if c.endpoint.id not in waits]
        return len(waits), min(waits.values(), default=0.0)

    def _fits(self, service: str, head: RequestHead) -> bool:
        figures = self._state.engine_figures(service)
        return figures is None or engine_memory.fits(figures, head)

    def _leave_out_filled(
        self,
        candidates: list[Candidate],
        figures: EngineFigures | None,
        head: RequestHead,
        now: float,
    ) -> int:
        """Removes the engines whose memory has no room for a request now; returns how many."""
        if figures is None or not engine_memory.may_run_out(figures, head):
            return 0
        count = len(candidates)
        candidates[:] = [
            c for c in candidates if engine_memory.has_room(figures, c.load, head, now)
        ]
        return count - len(candidates)

    def is_stalled(
        self, placement: Placement, last_activity_at: float, response_started: bool
    ) -> bool:
        """Returns whether a request waits at an endpoint that has stalled.

        Args:
          last_activity_at: When its last event arrived, or else it was placed.
        """
        now = asyncio.get_running_loop().time()
        figures = self._state.engine_figures(placement.endpoint.service)
        one_pass = 0.0 if figures is None else pass_seconds(figures, figures.slots)
        usual = one_pass or placement.load.run_seconds(now)
        self._check_silence(placement.endpoint, placement.load, usual, now)
        # Only the requests in progress show that an endpoint has stalled. If they were moved
        # while it still counts as healthy, nothing would show it any more, and new requests would
        # be sent there.
        if placement.load.health.health is Health.HEALTHY:
            return False
        forecast = 0.0 if response_started else placement.forecast_seconds
        silent = is_silent(placement.load.silent_seconds(now), usual)
        return silent and is_stalled(now - last_activity_at, forecast, usual)

    def _check_silence(
        self, endpoint: ListedEndpoint, load: EndpointLoad, usual: float, now: float
    ) -> None:
        """Ejects an endpoint that has requests of this entry and has sent nothing for too long.

        Args:
          usual: The usual time in seconds between two responses of the endpoint.
        """
        silent = load.silent_seconds(now)
        if load.health.record_silence(silent, usual, now):
            self._log_ejection(endpoint, load, f"silent for {silent:.2f} s")

    def _retry_budget(self, service: str) -> SharedRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._bounds
            allowance = RetryAllowance(
                bounds.retry_fraction, bounds.retry_extra, bounds.retry_window
            )
            budget = self._retry_budgets[service] = SharedRetryBudget(allowance, self._only_entry)
        return budget

    def _log_ejection(self, endpoint: ListedEndpoint, load: EndpointLoad, reason: str) -> None:
        self._log.write(
            Event.ENDPOINT_EJECTED,
            endpoint=endpoint.id,
            health=load.health.health.value,
            reason=reason,
        )

    def _others_rate(self, traffic: ServiceTraffic, endpoints: int, now: float) -> float:
        """Returns the estimated requests per second that other entries send to each endpoint."""
        return traffic.rate.per_second(now) * (self._peer_entries.count - 1) / max(1, endpoints)

    def _assign_endpoints(self) -> None:
        """Updates which engines this entry sends to first, if what they follow from has changed."""
        peers = self._peer_entries
        entries = peers.local_entries()
        # Demands arrive one by one, and become too old without any message.
        period = int(boot_seconds() / ASSIGNMENT_SECONDS)
        inputs = (self._state.endpoints.version, tuple(entries), period)
        if inputs == self._assigned_for:
            return
        self._assigned_for = inputs
        preferred: set[str] = set()
        for service, ids in self._local_endpoints().items():
            is_engine = self._state.engine_figures(service) is not None
            demands = peers.local_demands(service) if is_engine else {}
            preferred |= assign_by_demand(ids, entries, demands)[peers.own_address]
        if len(preferred) != len(self._preferred):
            self._log.write(Event.ENGINES_ASSIGNED, engines=len(preferred))
        self._preferred = frozenset(preferred)

    def _local_endpoints(self) -> dict[str, list[str]]:
        """Returns the ids of the endpoints here that are not leaving, by service."""
        by_service: dict[str, list[str]] = {}
        for endpoint in self._state.endpoints.endpoints:
            if endpoint.data_centre == self._data_centre and not endpoint.leaving:
                by_service.setdefault(endpoint.service, []).append(endpoint.id)
        return by_service

    def _can_serve(self, endpoint: ListedEndpoint, weights: int, late: float) -> bool:
        """Returns whether a request may be placed on the weights that an engine holds.

        Args:
          weights: The version that must answer; zero for any.
          late: By how many seconds requests have lately begun there later than forecast.
        """
        if not endpoint.whole or endpoint.weights <= 0:
            return False
        if weights and endpoint.weights != weights:
            return False
        return endpoint.weights >= self._state.oldest_to_place(endpoint.model, late)

    def _drop_unlisted_loads(self) -> None:
        listed = {(e.id, e.started_at) for e in self._state.endpoints.endpoints}
        for key in [
            k for k, load in self._loads.items() if k not in listed and not load.own_requests
        ]:
            del self._loads[key]
