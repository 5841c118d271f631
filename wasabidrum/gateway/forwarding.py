"""Forwards one request to an endpoint, and to another one where a retry is safe and useful."""

import asyncio
import collections.abc
import dataclasses
import typing

from tornado import iostream

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..core.request_head import RequestHead
from ..core.request_scope import RequestScope
from ..core.route import RouteKind
from ..decisions import engine_memory, poison
from ..decisions.attempt_rule import AttemptEnd, AttemptHistory
from ..decisions.endpoint_choice import Choice
from ..decisions.endpoint_rests import MIN_REST_SECONDS
from ..decisions.home_regions import Regions, home_regions
from ..decisions.request_recall import MIN_START_SECONDS, RecallReason
from ..observe.event import Event
from .attempt import MEMORY_CODE, UNWANTED_CODES, Attempt, AttemptError
from .call import DEFAULT_DEADLINE_SECONDS, Call, StreamProgress
from .part_guard import BLOCKED_CODE, BLOCKED_RETRY_SECONDS
from .placement import Placement
from .placing_rules import MAX_RULED_OUT_RETRY_SECONDS, MESSAGES
from .workspace_usage import RequestUse

if typing.TYPE_CHECKING:
    from .daemon import Gateway
    from .exchange import CallerExchange

# With less time left, even a refusal would reach the caller too late, so nothing is sent.
MIN_USEFUL_SECONDS = 0.02
# Within this time several slots become free at some endpoint.
NOT_RUN_RETRY_SECONDS = 0.3
# The largest Retry-After, before jitter, as a fraction of the time that the caller has left.
MAX_RETRY_AFTER_FRACTION = 0.45
# A request that times out after this many times its forecast was lost rather than slow, and
# counts as a failure of the endpoint.
OVERDUE_FACTOR = 10.0
# The error code of an engine that does not hold the requested version of the weights.
MISSING_WEIGHTS_CODE = "refused_421"
# Errors after which the endpoint may have crashed on the request.
CONNECTION_LOSS_CODES = frozenset(("answer_lost", "answer_cut", "stream_cut"))


@dataclasses.dataclass(frozen=True, slots=True)
class Successor:
    """An attempt that runs beside another one, and follows it if that one ends first."""

    attempt: Attempt
    task: "asyncio.Task[AttemptError | iostream.StreamClosedError | None]"

    async def ended(self) -> None:
        """Waits until it has passed on its reply.

        Raises:
          AttemptError: There was no reply that can be passed on.
          StreamClosedError: The caller has disconnected.
        """
        error = await self.task
        if error is not None:
            raise error


