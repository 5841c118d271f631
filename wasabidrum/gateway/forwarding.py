"""Forwards one request to an endpoint, and to another where that is safe and useful."""

import asyncio
import typing

from ..core.awake_clock import awake_seconds
from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..core.request_head import ReplyHead, RequestHead
from ..core.route import Route, RouteKind
from ..decisions import poison
from ..decisions.attempt_rule import AttemptEnd, AttemptHistory
from ..observe.event import Event
from ..platform import heads
from . import endpoint_connection
from .endpoint_connection import EndpointConnection, Part, PartKind
from .event_stream import EventStream
from .placement import Placed
from .whole_reply import WholeReply

if typing.TYPE_CHECKING:
    from .daemon import Gateway
    from .exchange import CallerExchange

# A connection within the fleet opens in some milliseconds; a machine that does not answer in
# this time is dark or drops connections, and another one can still answer in time.
CONNECT_SECONDS = 0.25
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
# Ends at which the endpoint may have died of the request.
DEATH_CODES = frozenset(("answer_lost", "answer_cut", "stream_cut"))


class AttemptError(Exception):
    """An attempt ended without an answer that can be passed on."""

    def __init__(self, end: AttemptEnd, code: str, reply: WholeReply | None = None) -> None:
        super().__init__(code)
        self.end = end
        self.code = code
        self.reply = reply


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
        self._head = head
        self._route = route
        self._workspace = workspace
        self._body = body
        self._history = AttemptHistory(route.idempotent, max(1, route.max_attempts))
        self._service = gateway.placer.pick_service(route)
        self._tried: frozenset[str] = frozenset()
        self._retries = 0
        seconds = min(head.deadline or DEFAULT_DEADLINE_SECONDS, route.timeout)
        self._ends_at = exchange.began + seconds
        # A stream that goes on needs the version that it began with.
        self._weights = 0
        self._last_event = head.last_event
        self._events = 0
        self._first_event_at = 0.0
        self._marks = AttemptMarks()
        caller = workspace or head.key
        self._fingerprint = poison.fingerprint_of_parts(
            head.method, head.host, head.target, caller, body
        )

    @property
    def left(self) -> float:
        """Seconds until the caller or the route gives up."""
        return self._ends_at - asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Serves the request.

        Raises:
          CodedError: It was not answered; the outcome says what that means.
        """
        self._check_poison()
        self._gateway.placer.budget(self._service).earn()
        failure = ""
        while True:
            placed = self._place(failure)
            if placed is None:
                self._exchange.cut_stream(failure, events=self._events)
                return
            try:
                await self._attempt(placed)
                return
            except AttemptError as error:
                failure = error.code
                self._history.take(error.end)
                self._note_end(placed, error)
                self._tried |= {placed.endpoint.id}
                if not self._may_go_on():
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

    def _place(self, failure: str) -> Placed | None:
        """Returns where the request goes, or None for a stream that cannot go on.

        Raises:
          CodedError: It goes nowhere.
        """
        left = self.left
        placer = self._gateway.placer
        placed, choice = placer.place(
            self._route, self._service, self._head, self._tried, self._weights, left
        )
        if placed is not None and left > SHORTEST_USEFUL_SECONDS:
            self._gateway.log.write(
                Event.REQUEST_PLACED,
                request=self._head.request_id,
                workspace=self._workspace,
                route=self._route.name,
                service=self._service,
                endpoint=placed.endpoint.id,
                weights=placed.weights,
                forecast=round(placed.seconds, 3),
                in_progress=placed.load.own,
                after=failure,
            )
            return placed
        if self._exchange.streaming:
            return None
        if self._history.may_have_run:
            status = self._history.final_status(left <= SHORTEST_USEFUL_SECONDS)
            raise CodedError(failure or "no_endpoint", "no answer", status, Outcome.UNKNOWN)
        self._exchange.note(
            service=self._service,
            endpoints_known=choice.known,
            endpoints_able=choice.able,
            report_age=choice.report_age,
        )
        code = "overloaded" if choice.seconds < float("inf") else "no_endpoint"
        message = f"the first event would come after {choice.seconds:.2f} s"
        retry = min(choice.retry_after, RETRY_FRACTION * left) * (1.0 + 0.3 * placer.rng.random())
        raise CodedError(code, message, 503, retry_after=retry)

    def _may_go_on(self) -> bool:
        if self.left <= SHORTEST_USEFUL_SECONDS or not self._history.may_go_on():
            return False
        now = asyncio.get_running_loop().time()
        if self._gateway.guard.is_blocked(self._fingerprint, now):
            return False
        if not self._gateway.placer.budget(self._service).spend(self._retries):
            return False
        self._retries += 1
        return True

    def _give_up(self, error: AttemptError) -> None:
        facts = {"events": self._events, "attempts": self._history.sends}
        if self._exchange.streaming:
            self._exchange.cut_stream(error.code, **facts)
            return
        if error.reply is not None and error.end is AttemptEnd.FAILED:
            self._exchange.answer_whole(error.reply, **facts)
            return
        late = self.left <= SHORTEST_USEFUL_SECONDS
        status = self._history.final_status(late)
        outcome = Outcome.UNKNOWN if self._history.may_have_run else Outcome.NOT_RUN
        retry = NOT_RUN_RETRY_SECONDS if outcome is Outcome.NOT_RUN else None
        raise CodedError(error.code, "no endpoint answered", status, outcome, retry_after=retry)

    def _note_end(self, placed: Placed, error: AttemptError) -> None:
        self._gateway.log.write(
            Event.CALL_PLACED_AGAIN,
            request=self._head.request_id,
            endpoint=placed.endpoint.id,
            code=error.code,
            end=error.end.value,
            events=self._events,
        )
        # A caller's own short time says nothing of the endpoint.
        waited = asyncio.get_running_loop().time() - self._marks.began
        if error.code != "timeout" or waited > OVERDUE_FACTOR * placed.seconds:
            self._gateway.placer.take_failure(placed, error.code)
        if error.code in DEATH_CODES:
            now = asyncio.get_running_loop().time()
            self._gateway.guard.saw_death(self._fingerprint, placed.endpoint.id, now)
            self._gateway.peers.tell_suspect(placed.endpoint.id, self._fingerprint)
            self._gateway.log.write(
                Event.REQUEST_SUSPECTED,
                request=self._head.request_id,
                endpoint=placed.endpoint.id,
                fingerprint=self._fingerprint,
            )

    async def _attempt(self, placed: Placed) -> None:
        prompt = self._head.prompt_tokens
        self._gateway.placer.begin(placed, prompt)
        self._marks = marks = AttemptMarks()
        connection: EndpointConnection | None = None
        try:
            endpoint = placed.endpoint
            timeout = min(CONNECT_SECONDS, self.left)
            try:
                connection = await endpoint_connection.connect(
                    endpoint.host, endpoint.port, timeout
                )
            except CodedError as error:
                raise AttemptError(AttemptEnd.NOT_SENT, error.code) from error
            await self._exchange_with(connection, placed, marks)
            self._gateway.placer.take_success(placed)
            self._gateway.guard.clear(self._fingerprint)
        finally:
            placed.load.ended(prompt, marks.answered)
            if connection is not None:
                connection.close()

    async def _exchange_with(
        self, connection: EndpointConnection, placed: Placed, marks: "AttemptMarks"
    ) -> None:
        state = self._gateway.state
        # Looked at again just before the request leaves: it may have waited for a connection,
        # or this process may have slept, since its key was judged.
        if self._workspace and not state.lease.holds(awake_seconds()):
            raise AttemptError(AttemptEnd.NOT_SENT, "not_ready")
        headers = heads.write_forwarded(
            self._head,
            placed.endpoint,
            self._workspace,
            self.left,
            len(self._body),
            self._last_event,
            placed.weights,
            None,
        )
        sent_at = asyncio.get_running_loop().time()
        connection.send(self._head.method, self._head.target, headers, self._body)
        head = await self._read_head(connection)
        if self._route.kind is RouteKind.STREAM and head.success:
            await self._relay_stream(connection, placed, head, marks)
            return
        reply = await self._read_whole(connection, head)
        if not head.success:
            raise AttemptError(AttemptEnd.FAILED, f"status_{head.status}", reply)
        placed.load.take_run(asyncio.get_running_loop().time() - sent_at)
        if self._exchange.streaming:
            raise AttemptError(AttemptEnd.LOST, "not_a_stream")
        self._exchange.answer_whole(
            reply, endpoint=placed.endpoint.id, attempts=self._history.sends + 1
        )

    async def _next_part(self, connection: EndpointConnection) -> Part:
        try:
            return await asyncio.wait_for(connection.next_part(), max(0.001, self.left))
        except TimeoutError as error:
            raise AttemptError(AttemptEnd.LOST, "timeout") from error

    async def _read_head(self, connection: EndpointConnection) -> ReplyHead:
        part = await self._next_part(connection)
        if part.kind is not PartKind.HEAD:
            raise AttemptError(AttemptEnd.LOST, "answer_lost")
        head = part.head
        if head.not_executed and not head.success:
            raise AttemptError(AttemptEnd.REFUSED, f"refused_{head.status}")
        crossed = head.request_id and head.request_id != self._head.request_id
        if crossed or head.encoded or (head.success and not head.signed):
            raise AttemptError(AttemptEnd.LOST, "answer_crossed" if crossed else "answer_broken")
        return head

    async def _read_whole(self, connection: EndpointConnection, head: ReplyHead) -> WholeReply:
        parts = []
        while True:
            part = await self._next_part(connection)
            if part.kind is PartKind.END:
                return WholeReply(head, b"".join(parts))
            if part.kind is PartKind.BROKEN:
                raise AttemptError(AttemptEnd.LOST, "answer_cut")
            parts.append(part.content)

    async def _relay_stream(
        self,
        connection: EndpointConnection,
        placed: Placed,
        head: ReplyHead,
        marks: "AttemptMarks",
    ) -> None:
        stream = EventStream()
        loop = asyncio.get_running_loop()
        while True:
            part = await self._next_part(connection)
            if part.kind is PartKind.BROKEN:
                raise AttemptError(AttemptEnd.LOST, "stream_cut")
            if part.kind is PartKind.END:
                break
            try:
                events = stream.take(part.content)
            except ValueError as error:
                raise AttemptError(AttemptEnd.LOST, "answer_broken") from error
            if not events.count:
                continue
            if not marks.answered:
                marks.answered = True
                seconds = loop.time() - marks.began
                prompt = self._head.prompt_tokens
                self._gateway.placer.take_first_event(placed, prompt, seconds)
            if not self._exchange.streaming:
                self._first_event_at = loop.time()
                self._weights = placed.weights
                await self._exchange.begin_stream(head)
            placed.load.progressed(loop.time())
            self._last_event = events.last_id or self._last_event
            self._events += events.count
            await self._exchange.write_events(events.content)
        if stream.incomplete:
            raise AttemptError(AttemptEnd.LOST, "stream_cut")
        if not self._exchange.streaming:
            await self._exchange.begin_stream(head)
        first = self._first_event_at - self._exchange.began
        self._exchange.end_stream(
            endpoint=placed.endpoint.id,
            events=self._events,
            first_token=round(first, 4),
            attempts=self._history.sends + 1,
        )


class AttemptMarks:
    """What happened in one attempt.

    Attributes:
      answered: Whether its first event came.
      began: When it was placed, by the event loop's clock.
    """

    __slots__ = ("answered", "began")

    def __init__(self) -> None:
        self.answered = False
        self.began = asyncio.get_running_loop().time()
