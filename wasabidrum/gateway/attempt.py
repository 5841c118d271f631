"""One attempt: sends a request to one endpoint and passes the reply on to the caller."""

import asyncio
import contextlib
import typing

from tornado import iostream

from ..core import waiting
from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..core.request_head import ReplyHead
from ..core.route import RouteKind
from ..decisions import begin_deadline
from ..decisions.attempt_rule import AttemptEnd
from ..decisions.buffer_budget import BufferAccount
from ..decisions.request_recall import RecallReason
from ..decisions.version_floor import BeginLimit
from ..observe.event import Event
from ..platform import heads
from . import endpoint_connection, reported_statuses
from .call import Call, StreamProgress
from .complete_reply import CompleteReply
from .endpoint_connection import EndpointConnection, Part, PartKind
from .event_stream import EventStreamBuffer
from .part_guard import BLOCKED_CODE
from .placement import Placement

if typing.TYPE_CHECKING:
    from .daemon import Gateway
    from .exchange import CallerExchange

# A connection within the fleet opens in a few milliseconds. An instance that does not answer
# within this time is unreachable, and another one can still answer before the deadline.
CONNECT_TIMEOUT_SECONDS = 0.25
# An endpoint that runs asks for the body within milliseconds if it ever does so. A report that
# arrives this much later than the head was sent shows that it ran meanwhile.
BODY_REQUEST_TIMEOUT_SECONDS = reported_statuses.REPORT_LAG_SECONDS
# The error codes of attempts that were not sent because their endpoint may get no requests now.
RESTING_CODE = "endpoint_resting"
LEAVING_CODE = "endpoint_leaving"
# A rule has forbidden to send there since the endpoint was chosen.
RULED_OUT_CODE = "endpoint_ruled_out"
UNWANTED_CODES = frozenset((RESTING_CODE, LEAVING_CODE, RULED_OUT_CODE))
# What the endpoint sent is no reply, or exceeds the bounds of one; it may come without end.
INVALID_CODE = "answer_invalid"
# The memory for buffers does not hold the rest of the reply.
MEMORY_CODE = "memory_short"
# How long after the caller's deadline parts of a reply are still passed on that arrive without a
# pause. Without a limit, a reply that has no end would never time out.
LATE_SECONDS = 0.5


class AttemptError(Exception):
    """An attempt that ended without a reply for the caller.

    Attributes:
      end: What the failure says about whether the request ran.
      code: The error code.
      reply: The endpoint's complete error reply, if there was one.
    """

    def __init__(self, end: AttemptEnd, code: str, reply: CompleteReply | None = None) -> None:
        super().__init__(code)
        self.end = end
        self.code = code
        self.reply = reply


class AttemptOwner(typing.Protocol):
    """What an attempt asks of the request that it serves."""

    def may_send(self) -> bool:
        """Returns whether the parts of the prompt still allow to send the request."""

    def reserve_elsewhere(self, placement: Placement) -> bool:
        """Reserves another endpoint and a retry; returns whether both were free."""

    def start_successor(self) -> None:
        """Sends the request to the reserved endpoint as well."""

    def claim(self, attempt: "Attempt") -> None:
        """Ends all other attempts, because this one has something to pass on."""


