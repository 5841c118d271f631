"""One attempt: a request sent to one endpoint, and its answer passed on."""

import asyncio
import collections.abc
import typing

from tornado import iostream

from ..core import waiting
from ..core.awake_clock import awake_seconds
from ..core.errors import CodedError
from ..core.request_head import ReplyHead
from ..core.route import RouteKind
from ..decisions.attempt_rule import AttemptEnd
from ..decisions.request_recall import RecallReason
from ..platform import heads
from . import endpoint_connection
from .call import Call, StreamProgress
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


class AttemptError(Exception):
    """An attempt ended without an answer that can be passed on."""

    def __init__(self, end: AttemptEnd, code: str, reply: WholeReply | None = None) -> None:
        super().__init__(code)
        self.end = end
        self.code = code
        self.reply = reply


class Attempt:
    """Sends a request to one endpoint.

    Attributes:
      number: Which attempt of its request it is, by those that were sent.
      began: When it was placed, by the event loop's clock.
    """

    __slots__ = ("_exchange", "_gateway", "_call", "_progress", "_placed", "_answered")
    __slots__ += ("_connection", "_recalled", "_reserve", "_heard_at", "number", "began")

    def __init__(
        self,
        exchange: "CallerExchange",
        gateway: "Gateway",
        call: Call,
        progress: StreamProgress,
        placed: Placed,
        number: int,
        reserve: collections.abc.Callable[[Placed], bool],
    ) -> None:
        self._exchange = exchange
        self._gateway = gateway
        self._call = call
        self._progress = progress
        self._placed = placed
        # Whether its first event came.
        self._answered = False
        self._connection: EndpointConnection | None = None
        # Why it does not go on here; None while it does.
        self._recalled: RecallReason | None = None
        self._reserve = reserve
        self.number = number
        self.began = self._heard_at = asyncio.get_running_loop().time()

    @property
    def placed(self) -> Placed:
        """Where it was sent, and on which weights."""
        return self._placed

    @property
    def repeatable(self) -> bool:
        """Whether its request may run more than once."""
        return self._call.route.idempotent

    @property
    def begun(self) -> bool:
        """Whether something of an answer came, read by now or not."""
        return self._connection is not None and self._connection.answering

    @property
    def recalled(self) -> RecallReason | None:
        """Why it was recalled, or None."""
        return self._recalled

    @property
    def tells_beginning(self) -> bool:
        """Whether its answer begins when its endpoint begins to work on it."""
        return self._call.route.kind is RouteKind.STREAM

    @property
    def heard_at(self) -> float:
        """When something came of it, or it was placed, by the event loop's clock."""
        return self._heard_at

    @property
    def leaves_in(self) -> float:
        """The seconds until its caller leaves; infinite once something was passed on."""
        if self._exchange.streaming:
            return float("inf")
        return self._call.leaves_in(self._progress.last_event_at)

    def reserve_elsewhere(self) -> bool:
        """Reserves a place at another endpoint that may go on with it, if there is one."""
        return self._recalled is None and self._reserve(self._placed)

    def recall(self, reason: RecallReason) -> None:
        """Drops the request where it is; see AttemptsInProgress."""
        self._recalled = reason
        if self._connection is not None:
            self._connection.break_off()

    async def run(self) -> None:
        """Returns once the answer was passed on.

        Raises:
          AttemptError: There was none that can be.
        """
        placed = self._placed
        prompt = self._call.head.prompt_tokens
        self._gateway.attempts.add(self)
        try:
            endpoint = placed.endpoint
            timeout = min(CONNECT_SECONDS, self._call.left)
            try:
                self._connection = await endpoint_connection.connect(
                    endpoint.host, endpoint.port, timeout
                )
            except CodedError as error:
                raise AttemptError(AttemptEnd.NOT_SENT, error.code) from error
            await self._exchange_with(self._connection)
            self._gateway.placer.record_success(placed)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            # Its caller has left. Were it a probe that is waited for, there would be no other,
            # and the endpoint would stay out of service.
            self._gateway.placer.record_no_verdict(placed)
            raise
        finally:
            self._gateway.attempts.discard(self)
            placed.load.record_ended(prompt, self._answered)
            if self._connection is not None:
                self._connection.close()

    async def _exchange_with(self, connection: EndpointConnection) -> None:
        call, placed = self._call, self._placed
        # Looked at again just before the request leaves: it may have waited for a connection,
        # or this process may have slept, since its key and its weights were judged.
        if call.workspace and not self._gateway.state.lease.is_valid(awake_seconds()):
            raise AttemptError(AttemptEnd.NOT_SENT, "not_ready")
        if not self._gateway.attempts.may_begin(placed):
            self._recalled = RecallReason.WEIGHTS_OVERDUE
        if self._recalled is not None:
            raise AttemptError(AttemptEnd.NOT_SENT, self._recalled.value)
        headers = heads.write_forwarded(
            call.head,
            placed.endpoint,
            call.workspace,
            call.left,
            len(call.body),
            self._progress.last_event,
            placed.weights,
            None,
        )
        sent_at = asyncio.get_running_loop().time()
        connection.send(call.head.method, call.head.target, headers, call.body)
        head = await self._read_head(connection)
        if call.route.kind is RouteKind.STREAM and head.success:
            await self._relay_stream(connection, head)
            return
        reply = await self._read_whole(connection, head)
        if not head.success:
            raise AttemptError(AttemptEnd.FAILED, f"status_{head.status}", reply)
        placed.load.record_run(asyncio.get_running_loop().time() - sent_at)
        if self._exchange.streaming:
            raise AttemptError(AttemptEnd.LOST, "not_a_stream")
        self._exchange.answer_whole(reply, endpoint=placed.endpoint.id, attempts=self.number)

    async def _next_part(self, connection: EndpointConnection) -> Part:
        try:
            part = await waiting.wait_for(connection.next_part(), max(0.001, self._call.left))
        except TimeoutError as error:
            raise AttemptError(AttemptEnd.LOST, "timeout") from error
        if part.kind is PartKind.BROKEN and self._recalled is not None:
            raise AttemptError(AttemptEnd.LOST, self._recalled.value)
        return part

    async def _read_head(self, connection: EndpointConnection) -> ReplyHead:
        part = await self._next_part(connection)
        if part.kind is not PartKind.HEAD:
            raise AttemptError(AttemptEnd.LOST, "answer_lost")
        head = part.head
        if head.not_executed and not head.success:
            raise AttemptError(AttemptEnd.REFUSED, f"refused_{head.status}")
        crossed = head.request_id and head.request_id != self._call.head.request_id
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

    async def _relay_stream(self, connection: EndpointConnection, head: ReplyHead) -> None:
        stream = EventStream()
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
            await self._note_event(head)
            self._progress.last_event = events.last_id or self._progress.last_event
            self._progress.events += events.count
            await self._exchange.write_events(events.content)
        if stream.incomplete:
            raise AttemptError(AttemptEnd.LOST, "stream_cut")
        if not self._exchange.streaming:
            await self._exchange.begin_stream(head)
        first = self._progress.first_event_at - self._exchange.began
        self._exchange.end_stream(
            endpoint=self._placed.endpoint.id,
            events=self._progress.events,
            first_token=round(first, 4),
            attempts=self.number,
        )

    async def _note_event(self, head: ReplyHead) -> None:
        """Counts an event that came, and begins the caller's stream with the first."""
        loop = asyncio.get_running_loop()
        if not self._answered:
            self._answered = True
            prompt = self._call.head.prompt_tokens
            seconds = loop.time() - self.began
            self._gateway.placer.record_first_event(self._placed, prompt, seconds)
        if not self._exchange.streaming:
            self._progress.first_event_at = loop.time()
            self._progress.weights = self._placed.weights
            await self._exchange.begin_stream(head)
        self._heard_at = self._progress.last_event_at = loop.time()
        self._placed.load.record_progress(self._heard_at)