class Forwarding:
    """Forwards one request, with retries at other endpoints where that is safe and useful."""

    def __init__(
        self,
        exchange: "CallerExchange",
        gateway: "Gateway",
        head: RequestHead,
        scope: RequestScope,
        body: bytes,
    ) -> None:
        self._exchange = exchange
        self._gateway = gateway
        route = scope.route
        seconds = min(head.deadline or DEFAULT_DEADLINE_SECONDS, route.timeout)
        arrived_at = exchange.started_at
        self._call = Call(head, scope, body, arrived_at, arrived_at + seconds)
        self._progress = StreamProgress(head.last_event)
        self._history = AttemptHistory(route.idempotent, max(1, route.max_attempts))
        self._service = gateway.placer.pick_service(route, head)
        self._tried_endpoints: frozenset[str] = frozenset()
        self._retry_count = 0
        # Whether the caller has waited before, so that its answer can only be late.
        self._returning = False
        # Counts what it takes of its workspace's share; None if that is not counted.
        self._use: RequestUse | None = None
        # Whether it is sent as the test of a prompt part that is suspected.
        self._testing = False
        self._test_begun = False
        # Whether the test has neither been answered nor lost its endpoint.
        self._test_open = False
        # Where the next attempt goes, reserved when the last one was recalled from its endpoint.
        self._reserved: Placement | None = None
        self._attempt: Attempt | None = None
        # Runs beside the attempt while the endpoint of that one is silent.
        self._successor: Successor | None = None
        caller = self._call.workspace or head.key
        self._fingerprint = poison.fingerprint_of_parts(
            head.method, head.host, head.target, caller, body
        )

    @property
    def _home_regions(self) -> Regions:
        """The regions in which the request may be served, by the configuration in force."""
        return home_regions(self._gateway.state.current_scope(self._call.scope))

    async def run(self) -> None:
        """Serves the request.

        Raises:
          CodedError: No reply was sent; the outcome says whether the request may have run.
        """
        self._check_poison()
        parts, guard = self._call.head.shared_parts, self._gateway.part_guard
        self._testing = guard.admit(parts, self._home_regions)
        self._check_deadline()
        self._check_memory()
        placer = self._gateway.placer
        self._returning = placer.record_caller(self._service, self._call.route, self._call.head)
        placer.record_request(self._service)
        self._use = self._gateway.usage.open(
            self._call, self._service, self._fingerprint, self._returning
        )
        try:
            await self._try_endpoints()
        except CodedError as error:
            self._record_refused(error)
            raise
        finally:
            self._abandon_successor()
            self._release_reservation()
            if self._use is not None:
                self._use.record_end(self._progress.event_count)
            if self._test_open:
                guard.record_inconclusive_test(parts, self._call.head.request_id)

    def _record_refused(self, error: CodedError) -> None:
        told = error.outcome is Outcome.NOT_RUN and error.retry_after is not None
        if self._use is not None and told:
            position = self._use.record_refused(error.retry_after)
            self._exchange.add_log_facts(share_position=round(position, 3))

    async def _try_endpoints(self) -> None:
        failure = ""
        head, guard = self._call.head, self._gateway.part_guard
        while True:
            running: collections.abc.Awaitable[None]
            if self._successor is not None:
                self._attempt, running = self._successor.attempt, self._successor.ended()
                self._successor = None
            else:
                placement = self._place(failure)
                if placement is None:
                    self._exchange.abort_stream(failure, events=self._progress.event_count)
                    return
                self._attempt = self._make_attempt(placement)
                running = self._attempt.run()
            attempt = self._attempt
            try:
                await running
                self._gateway.poison_guard.clear(self._fingerprint)
                self._test_open = False
                guard.record_answer(head.shared_parts, head.request_id)
                return
            except AttemptError as error:
                failure = error.code
                await self._record_end(attempt, error)
                if self._successor is not None:
                    continue
                caller_leaving = attempt.recall_reason is RecallReason.CALLER_LEAVING
                # What did not reach an endpoint is no retry.
                unsent = error.code in UNWANTED_CODES and not attempt.sent
                if caller_leaving or not (self._reserved or unsent or self._claim_retry(error)):
                    self._give_up(error)
                    return

    def _make_attempt(self, placement: Placement) -> Attempt:
        return Attempt(
            self._exchange,
            self._gateway,
            self._call,
            self._progress,
            placement,
            self._history.sends + 1,
            self,
        )

    async def _record_end(self, attempt: Attempt, error: AttemptError) -> None:
        """Records the end of an attempt that has brought no reply."""
        head, guard = self._call.head, self._gateway.part_guard
        self._history.record(error.end)
        self._record_failed_attempt(attempt.placement, attempt, error)
        endpoint = attempt.placement.endpoint.id
        self._tried_endpoints |= {endpoint}
        if error.code in CONNECTION_LOSS_CODES or error.code == "timeout":
            self._test_open = False
        if error.code in CONNECTION_LOSS_CODES:
            parts, regions = head.shared_parts, self._home_regions
            guard.record_crash(parts, attempt.placed_in, endpoint, head.request_id, regions)
            # The caller may come back to any entry within milliseconds.
            if self._is_blocked() or not guard.allows(parts):
                await self._gateway.peers.flush_suspects()

    def start_successor(self) -> None:
        """Sends the request to the endpoint that was reserved for it, beside the present attempt.

        The present one goes on: its endpoint may be silent for a moment only, and the other one may
        refuse the request, end or be silent as well. The first that has something to pass on ends
        the other; see claim.
        """
        if not self._reservation_holds():
            self._release_reservation()
            return
        placement, self._reserved = self._reserved, None
        self._log_placement(placement, RecallReason.ENDPOINT_SILENT.value)
        attempt = self._make_attempt(placement)
        task = self._gateway.tasks.start("request", self._run_beside(attempt))
        self._successor = Successor(attempt, task)

    async def _run_beside(
        self, attempt: Attempt
    ) -> AttemptError | iostream.StreamClosedError | None:
        """Runs a successor; returns how it failed, if the attempt before has ended by then."""
        try:
            await attempt.run()
        except iostream.StreamClosedError as error:
            return error
        except AttemptError as error:
            if self._successor is None or self._successor.attempt is not attempt:
                return error
            self._successor = None
            await self._record_end(attempt, error)
        return None

    def claim(self, attempt: Attempt) -> None:
        """Ends the other attempt, if there is one, because this one has something to pass on."""
        if self._successor is None:
            return
        if self._successor.attempt is attempt:
            self._attempt.supersede()
            return
        successor = self._successor.attempt
        self._abandon_successor()
        self._history.record(AttemptEnd.LOST if successor.sent else AttemptEnd.NOT_SENT)
        self._tried_endpoints |= {successor.placement.endpoint.id}

    def _abandon_successor(self) -> None:
        successor, self._successor = self._successor, None
        if successor is None:
            return
        successor.task.cancel()
        if not successor.attempt.has_begun:
            # A task that is cancelled before its first step does not run the attempt's end.
            self._release(successor.attempt.placement)

    def _check_poison(self) -> None:
        """Refuses a request that is known to crash endpoints.

        Raises:
          CodedError: The request is blocked; it was not run.
        """
        if self._is_blocked():
            message = "this request was in progress during two endpoint failures"
            raise CodedError(BLOCKED_CODE, message, 503, retry_after=BLOCKED_RETRY_SECONDS)

    def _is_blocked(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self._gateway.poison_guard.is_blocked(self._fingerprint, now)

    def _check_deadline(self) -> None:
        """Refuses a request whose deadline has passed or is about to.

        Raises:
          CodedError: No useful time is left; the request was not run.
        """
        if self._call.seconds_left <= MIN_USEFUL_SECONDS:
            message = "no time was left to forward the request before its deadline"
            raise CodedError("deadline_passed", message, 503)

    def _check_memory(self) -> None:
        """Refuses a request that fits no engine's memory, however long it waits.

        Raises:
          CodedError: It is too large; it was not run.
        """
        head, figures = self._call.head, self._gateway.state.engine_figures(self._service)
        if figures is not None and not engine_memory.fits(figures, head):
            message = (
                f"{head.prompt_tokens} tokens of prompt and {head.max_tokens} of answer exceed the"
                f" {figures.memory_tokens} that fit in an engine's memory"
            )
            raise CodedError(
                "exceeds_engine_memory", message, 503, retry_after=MAX_RULED_OUT_RETRY_SECONDS
            )

    def _place(self, failure: str) -> Placement | None:
        """Returns where the next attempt goes, or None for a stream that cannot continue.

        Args:
          failure: The error code of the last attempt; empty before the first.

        Raises:
          CodedError: No endpoint can take the request.
        """
        left = self._call.seconds_left
        placer = self._gateway.placer
        if not self._reservation_holds():
            self._release_reservation()
        if self._reserved is not None:
            placement, self._reserved = self._reserved, None
            self._log_placement(placement, failure)
            return placement
        choice = self._choose(self._tried_endpoints, moved=False)
        placement = placer.placement_for(choice)
        # That no endpoint has what it needs says nothing about their load. When some have it again,
        # they have room.
        overloaded = placement is None and (choice.seconds < float("inf") or choice.limited)
        if not failure and (placement is not None or overloaded):
            scope, admitted = self._call.scope, placement is not None
            placer.orders.record(self._service, scope, admitted, self._returning)
        if placement is None:
            if overloaded:
                placer.record_refusal(self._service)
        elif left > MIN_USEFUL_SECONDS:
            self._log_placement(placement, failure)
            placer.record_sent(placement, self._call.head.prompt_tokens)
            if self._use is not None:
                self._use.record_placed()
            return placement
        if self._exchange.streaming:
            return None
        if self._history.may_have_run:
            status = self._history.final_status(left <= MIN_USEFUL_SECONDS)
            raise CodedError(
                failure or "no_endpoint", "no reply was received", status, Outcome.UNKNOWN
            )
        self._exchange.add_log_facts(
            service=self._service,
            endpoints_known=choice.known,
            endpoints_able=choice.available,
            endpoints_limited=choice.limited,
            endpoints_leaving=self._gateway.state.endpoints.count_leaving(self._service),
            endpoints_resting=choice.resting,
            endpoints_ruled_out=choice.ruled_out,
            endpoints_evacuated=self._gateway.state.count_evacuated(self._service),
            report_age=choice.report_age,
            returning=self._returning,
            **placer.orders.facts(self._service, self._call.scope),
        )
        if choice.seconds < float("inf"):
            code = "overloaded"
            message = f"the forecast time to the first response is {choice.seconds:.2f} s"
        elif choice.limited:
            code = "overloaded"
            message = f"{choice.limited} of {choice.known} endpoints take no more now"
        elif choice.resting:
            code = "overloaded"
            message = f"{choice.resting} of {choice.known} endpoints want no requests for now"
        elif choice.ruled_out:
            code = choice.rule
            message = MESSAGES.get(
                code, f"{choice.ruled_out} of {choice.known} endpoints may not take it now"
            )
        else:
            code = "no_endpoint"
            message = f"no endpoint can take it now; {choice.known} have what it needs"
        if choice.rest_ends:
            retry = placer.retry_after_rest(self._service, choice.retry_after, self._call)
        elif code == choice.rule:
            retry = min(
                choice.retry_after * (1.0 + 0.3 * placer.rng.random()),
                MAX_RULED_OUT_RETRY_SECONDS,
            )
        else:
            retry = min(choice.retry_after, MAX_RETRY_AFTER_FRACTION * left) * (
                1.0 + 0.3 * placer.rng.random()
            )
        raise CodedError(code, message, 503, retry_after=retry)

    def _choose(self, tried_endpoints: frozenset[str], moved: bool) -> Choice:
        call, progress = self._call, self._progress
        seconds_until_disconnect = call.seconds_until_disconnect(progress.last_event_at)
        if call.route.kind is RouteKind.STREAM:
            seconds_until_disconnect -= MIN_START_SECONDS
        return self._gateway.placer.choose(
            call.scope,
            self._service,
            call.head,
            tried_endpoints,
            progress.weights,
            seconds_until_disconnect,
            moved,
            self._returning,
            self._gateway.usage.position_of(call.workspace),
        )

    def _reservation_holds(self) -> bool:
        """Returns whether the reserved endpoint, if there is one, may still be sent to."""
        if self._reserved is None:
            return True
        endpoint, placer = self._reserved.endpoint, self._gateway.placer
        return not (
            self._gateway.state.endpoints.is_leaving(endpoint)
            or placer.rest_seconds_left(endpoint)
            or placer.refusing_rule(endpoint, self._call.scope)
        )

    def reserve_elsewhere(self, placement: Placement) -> bool:
        """Reserves another endpoint and a retry for a request; returns whether both were free.

        Both are counted at once, so that requests recalled at the same moment are not all
        promised the same place and the same retry.

        Args:
          placement: Where the request waits now.
        """
        placer = self._gateway.placer
        if self._successor is not None:
            return False
        if not self._history.allows_retry_of_running() or not self._may_retry():
            return False
        reserved = placer.placement_for(
            self._choose(self._tried_endpoints | {placement.endpoint.id}, moved=True)
        )
        if reserved is None or not self._spend_retry():
            return False
        placer.record_sent(reserved, self._call.head.prompt_tokens)
        self._reserved = reserved
        return True

    def _release_reservation(self) -> None:
        """Releases a reserved place that was not used, as when the caller disconnected."""
        if self._reserved is not None:
            self._release(self._reserved)
            self._reserved = None

    def _release(self, placement: Placement) -> None:
        """Gives a place at an endpoint back to which nothing was sent."""
        rank = placement.rank or 0
        placement.load.record_ended(self._call.head.prompt_tokens, False, rank)
        self._gateway.placer.record_inconclusive_end(placement)

    def _claim_retry(self, error: AttemptError) -> bool:
        return self._history.allows_retry() and self._may_retry(error.end) and self._spend_retry()

    def _may_retry(self, end: AttemptEnd = AttemptEnd.LOST) -> bool:
        return (
            self._call.seconds_left > MIN_USEFUL_SECONDS
            and not self._is_blocked()
            and self._parts_allow_retry(end)
        )

    def _parts_allow_retry(self, end: AttemptEnd) -> bool:
        guard, parts = self._gateway.part_guard, self._call.head.shared_parts
        if guard.allows(parts):
            return True
        if end is AttemptEnd.REFUSED:
            return self._testing and guard.were_answered(parts)
        return self._testing and end is AttemptEnd.NOT_SENT

    def may_send(self) -> bool:
        """Returns whether the parts of the prompt still allow to send the request."""
        guard, head = self._gateway.part_guard, self._call.head
        if self._testing and not self._test_begun:
            self._testing = guard.begin_test(head.shared_parts, head.request_id)
            self._test_begun = self._test_open = self._testing
        return self._testing or guard.allows(head.shared_parts)

    def _spend_retry(self) -> bool:
        placer = self._gateway.placer
        if not placer.spend_retry(self._service, self._retry_count):
            self._gateway.log.write(
                Event.RETRY_WITHHELD,
                request=self._call.head.request_id,
                service=self._service,
                retries_left=round(placer.retries_left(self._service), 2),
                entries=self._gateway.peers.count_to_share,
            )
            return False
        self._retry_count += 1
        return True

    def _log_placement(self, placement: Placement, failure: str) -> None:
        call = self._call
        self._gateway.log.write(
            Event.REQUEST_PLACED,
            request=call.head.request_id,
            workspace=call.workspace,
            route=call.route.name,
            service=self._service,
            endpoint=placement.endpoint.id,
            weights=placement.weights,
            forecast=round(placement.forecast_seconds, 3),
            in_progress=placement.load.own_requests,
            after=failure,
            retries_left=round(self._gateway.placer.retries_left(self._service), 2),
            **self._gateway.placer.orders.raised_facts(self._service, call.scope, placement.rank),
        )

    def _give_up(self, error: AttemptError) -> None:
        """Ends the request after its last attempt has failed."""
        facts = {"events": self._progress.event_count, "attempts": self._history.sends}
        late = self._call.seconds_left <= MIN_USEFUL_SECONDS
        if late:
            # The shorter one of the caller's deadline and the route's timeout, and the latter.
            allowed = self._call.deadline - self._call.arrived_at
            facts |= {"allowed": round(allowed, 3), "timeout": self._call.route.timeout}
        self._exchange.add_log_facts(**facts)
        if self._exchange.streaming:
            self._exchange.abort_stream(error.code)
            return
        if error.reply is not None and error.end is AttemptEnd.FAILED:
            self._exchange.send_reply(error.reply)
            return
        status = self._history.final_status(late)
        outcome = Outcome.UNKNOWN if self._history.may_have_run else Outcome.NOT_RUN
        retry = self._retry_after_not_run() if outcome is Outcome.NOT_RUN else None
        raise CodedError(error.code, "no endpoint answered", status, outcome, retry_after=retry)

    def _retry_after_not_run(self) -> float:
        placer = self._gateway.placer
        seconds = placer.seconds_until_rest_ends(self._service)
        if not seconds:
            return NOT_RUN_RETRY_SECONDS
        return placer.retry_after_rest(self._service, seconds, self._call)

    def _record_failed_attempt(
        self, placement: Placement, attempt: Attempt, error: AttemptError
    ) -> None:
        self._gateway.log.write(
            Event.CALL_PLACED_AGAIN,
            request=self._call.head.request_id,
            endpoint=placement.endpoint.id,
            code=error.code,
            end=error.end.value,
            events=self._progress.event_count,
        )
        if error.code == MISSING_WEIGHTS_CODE and placement.weights:
            self._gateway.placer.record_missing_weights(placement)
        elif self._is_endpoint_fault(placement, attempt, error):
            self._gateway.placer.record_failure(placement, error.code)
        else:
            self._gateway.placer.record_inconclusive_end(placement)
        if error.code in CONNECTION_LOSS_CODES:
            now = asyncio.get_running_loop().time()
            # The run that the request was placed on; another one may be listed by now.
            endpoint, run = placement.endpoint.id, str(placement.endpoint.started_at or "")
            self._gateway.poison_guard.record_death(self._fingerprint, endpoint, now, run)
            regions = self._home_regions
            self._gateway.peers.report_suspect(endpoint, self._fingerprint, run, regions)
            self._gateway.log.write(
                Event.REQUEST_SUSPECTED,
                request=self._call.head.request_id,
                endpoint=placement.endpoint.id,
                fingerprint=self._fingerprint,
                parts=self._call.head.shared_parts,
            )

    def _is_endpoint_fault(
        self, placement: Placement, attempt: Attempt, error: AttemptError
    ) -> bool:
        # A recall, a block, a lack of memory here, what the endpoint has said of itself, or a
        # timeout because the caller allowed little time, is no fault of the endpoint.
        own = (BLOCKED_CODE, MEMORY_CODE, *UNWANTED_CODES)
        if attempt.recall_reason is not None or error.code in own:
            return False
        # An endpoint that rests gets nothing anyway. As a failing one it would then get one request
        # at a time, and an engine takes seconds for each.
        refused = error.end in (AttemptEnd.REFUSED, AttemptEnd.FAILED)
        rest_left = self._gateway.placer.rest_seconds_left(placement.endpoint)
        if refused and rest_left >= MIN_REST_SECONDS:
            return False
        waited = asyncio.get_running_loop().time() - attempt.started_at
        return error.code != "timeout" or waited > OVERDUE_FACTOR * placement.forecast_seconds