class Attempt:
    """Sends a request to one endpoint.

    Attributes:
      placed_in: The revision of the part guard in which the request was placed.
      number: The number of the attempt among those of its request that were sent, from one.
      started_at: When the request was placed, by the event loop's clock.
      has_begun: Whether it runs or has run. It gives its place at the endpoint back when it ends.
    """

    __slots__ = (
        "_exchange",
        "_gateway",
        "_call",
        "_progress",
        "_placement",
        "_first_event_received",
    )
    __slots__ += (
        "_connection",
        "_recall_reason",
        "_owner",
        "_last_activity_at",
        "_sent_at",
        "_head_at",
        "_limit_at_sending",
        "_limit_logged",
        "_stopped_at",
        "_needed_seconds",
        "_deadline_seconds",
        "number",
        "placed_in",
        "started_at",
        "has_begun",
    )

    def __init__(
        self,
        exchange: "CallerExchange",
        gateway: "Gateway",
        call: Call,
        progress: StreamProgress,
        placement: Placement,
        number: int,
        owner: AttemptOwner,
    ) -> None:
        self._exchange = exchange
        self._gateway = gateway
        self._call = call
        self._progress = progress
        self._placement = placement
        self._first_event_received = False
        self._connection: EndpointConnection | None = None
        self._recall_reason: RecallReason | None = None
        self._owner = owner
        # Both by the event loop's clock; None before.
        self._sent_at: float | None = None
        self._head_at: float | None = None
        self._limit_at_sending: BeginLimit | None = None
        self._limit_logged = False
        # When the endpoint stops work on the request before its caller's deadline.
        self._stopped_at = float("inf")
        # What the answer was forecast to take, and the deadline sent along; None before.
        self._needed_seconds: float | None = None
        self._deadline_seconds: float | None = None
        self.number = number
        self.placed_in = gateway.part_guard.revision
        self.started_at = self._last_activity_at = asyncio.get_running_loop().time()
        self.has_begun = False

    @property
    def placement(self) -> Placement:
        """The endpoint it is sent to, and the version of the weights that must answer."""
        return self._placement

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self._call.route.idempotent

    @property
    def response_started(self) -> bool:
        """Whether a part of the reply's body has arrived, even if it was not read yet."""
        return self._connection is not None and self._connection.body_started

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return self._connection is not None and self._connection.sent

    @property
    def recall_reason(self) -> RecallReason | None:
        """Why the attempt was recalled from its endpoint; None if it was not."""
        return self._recall_reason

    @property
    def streams_response(self) -> bool:
        """Whether the reply starts as soon as the endpoint starts to work on the request."""
        return self._call.route.kind is RouteKind.STREAM

    @property
    def waits_for_caller(self) -> bool:
        """Whether parts of the reply have arrived that its caller has not read yet."""
        return self._connection is not None and self._connection.has_unread

    @property
    def last_activity_at(self) -> float:
        """When the last event arrived, or else the request was placed, by the loop's clock."""
        if self.waits_for_caller:
            return asyncio.get_running_loop().time()
        return self._last_activity_at

    @property
    def seconds_until_disconnect(self) -> float:
        """Seconds until the caller will disconnect; infinite once it has received something."""
        if self._exchange.streaming:
            return float("inf")
        return self._call.seconds_until_disconnect(self._progress.last_event_at)

    def reserve_elsewhere(self) -> bool:
        """Reserves a place for the request at another endpoint; returns whether there is one."""
        return self._recall_reason is None and self._owner.reserve_elsewhere(self._placement)

    def recall(self, reason: RecallReason) -> None:
        """Withdraws the request from its endpoint; see AttemptsInProgress.

        A silent endpoint keeps it until another one has begun to answer.
        """
        if reason is RecallReason.ENDPOINT_SILENT:
            self._owner.start_successor()
        else:
            self._withdraw(reason)

    def supersede(self) -> None:
        """Withdraws the request from its endpoint because another one answers it."""
        self._withdraw(RecallReason.ENDPOINT_SILENT)

    def _withdraw(self, reason: RecallReason) -> None:
        self._recall_reason = reason
        self._log_limit(reason.value)
        if self._connection is not None:
            self._connection.abort()

    async def run(self) -> None:
        """Sends the request and returns once the reply was passed on.

        Raises:
          AttemptError: There was no reply that can be passed on.
        """
        self.has_begun = True
        placement = self._placement
        prompt = self._call.head.prompt_tokens
        self._gateway.attempts.add(self)
        try:
            endpoint = placement.endpoint
            timeout = min(CONNECT_TIMEOUT_SECONDS, self._call.seconds_left)
            try:
                self._connection = await endpoint_connection.connect(
                    endpoint.host, endpoint.port, timeout, self._gateway.buffers
                )
            except CodedError as error:
                raise AttemptError(AttemptEnd.NOT_SENT, error.code) from error
            await self._send_and_relay(self._connection)
            self._gateway.placer.record_success(placement)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            # The caller has disconnected. If this attempt was a health probe, the probe must end
            # here: no other is sent while one is pending, and the endpoint would stay ejected.
            self._gateway.placer.record_inconclusive_end(placement)
            raise
        finally:
            if not self._first_event_received:
                self._log_limit("ended")
            self._gateway.attempts.discard(self)
            rank = placement.rank or 0
            placement.load.record_ended(prompt, self._first_event_received, rank)
            if self._connection is not None:
                self._connection.close()

    async def _send_and_relay(self, connection: EndpointConnection) -> None:
        call, placement = self._call, self._placement
        self._check_may_send()
        # A process that is suspended reads on waking what lies in its socket, and only then learns
        # that the request was recalled. So it gets the body only when it has asked for it.
        held = bool(placement.weights and call.body) and placement.load.asks_for_body is not False
        headers = heads.write_forwarded(
            call.head,
            placement.endpoint,
            call.workspace,
            self._limit_deadline(),
            len(call.body),
            self._progress.last_event_id,
            placement.weights,
            placement.queue_priority,
            held,
        )
        connection.send(call.head.method, call.head.target, headers, call.body, held)
        sent_at = asyncio.get_running_loop().time()
        if held:
            head = await self._send_held_body(connection)
        else:
            self._record_sent()
            head = self._read_reply_head(await self._next_part(connection))
        if call.route.kind is RouteKind.STREAM and head.success:
            await self._relay_stream(connection, head)
            return
        reply = await self._read_complete_reply(connection, head)
        if not head.success:
            raise AttemptError(AttemptEnd.FAILED, f"status_{head.status}", reply)
        placement.load.record_run(asyncio.get_running_loop().time() - sent_at)
        if self._exchange.streaming:
            raise AttemptError(AttemptEnd.LOST, "not_a_stream")
        self._claim()
        self._exchange.send_reply(reply, endpoint=placement.endpoint.id, attempts=self.number)

    def _check_may_send(self) -> None:
        """Checks just before something is sent whether it still may be.

        That depends on the API key, the weights, the prompt's parts, and on what the endpoint has
        said of itself: that it leaves, or wants rest.

        They were checked before the connection was opened. Opening it may have taken long, or the
        endpoint may have asked late for the body, or this process may have been suspended.

        Raises:
          AttemptError: The request may not be sent any more.
        """
        gateway = self._gateway
        if self._call.workspace and not gateway.state.lease.is_valid(boot_seconds()):
            raise AttemptError(AttemptEnd.NOT_SENT, "not_ready")
        if not gateway.attempts.may_begin(self._placement):
            self._recall_reason = RecallReason.WEIGHTS_OVERDUE
        if self._recall_reason is not None:
            raise AttemptError(AttemptEnd.NOT_SENT, self._recall_reason.value)
        if gateway.state.endpoints.is_leaving(self._placement.endpoint):
            raise AttemptError(AttemptEnd.NOT_SENT, LEAVING_CODE)
        if gateway.placer.rest_seconds_left(self._placement.endpoint):
            raise AttemptError(AttemptEnd.NOT_SENT, RESTING_CODE)
        placement = self._placement
        if gateway.placer.refusing_rule(placement.endpoint, self._call.scope, placement.placed_at):
            raise AttemptError(AttemptEnd.NOT_SENT, RULED_OUT_CODE)
        if not self._owner.may_send():
            raise AttemptError(AttemptEnd.NOT_SENT, BLOCKED_CODE)

    async def _send_held_body(self, connection: EndpointConnection) -> ReplyHead:
        """Sends the body once the endpoint asks for it, or if it is not known to ask.

        Returns:
          The head of the reply, which an endpoint may also send instead of asking.

        Raises:
          AttemptError: There was no reply that can be passed on.
        """
        load = self._placement.load
        part = await self._wait_for_body_request(connection)
        if part is not None and part.kind is not PartKind.CONTINUE:
            return self._read_reply_head(part)
        self._check_may_send()
        self._record_sent()
        connection.send_held_body()
        first = await self._next_part(connection)
        if part is not None:
            load.asks_for_body = True
        elif first.kind is PartKind.CONTINUE:
            load.asks_for_body = True
            first = await self._next_part(connection)
        elif first.kind is PartKind.HEAD:
            load.asks_for_body = False
        return self._read_reply_head(first)

    async def _wait_for_body_request(self, connection: EndpointConnection) -> Part | None:
        """Returns what the endpoint sends before it has the body; None if it need not ask for it.

        Silence alone does not show that: the endpoint may be suspended.

        Raises:
          AttemptError: It did not ask for the body, so that it has not run the request.
        """
        loop, load = asyncio.get_running_loop(), self._placement.load
        ran_at = loop.time() + BODY_REQUEST_TIMEOUT_SECONDS
        part = None
        while part is None:
            if self._call.seconds_left <= 0.0:
                raise AttemptError(AttemptEnd.NOT_SENT, "timeout")
            waits = min(self._call.seconds_left, BODY_REQUEST_TIMEOUT_SECONDS)
            with contextlib.suppress(TimeoutError):
                part = await waiting.wait_for(connection.next_part(), max(0.001, waits))
            if part is None and load.asks_for_body is None and load.reported_at >= ran_at:
                return None
        if part.kind is PartKind.BROKEN:
            reason = self._recall_reason
            code = "endpoint_unreachable" if reason is None else reason.value
            if connection.invalid and reason is None:
                code = self._record_invalid()
            raise AttemptError(AttemptEnd.NOT_SENT, code)
        return part

    def _record_invalid(self) -> str:
        """Logs that what arrived is no reply; returns the error code."""
        self._gateway.log.write(
            Event.ANSWER_INVALID,
            request=self._call.head.request_id,
            endpoint=self._placement.endpoint.id,
            head=self._head_at is not None,
        )
        return INVALID_CODE

    def _record_sent(self) -> None:
        """Records that the endpoint has, or is about to have, all that it needs to begin."""
        self._sent_at = asyncio.get_running_loop().time()
        self._limit_at_sending = self._begin_limit()

    async def _next_part(self, connection: EndpointConnection) -> Part:
        if self._call.seconds_left < -LATE_SECONDS and not connection.ended:
            raise AttemptError(AttemptEnd.LOST, "timeout")
        try:
            part = await waiting.wait_for(
                connection.next_part(), max(0.001, self._call.seconds_left)
            )
        except TimeoutError as error:
            raise AttemptError(AttemptEnd.LOST, "timeout") from error
        if part.kind is PartKind.BROKEN:
            if asyncio.get_running_loop().time() >= self._stopped_at:
                self._recall_reason = RecallReason.WEIGHTS_OVERDUE
            if self._recall_reason is not None:
                raise AttemptError(AttemptEnd.LOST, self._recall_reason.value)
            if connection.invalid:
                raise AttemptError(AttemptEnd.LOST, self._record_invalid())
        return part

    def _read_reply_head(self, part: Part) -> ReplyHead:
        if part.kind is not PartKind.HEAD:
            raise AttemptError(AttemptEnd.LOST, "answer_lost")
        head = part.head
        self._head_at = asyncio.get_running_loop().time()
        self._record_leaving(head)
        self._record_stated_limit(head)
        self._record_rest(head)
        self._record_cold(head)
        if head.not_executed and not head.success:
            raise AttemptError(AttemptEnd.REFUSED, f"refused_{head.status}")
        mismatched = head.request_id and head.request_id != self._call.head.request_id
        if mismatched or head.encoded or (head.success and not head.signed):
            raise AttemptError(AttemptEnd.LOST, "answer_crossed" if mismatched else "answer_broken")
        return head

    def _record_leaving(self, head: ReplyHead) -> None:
        request_id = self._call.head.request_id
        # Another endpoint at this address speaks of itself.
        of_another = head.status == 421 and head.instance != self._placement.endpoint.id
        crossed = head.request_id not in ("", request_id)
        if head.leaving and not of_another and not crossed:
            self._gateway.placer.record_leaving(self._placement, request_id, head.status)

    def _record_stated_limit(self, head: ReplyHead) -> None:
        # An answer to another request, or of another endpoint at this address, says nothing about
        # the one that the request was sent to.
        if head.status == 421 or head.request_id != self._call.head.request_id:
            return
        # A refusal may be made by what stands before the endpoint, which knows nothing of a limit.
        withdrawn = not head.states_limit and head.signed and head.success
        if withdrawn or head.stated_limit is not None:
            self._gateway.placer.record_stated_limit(self._placement, head.stated_limit)

    def _record_rest(self, head: ReplyHead) -> None:
        # What stands before an endpoint may turn requests away without their id.
        answers_this = head.request_id in ("", self._call.head.request_id)
        own = head.instance in ("", self._placement.endpoint.id)
        if head.rest_seconds > 0.0 and answers_this and own:
            self._gateway.placer.record_rest(self._placement, head.rest_seconds)

    def _record_cold(self, head: ReplyHead) -> None:
        placement = self._placement
        if head.cold_seconds is None or head.status == 421:
            return
        own = head.instance in ("", placement.endpoint.id)
        if own and head.request_id == self._call.head.request_id:
            self._gateway.cold_rule.record_answer(
                placement.endpoint, head.cold_seconds, placement.placed_at
            )

    async def _read_complete_reply(
        self, connection: EndpointConnection, head: ReplyHead
    ) -> CompleteReply:
        body, account = bytearray(), BufferAccount(self._gateway.buffers)
        try:
            while True:
                part = await self._next_part(connection)
                if part.kind is PartKind.END:
                    return CompleteReply(head, bytes(body))
                if part.kind is PartKind.BROKEN:
                    raise AttemptError(AttemptEnd.LOST, "answer_cut")
                body += part.content
                account.add(len(part.content))
                if self._gateway.buffers.exceeded:
                    raise AttemptError(AttemptEnd.LOST, MEMORY_CODE)
        finally:
            account.close()

    async def _relay_stream(self, connection: EndpointConnection, head: ReplyHead) -> None:
        buffer = EventStreamBuffer()
        while True:
            part = await self._next_part(connection)
            if part.kind is PartKind.BROKEN:
                raise AttemptError(AttemptEnd.LOST, "stream_cut")
            if part.kind is PartKind.END:
                break
            try:
                events = buffer.feed(part.content)
            except ValueError as error:
                raise AttemptError(AttemptEnd.LOST, "answer_broken") from error
            if not events.count:
                continue
            self._claim()
            await self._record_events(head)
            self._progress.last_event_id = events.last_event_id or self._progress.last_event_id
            self._progress.event_count += events.count
            await self._exchange.write_events(events.content)
        if buffer.incomplete:
            raise AttemptError(AttemptEnd.LOST, "stream_cut")
        self._claim()
        if not self._exchange.streaming:
            await self._exchange.start_stream(head)
        first = self._progress.first_event_at - self._exchange.started_at
        self._exchange.finish_stream(
            endpoint=self._placement.endpoint.id,
            events=self._progress.event_count,
            first_token=round(first, 4),
            attempts=self.number,
        )

    def _claim(self) -> None:
        """Makes this the only attempt, before it passes something on.

        Raises:
          AttemptError: Another one is.
        """
        if self._recall_reason is RecallReason.ENDPOINT_SILENT:
            raise AttemptError(AttemptEnd.LOST, self._recall_reason.value)
        self._owner.claim(self)

    async def _record_events(self, head: ReplyHead) -> None:
        """Records that events arrived; with the first of all, starts the caller's stream."""
        loop = asyncio.get_running_loop()
        if not self._first_event_received:
            self._first_event_received = True
            self._log_limit("begun")
            prompt = self._call.head.prompt_tokens
            seconds = loop.time() - self.started_at
            self._gateway.placer.record_first_event(self._placement, prompt, seconds)
        if not self._exchange.streaming:
            self._progress.first_event_at = loop.time()
            self._progress.weights = self._placement.weights
            await self._exchange.start_stream(head)
        self._last_activity_at = self._progress.last_event_at = loop.time()
        self._gateway.placer.record_progress(self._placement, self._last_activity_at)

    def _limit_deadline(self) -> float:
        """Returns the seconds that the endpoint gets, and records if it is to stop early."""
        placement, left = self._placement, self._call.seconds_left
        if not placement.weights:
            return left
        limit = self._begin_limit()
        bound = self._gateway.state.shortest_bound if limit is None else limit.seconds
        needed = self._gateway.placer.needed_seconds(placement, self._call.head, limit is None)
        seconds = begin_deadline.limit_seconds(left, bound, needed, limit is not None)
        if seconds < left:
            self._stopped_at = asyncio.get_running_loop().time() + seconds
        self._needed_seconds, self._deadline_seconds = needed, seconds
        return seconds

    def _begin_limit(self) -> BeginLimit | None:
        placement = self._placement
        if not placement.weights:
            return None
        return self._gateway.state.begin_limit(placement.endpoint.model, placement.weights)

    def _log_limit(self, outcome: str) -> None:
        """Logs once what became of a request that was sent for weights that were replaced.

        Args:
          outcome: "begun", "ended" without having begun, or why it is recalled.
        """
        limit = self._begin_limit()
        if self._sent_at is None or self._limit_logged or limit is None:
            return
        self._limit_logged = True
        sent = self._limit_at_sending
        now = asyncio.get_running_loop().time()
        self._gateway.log.write(
            Event.REPLACED_WEIGHTS_ASKED,
            request=self._call.head.request_id,
            endpoint=self._placement.endpoint.id,
            weights=self._placement.weights,
            version=limit.version,
            outcome=outcome,
            seconds=round(now - self._sent_at, 3),
            head=None if self._head_at is None else round(self._head_at - self._sent_at, 3),
            left=round(limit.seconds, 3),
            left_at_sending=None if sent is None else round(sent.seconds, 3),
            known_for=round(limit.known_for, 3),
            put_off=round(limit.put_off, 3),
            needed=None if self._needed_seconds is None else round(self._needed_seconds, 3),
            deadline=None if self._deadline_seconds is None else round(self._deadline_seconds, 3),
            unacknowledged=self._connection.unacknowledged_bytes,
        )
