"""Forwards one request to an endpoint, and to another where that is safe and useful."""

import asyncio
import typing

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..core.request_head import RequestHead
from ..core.route import Route, RouteKind
from ..decisions import poison
from ..decisions.attempt_rule import AttemptEnd, AttemptHistory
from ..decisions.endpoint_choice import Choice
from ..decisions.request_recall import MIN_START_SECONDS, RecallReason
from ..observe.event import Event
from .attempt import Attempt, AttemptError
from .call import Call, StreamProgress
from .placement import Placed

if typing.TYPE_CHECKING:
    from .daemon import Gateway
    from .exchange import CallerExchange

# What a caller waits who says nothing of it.
DEFAULT_DEADLINE_SECONDS = 30.0
# An answer that takes longer to refuse than this is late for its caller in any case.
SHORTEST_USEFUL_SECONDS = 0.02
# A slot of some endpoint comes free several times in that time.
NOT_RUN_RETRY_SECONDS = 0.3
# Of the time that a caller has left, it is asked to wait so much at most before it comes back.
RETRY_FRACTION = 0.45
# How long a caller is asked to leave a request alone that crashes endpoints.
BLOCKED_RETRY_SECONDS = 30.0
# A request that took so many times its forecast and had no answer was not slow but lost.
OVERDUE_FACTOR = 10.0
# An engine that does not hold the weights that were asked for refuses so.
MISSING_WEIGHTS_CODE = "refused_421"
# Ends at which the endpoint may have died of the request.
DEATH_CODES = frozenset(("answer_lost", "answer_cut", "stream_cut"))


