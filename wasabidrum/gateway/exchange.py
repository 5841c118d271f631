"""One caller's HTTP request, from its head to the final answer."""

import asyncio
import typing

import msgspec
from tornado import httputil, iostream

from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..core.request_head import ReplyHead, RequestHead
from ..core.request_scope import RequestScope
from ..decisions.buffer_budget import BODY_COPIES, REQUEST_BYTES, BufferAccount
from ..decisions.connection_close import CloseCause
from ..observe.event import Event
from ..platform import heads
from ..wire.raw_response import make_response
from ..wire.served_connection import FIELD_BYTES
from .complete_reply import CompleteReply
from .forwarding import Forwarding

if typing.TYPE_CHECKING:
    from .daemon import Gateway

# Short, because another entry serves the caller when it retries.
SHUTDOWN_RETRY_SECONDS = 0.05
NOT_READY_RETRY_SECONDS = 1.0
# Most of what is buffered belongs to requests that end within a second.
MEMORY_RETRY_SECONDS = 1.0
# How long a caller may leave what it was sent unread, and the least rate at which it must read an
# answer that was sent at once. One that has stopped reading would hold memory for ever.
CALLER_STALL_SECONDS = 30.0
MIN_CALLER_BYTES_PER_SECOND = 131_072
# How often it is checked whether a caller has read an answer.
UNREAD_CHECK_SECONDS = 0.1
STATUS_REASONS = {
    401: "Unauthorized",
    404: "Not Found",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class CallerExchange(httputil.HTTPMessageDelegate):
    """Reads a request, forwards it, and answers once."""

    def __init__(self, gateway: "Gateway", connection: httputil.HTTPConnection) -> None:
        self._gateway = gateway
        self._connection = connection
        self._body = bytearray()
        self._body_size = 0
        # The largest that a configuration has allowed since the head was read. One that comes
        # meanwhile must not take away what the caller was promised, nor parts of the body.
        self._body_limit = 0
        # Whether the body has exceeded that; it is not kept.
        self._too_large = False
        self._buffers = BufferAccount(gateway.buffers)
        # Whether the request came while there was no memory for it; its body is not kept.
        self._lacks_memory = False
        self._head: RequestHead | None = None
        self._task: asyncio.Task | None = None
        # Whether the final outcome is decided; a disconnect no longer counts as a cancellation.
        self._completed = False
        self._streaming = False
        # Whether an endpoint may have received the request.
        self._forwarded = False
        # Whether a response was passed on to the connection, and whether all of it was.
        self._part_refused = False
        self._response_begun = False
        self._response_ended = False
        # The configuration in force when its head was read.
        self._head_revision = 0
        self._started_at = 0.0
        self._arrived_at: float | None = None
        self._log_facts: dict[str, object] = {}

    def set_arrival_time(self, arrived_at: float) -> None:
        """Sets when the request arrived, by the event loop's clock, if it waited unread."""
        self._arrived_at = arrived_at

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Reads the request head; see HTTPMessageDelegate."""
        # The deadline counts from the arrival. Counted from now, the deadline of a request that
        # waited unread would end after its caller has left, and an endpoint would keep working
        # for a caller that is gone.
        now = asyncio.get_running_loop().time()
        self._started_at = now if self._arrived_at is None else self._arrived_at
        self._head = heads.read_request(start_line, headers)
        self._head_revision = self._gateway.state.version
        self._body_limit = self._gateway.body_limit
        self._connection.set_max_body_size(self._gateway.read_body_bytes)
        self._lacks_memory = self._gateway.lacks_memory
        self._buffers.add(REQUEST_BYTES + FIELD_BYTES * len(headers))

    def data_received(self, chunk: bytes) -> None:
        """Buffers a part of the body, up to the body limit."""
        self._body_size += len(chunk)
        self._body_limit = max(self._body_limit, self._gateway.body_limit)
        self._too_large = self._too_large or self._body_size > self._body_limit
        if self.discards_body:
            self._body = bytearray()
            return
        # Until it is whole, its server counts what it holds.
        self._body += chunk

    @property
    def discards_body(self) -> bool:
        """See DiscardsBody."""
        return self._lacks_memory or self._too_large

    def finish(self) -> None:
        """Starts to serve the request, which has now been received completely."""
        self._admit_body()
        self._connection.set_close_callback(self.on_disconnect)
        self._task = self._gateway.tasks.start("request", self._run())
        self._task.add_done_callback(self._on_task_done)

    def _admit_body(self) -> None:
        if self.discards_body:
            return
        if not self._gateway.buffers.admits(len(self._body), self._buffers.held):
            self._lacks_memory = True
            self._body = bytearray()
            return
        self._buffers.add(BODY_COPIES * len(self._body))

    def _take_body(self) -> bytes:
        """Returns the body, which this exchange does not hold any more."""
        body, self._body = bytes(self._body), bytearray()
        return body

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._buffers.close()
        if task.cancelled() and not self._completed and not self._connection.stream.closed():
            # The entry has ended before the task could begin.
            self._send_error(leaving_error())

    def record_crossed(
        self, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        """See NotesCrossing."""
        if self._part_refused:
            return
        self._started_at = asyncio.get_running_loop().time()
        self._head = heads.read_request(start_line, headers)
        message = "the connection was closed as the request came"
        self._log_error(CodedError("connection_closed", message, 408))

    def refuse_part(self, cause: CloseCause) -> bytes:
        """See RefusesPart."""
        self._part_refused = True
        if self._head is None:
            self._started_at = asyncio.get_running_loop().time()
        error = memory_error() if cause is CloseCause.NO_ROOM else leaving_error()
        self._log_error(error)
        headers, body = self._error_response(error)
        return make_response(error.http_status, STATUS_REASONS[error.http_status], headers, body)

    def on_connection_close(self) -> None:
        """Handles a disconnect before the request was received completely."""
        self._buffers.close()
        self._body = bytearray()
        self.on_disconnect()

    def on_disconnect(self) -> None:
        """Cancels the request of a caller that has disconnected."""
        if self._task is not None and not self._task.done() and not self._completed:
            self._log_disconnect()
            self._task.cancel()

    async def _run(self) -> None:
        # The close callback reports only disconnects from now on. A connection that closed
        # between the last byte of the request and this point has to be detected here, or the
        # request would be served without a caller.
        if self._connection.stream.closed():
            self._log(Event.REQUEST_CANCELLED, code="cancelled", outcome=Outcome.NOT_RUN.value)
            return
        with self._gateway.requests.track():
            try:
                await self._serve(self._head)
            except CodedError as error:
                self._send_error(error)
            except Exception as error:
                self._on_failure(error)
            except asyncio.CancelledError:
                self._end_cancelled()
                raise

    def _end_cancelled(self) -> None:
        """Answers a request that is given up because the grace period of this entry ends."""
        if self._completed or self._connection.stream.closed():
            return
        if self._streaming:
            self.abort_stream("entry_leaving")
            return
        message = "this entry shut down before the answer came"
        self._send_error(CodedError("entry_leaving", message, 504, Outcome.UNKNOWN))

    async def _serve(self, head: RequestHead) -> None:
        if self._too_large:
            raise CodedError("body_too_large", "the request body is too large", 413)
        if not self._gateway.accepts_requests:
            raise leaving_error()
        if self._lacks_memory:
            raise memory_error()
        state = self._gateway.state
        routes = state.routes
        if routes is None:
            raise not_ready_error("this entry has no configuration yet")
        now = boot_seconds()
        fresh = state.lease.is_valid(now)
        self.add_log_facts(evidence_age=round(state.lease.age(now), 3))
        route = routes.find(head.host, head.path)
        if route is None:
            # A stale configuration may lack a route that exists by now, so that "not found"
            # could be wrong.
            if not fresh:
                raise not_ready_error("the configuration may be out of date")
            raise CodedError("route_unknown", "no such route", 404)
        self.add_log_facts(route=route.name)
        workspace = None
        if routes.has_workspaces and not route.public:
            if not fresh:
                raise not_ready_error("the configuration may be too old to verify API keys")
            workspace = routes.workspace_of(head.key)
            if workspace is None:
                raise CodedError("key_unknown", "the API key is not valid", 401)
            self.add_log_facts(workspace=workspace.name)
        self._forwarded = True
        await Forwarding(
            self, self._gateway, head, RequestScope(route, workspace), self._take_body()
        ).run()

    @property
    def started_at(self) -> float:
        """When the request arrived, as far as known, by the event loop's clock."""
        return self._started_at

    def add_log_facts(self, **facts: object) -> None:
        """Adds facts to the log line that reports the end of the request."""
        self._log_facts.update(facts)

    def send_reply(self, reply: CompleteReply, **facts: object) -> None:
        """Sends an endpoint's complete reply to the caller."""
        self._completed = True
        headers = reply.head.headers
        if reply.head.status not in (204, 304):
            headers["Content-Length"] = str(len(reply.body))
        start = httputil.ResponseStartLine("", reply.head.status, reply.head.reason)
        self._write(start, headers, reply.body)
        self._log(Event.REQUEST_DONE, outcome=Outcome.DONE.value, status=reply.head.status, **facts)

    async def start_stream(self, head: ReplyHead) -> None:
        """Sends the head of a streamed reply to the caller."""
        self._streaming = True
        self._set_connection_header(head.headers)
        start = httputil.ResponseStartLine("", head.status, head.reason)
        writing = self._connection.write_headers(start, head.headers)
        self._response_begun = True
        await self._wait_until_sent(writing)

    async def write_events(self, content: bytes) -> None:
        """Sends complete events to the caller, waiting if it reads slowly."""
        await self._wait_until_sent(self._connection.write(content))

    async def _wait_until_sent(self, writing: asyncio.Future[None]) -> None:
        if writing.done():
            await writing
            return
        timer = asyncio.get_running_loop().call_later(CALLER_STALL_SECONDS, self._end_stalled)
        try:
            await writing
        finally:
            timer.cancel()

    def _end_stalled(self) -> None:
        """Closes the connection of a caller that has stopped reading."""
        self._log(Event.CALLER_STALLED, streaming=self._streaming)
        self._connection.stream.close()

    def _hold_until_read(self, size: int) -> None:
        """Counts an answer as buffered until its caller has read it."""
        loop, stream = asyncio.get_running_loop(), self._connection.stream
        account = BufferAccount(self._gateway.buffers)
        account.add(size)
        ends_at = loop.time() + CALLER_STALL_SECONDS + size / MIN_CALLER_BYTES_PER_SECOND

        # The connection forgets the future of a write whose caller disconnects, so that it cannot
        # be waited for.
        def check() -> None:
            if not stream.closed() and stream.writing() and loop.time() >= ends_at:
                self._end_stalled()
            if stream.closed() or not stream.writing():
                account.close()
                return
            loop.call_later(UNREAD_CHECK_SECONDS, check)

        check()

    def finish_stream(self, **facts: object) -> None:
        """Ends a complete stream."""
        self._completed = True
        self._connection.finish()
        self._response_ended = True
        self._log(Event.REQUEST_DONE, outcome=Outcome.DONE.value, **facts)

    def abort_stream(self, code: str, **facts: object) -> None:
        """Closes the connection in the middle of a stream, so that the caller sees it is cut."""
        self._completed = True
        self._log(Event.REQUEST_FAILED, code=code, outcome=Outcome.FAILED.value, **facts)
        self._connection.close()

    @property
    def streaming(self) -> bool:
        """Whether the head of a stream was sent to the caller."""
        return self._streaming

    def _on_failure(self, error: Exception) -> None:
        """Ends a request that an unexpected error has interrupted; its caller would wait on."""
        if isinstance(error, iostream.StreamClosedError) and self._connection.stream.closed():
            self._log_disconnect()
            return
        self._gateway.log.write(
            Event.HANDLER_FAILED,
            request=self._head.request_id if self._head else "",
            reason=repr(error)[:500],
        )
        if self._response_ended:
            return
        if self._response_begun:
            self.abort_stream("internal_error")
        else:
            self._send_error(internal_error(self._forwarded))

    def _send_error(self, error: CodedError) -> None:
        self._completed = True
        headers, body = self._error_response(error)
        headers["Content-Length"] = str(len(body))
        reason = STATUS_REASONS.get(error.http_status, "Error")
        self._write(httputil.ResponseStartLine("", error.http_status, reason), headers, body)
        self._log_error(error)

    def _error_response(self, error: CodedError) -> tuple[httputil.HTTPHeaders, bytes]:
        body = msgspec.json.encode(
            {"error": {"code": error.code, "message": str(error), "outcome": error.outcome.value}}
        )
        request_id = self._head.request_id if self._head else ""
        return heads.write_refusal(request_id, error.retry_after), body

    def _log_error(self, error: CodedError) -> None:
        event = Event.REQUEST_REFUSED
        if error.outcome is not Outcome.NOT_RUN:
            event = Event.REQUEST_FAILED
        self._log(
            event,
            code=error.code,
            outcome=error.outcome.value,
            status=error.http_status,
            reason=str(error)[:200],
            retry_after=error.retry_after,
        )

    def _write(
        self, start: httputil.ResponseStartLine, headers: httputil.HTTPHeaders, body: bytes
    ) -> None:
        self._set_connection_header(headers)
        # Tornado closes the connection if an answer to HEAD has a body.
        chunk = b"" if self._head.method == "HEAD" else body
        self._connection.write_headers(start, headers, chunk)
        self._response_begun = True
        stream = self._connection.stream
        self._connection.finish()
        self._response_ended = True
        if chunk and not stream.closed() and stream.writing():
            self._hold_until_read(len(chunk))

    def _set_connection_header(self, headers: httputil.HTTPHeaders) -> None:
        if self._gateway.shutting_down:
            headers["Connection"] = "close"

    def _log_disconnect(self) -> None:
        self._log(
            Event.REQUEST_CANCELLED,
            code="cancelled",
            outcome=Outcome.UNKNOWN.value,
            streaming=self.streaming,
        )

    def _log(self, event: Event, **facts: object) -> None:
        revision = self._gateway.state.version
        if self._head is not None and revision != self._head_revision:
            facts["head_revision"] = self._head_revision
        self._gateway.log.write(
            event,
            request=self._head.request_id if self._head else "",
            seconds=round(asyncio.get_running_loop().time() - self._started_at, 4),
            revision=revision,
            **(self._log_facts | facts),
        )


def leaving_error() -> CodedError:
    """Returns the error for a request that comes while this entry shuts down."""
    message = "this entry is shutting down"
    return CodedError("entry_leaving", message, 503, retry_after=SHUTDOWN_RETRY_SECONDS)


def memory_error() -> CodedError:
    """Returns the error for a request for which this entry has no memory."""
    message = "this entry has no memory left for more requests"
    return CodedError("memory_short", message, 503, retry_after=MEMORY_RETRY_SECONDS)


def internal_error(forwarded: bool) -> CodedError:
    """Returns the error for a request that an unexpected error has interrupted.

    Args:
      forwarded: Whether an endpoint may have received the request.
    """
    message = "an internal error has ended the request"
    if forwarded:
        return CodedError("internal_error", message, 502, Outcome.UNKNOWN)
    return CodedError("internal_error", message, 503, retry_after=NOT_READY_RETRY_SECONDS)


def not_ready_error(message: str) -> CodedError:
    """Returns the error for a request that this entry cannot judge yet."""
    return CodedError("not_ready", message, 503, retry_after=NOT_READY_RETRY_SECONDS)