class Forwarding:
    """Forwards one request, to another endpoint where that is safe and useful."""

    def __init__(
        self,
        exchange: "CallerExchange",
        gateway: "Gateway",
        head: RequestHead,
        route: Route,
        workspace: str,
        body: bytes,
    ) -> None:
        self._exchange = exchange
        self._gateway = gateway
        seconds = min(head.deadline or DEFAULT_DEADLINE_SECONDS, route.timeout)
        came_at = exchange.began
        self._call = Call(head, route, workspace, body, came_at, came_at + seconds)
        self._progress = StreamProgress(head.last_event)
        self._history = AttemptHistory(route.idempotent, max(1, route.max_attempts))
        self._service = gateway.placer.pick_service(route)
        self._tried: frozenset[str] = frozenset()
        self._retries = 0
        # Where the request goes on, reserved when it was recalled from an endpoint.
        self._reserved: Placed | None = None
        caller = workspace or head.key
        self._fingerprint = poison.fingerprint_of_parts(
            head.method, head.host, head.target, caller, body
        )

    async def run(self) -> None:
        """Serves the request.

        Raises:
          CodedError: It was not answered; the outcome says what that means.
        """
        self._check_poison()
        self._check_time()
        self._gateway.placer.budget(self._service).earn()
        try:
            await self._try_endpoints()
        finally:
            self._release()

    async def _try_endpoints(self) -> None:
        failure = ""
        while True:
            placed = self._place(failure)
            if placed is None:
                self._exchange.cut_stream(failure, events=self._progress.events)
                return
            number = self._history.sends + 1
            attempt = Attempt(
                self._exchange,
                self._gateway,
                self._call,
                self._progress,
                placed,
                number,
                self._reserve_elsewhere,
            )
            try:
                await attempt.run()
                self._gateway.guard.clear(self._fingerprint)
                return
            except AttemptError as error:
                failure = error.code
                self._history.record(error.end)
                self._note_end(placed, attempt, error)
                self._tried |= {placed.endpoint.id}
                hopeless = attempt.recalled is RecallReason.CALLER_LEAVING
                if hopeless or (self._reserved is None and not self._may_go_on()):
                    self._give_up(error)
                    return

    def _check_poison(self) -> None:
        """Refuses a request that is known to crash the endpoints that run it.

        Raises:
          CodedError: It is one; this copy of it has not run.
        """
        now = asyncio.get_running_loop().time()
        if self._gateway.guard.is_blocked(self._fingerprint, now):
            message = "this request was in progress at two endpoints that died"
            raise CodedError("request_blocked", message, 503, retry_after=BLOCKED_RETRY_SECONDS)

    def _check_time(self) -> None:
        """Refuses a request whose time was over before it was read.

        Raises:
          CodedError: It is one; it has not run.
        """
        if self._call.left <= SHORTEST_USEFUL_SECONDS:
            message = "its time was over before it could be sent"
            raise CodedError("deadline_passed", message, 503)

    def _place(self, failure: str) -> Placed | None:
        """Returns where the request goes, or None for a stream that cannot go on.

        Raises:
          CodedError: It goes nowhere.
        """
        if self._reserved is not None:
            placed, self._reserved = self._reserved, None
            self._note_placed(placed, failure)
            return placed
        left = self._call.left
        placer = self._gateway.placer
        choice = self._choose(self._tried, moved=False)
        placed = placer.placed_by(choice)
        if placed is None:
            placer.record_refusal(self._service)
        elif left > SHORTEST_USEFUL_SECONDS:
            self._note_placed(placed, failure)
            placer.begin(placed, self._call.head.prompt_tokens)
            return placed
        if self._exchange.streaming:
            return None
        if self._history.may_have_run:
            status = self._history.final_status(left <= SHORTEST_USEFUL_SECONDS)
            raise CodedError(failure or "no_endpoint", "no answer", status, Outcome.UNKNOWN)
        self._exchange.note(
            service=self._service,
            endpoints_known=choice.known,
            endpoints_able=choice.available,
            report_age=choice.report_age,
        )
        code = "overloaded" if choice.seconds < float("inf") else "no_endpoint"
        message = f"the first event would come after {choice.seconds:.2f} s"
        retry = min(choice.retry_after, RETRY_FRACTION * left) * (1.0 + 0.3 * placer.rng.random())
        raise CodedError(code, message, 503, retry_after=retry)

    def _choose(self, tried: frozenset[str], moved: bool) -> Choice:
        call, progress = self._call, self._progress
        leaves_in = call.leaves_in(progress.last_event_at)
        if call.route.kind is RouteKind.STREAM:
            leaves_in -= MIN_START_SECONDS
        return self._gateway.placer.choose(
            call.route, self._service, call.head, tried, progress.weights, leaves_in, moved
        )

    def _reserve_elsewhere(self, placed: Placed) -> bool:
        """Reserves a place and a retry for what was placed; returns whether there are both.

        Counted at once, the place and the retry are not promised to others that are recalled
        in the same moment.
        """
        placer = self._gateway.placer
        if not self._history.allows_retry_of_running() or not self._may_retry():
            return False
        reserved = placer.placed_by(self._choose(self._tried | {placed.endpoint.id}, moved=True))
        if reserved is None or not self._spend_retry():
            return False
        placer.begin(reserved, self._call.head.prompt_tokens)
        self._reserved = reserved
        return True

    def _release(self) -> None:
        """Gives back what was reserved and not used, as when its caller has left meanwhile."""
        if self._reserved is not None:
            self._reserved.load.record_ended(self._call.head.prompt_tokens, False)
            self._gateway.placer.record_no_verdict(self._reserved)
            self._reserved = None

    def _may_go_on(self) -> bool:
        return self._history.allows_retry() and self._may_retry() and self._spend_retry()

    def _may_retry(self) -> bool:
        now = asyncio.get_running_loop().time()
        blocked = self._gateway.guard.is_blocked(self._fingerprint, now)
        return self._call.left > SHORTEST_USEFUL_SECONDS and not blocked

    def _spend_retry(self) -> bool:
        if not self._gateway.placer.budget(self._service).spend(self._retries):
            return False
        self._retries += 1
        return True

    def _note_placed(self, placed: Placed, failure: str) -> None:
        call = self._call
        self._gateway.log.write(
            Event.REQUEST_PLACED,
            request=call.head.request_id,
            workspace=call.workspace,
            route=call.route.name,
            service=self._service,
            endpoint=placed.endpoint.id,
            weights=placed.weights,
            forecast=round(placed.seconds, 3),
            in_progress=placed.load.own_requests,
            after=failure,
        )

    def _give_up(self, error: AttemptError) -> None:
        facts = {"events": self._progress.events, "attempts": self._history.sends}
        if self._exchange.streaming:
            self._exchange.cut_stream(error.code, **facts)
            return
        if error.reply is not None and error.end is AttemptEnd.FAILED:
            self._exchange.answer_whole(error.reply, **facts)
            return
        late = self._call.left <= SHORTEST_USEFUL_SECONDS
        status = self._history.final_status(late)
        outcome = Outcome.UNKNOWN if self._history.may_have_run else Outcome.NOT_RUN
        retry = NOT_RUN_RETRY_SECONDS if outcome is Outcome.NOT_RUN else None
        raise CodedError(error.code, "no endpoint answered", status, outcome, retry_after=retry)

    def _note_end(self, placed: Placed, attempt: Attempt, error: AttemptError) -> None:
        self._gateway.log.write(
            Event.CALL_PLACED_AGAIN,
            request=self._call.head.request_id,
            endpoint=placed.endpoint.id,
            code=error.code,
            end=error.end.value,
            events=self._progress.events,
        )
        if error.code == MISSING_WEIGHTS_CODE and placed.weights:
            self._gateway.placer.record_missing_weights(placed)
        elif self._blames_endpoint(placed, attempt, error):
            self._gateway.placer.record_failure(placed, error.code)
        else:
            self._gateway.placer.record_no_verdict(placed)
        if error.code in DEATH_CODES:
            now = asyncio.get_running_loop().time()
            self._gateway.guard.record_death(self._fingerprint, placed.endpoint.id, now)
            self._gateway.peers.tell_suspect(placed.endpoint.id, self._fingerprint)
            self._gateway.log.write(
                Event.REQUEST_SUSPECTED,
                request=self._call.head.request_id,
                endpoint=placed.endpoint.id,
                fingerprint=self._fingerprint,
            )

    def _blames_endpoint(self, placed: Placed, attempt: Attempt, error: AttemptError) -> bool:
        # What is recalled, and a caller's own short time, say nothing of the endpoint.
        if attempt.recalled is not None:
            return False
        waited = asyncio.get_running_loop().time() - attempt.began
        return error.code != "timeout" or waited > OVERDUE_FACTOR * placed.seconds
