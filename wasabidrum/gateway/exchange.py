"""One caller's request, from its head to its final answer."""

import asyncio
import typing

import msgspec
from tornado import httputil

from ..core.awake_clock import awake_seconds
from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..core.request_head import ReplyHead, RequestHead
from ..observe.event import Event
from ..platform import heads
from .forwarding import Forwarding
from .whole_reply import WholeReply

if typing.TYPE_CHECKING:
    from .daemon import Gateway

# Another entry takes a caller that comes back at once.
LEAVING_RETRY_SECONDS = 0.05
NOT_READY_RETRY_SECONDS = 1.0
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
        self._parts: list[bytes] = []
        self._received = 0
        self._head: RequestHead | None = None
        self._task: asyncio.Task | None = None
        self._answered = False
        self._streaming = False
        self._began = 0.0
        self._came_at: float | None = None
        self._inputs: dict[str, object] = {}

    def lay_unread_since(self, came_at: float) -> None:
        """Takes that the request was here since a time, by the event loop's clock."""
        self._came_at = came_at

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Takes the head; see HTTPMessageDelegate."""
        # Counted from its reading, the deadline of a request that lay unread would end after its
        # caller is gone, and an endpoint would work for nobody until then.
        now = asyncio.get_running_loop().time()
        self._began = now if self._came_at is None else self._came_at
        self._head = heads.read_request(start_line, headers)

    def data_received(self, chunk: bytes) -> None:
        """Takes some of the body."""
        self._received += len(chunk)
        if self._received <= self._gateway.body_limit:
            self._parts.append(chunk)

    def finish(self) -> None:
        """Takes that the request is here whole, and begins to work on it."""
        self._connection.set_close_callback(self.caller_gone)
        self._task = self._gateway.tasks.start("request", self._run())

    def on_connection_close(self) -> None:
        """Takes that the caller went away before its request was whole."""
        self.caller_gone()

    def caller_gone(self) -> None:
        """Ends the work for a caller that went away."""
        if self._task is not None and not self._task.done() and not self._answered:
            self._log(Event.REQUEST_CANCELLED, code="cancelled", outcome=Outcome.UNKNOWN.value)
            self._task.cancel()

    async def _run(self) -> None:
        # Closed between its last byte and now, it would be worked on for nobody: the library
        # tells only of what closes from now on.
        if self._connection.stream.closed():
            self._log(Event.REQUEST_CANCELLED, code="cancelled", outcome=Outcome.NOT_RUN.value)
            return
        with self._gateway.requests.one():
            try:
                await self._serve(self._head)
            except CodedError as error:
                self._refuse(error)

    async def _serve(self, head: RequestHead) -> None:
        if self._received > self._gateway.body_limit:
            raise CodedError("body_too_large", "the body is too long", 413)
        if not self._gateway.takes_requests:
            message = "this entry is leaving"
            raise CodedError("entry_leaving", message, 503, retry_after=LEAVING_RETRY_SECONDS)
        state = self._gateway.state
        routes = state.routes
        if routes is None:
            raise not_ready("no configuration yet")
        now = awake_seconds()
        fresh = state.lease.is_valid(now)
        self.note(evidence_age=round(state.lease.age(now), 3))
        route = routes.find(head.host, head.path)
        if route is None:
            # On old evidence the route may exist by now, and "not found" would be untrue.
            if not fresh:
                raise not_ready("the configuration may be old")
            raise CodedError("route_unknown", "no such route", 404)
        self.note(route=route.name)
        workspace = ""
        if routes.has_workspaces and not route.public:
            if not fresh:
                raise not_ready("keys cannot be judged now")
            holder = routes.workspace_of(head.key)
            if holder is None:
                raise CodedError("key_unknown", "the key is not valid", 401)
            workspace = holder.name
            self.note(workspace=workspace)
        await Forwarding(self, self._gateway, head, route, workspace, b"".join(self._parts)).run()

    @property
    def began(self) -> float:
        """When the request came, as far as is known, by the event loop's clock."""
        return self._began

    def note(self, **inputs: object) -> None:
        """Keeps what decided on the request, for the line that tells of its end."""
        self._inputs.update(inputs)

    def answer_whole(self, reply: WholeReply, **facts: object) -> None:
        """Passes an endpoint's whole answer on."""
        self._answered = True
        headers = reply.head.headers
        if reply.head.status not in (204, 304):
            headers["Content-Length"] = str(len(reply.body))
        start = httputil.ResponseStartLine("", reply.head.status, reply.head.reason)
        self._write(start, headers, reply.body)
        self._log(Event.REQUEST_DONE, outcome=Outcome.DONE.value, status=reply.head.status, **facts)

    async def begin_stream(self, head: ReplyHead) -> None:
        """Passes the head of a stream on."""
        self._streaming = True
        self._prepare_headers(head.headers)
        start = httputil.ResponseStartLine("", head.status, head.reason)
        await self._connection.write_headers(start, head.headers)

    async def write_events(self, content: bytes) -> None:
        """Passes whole events on, waiting for a caller that reads slowly."""
        await self._connection.write(content)

    def end_stream(self, **facts: object) -> None:
        """Ends a stream that is whole."""
        self._answered = True
        self._connection.finish()
        self._log(Event.REQUEST_DONE, outcome=Outcome.DONE.value, **facts)

    def cut_stream(self, code: str, **facts: object) -> None:
        """Ends a stream that will not become whole, so that its caller can tell."""
        self._answered = True
        self._log(Event.REQUEST_FAILED, code=code, outcome=Outcome.FAILED.value, **facts)
        self._connection.close()

    @property
    def streaming(self) -> bool:
        """Whether the head of a stream was passed on."""
        return self._streaming

    def _refuse(self, error: CodedError) -> None:
        self._answered = True
        body = msgspec.json.encode(
            {"error": {"code": error.code, "message": str(error), "outcome": error.outcome.value}}
        )
        headers = heads.write_refusal(self._head.request_id, error.retry_after)
        headers["Content-Length"] = str(len(body))
        reason = STATUS_REASONS.get(error.http_status, "Error")
        self._write(httputil.ResponseStartLine("", error.http_status, reason), headers, body)
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
        self._prepare_headers(headers)
        self._connection.write_headers(start, headers, body)
        self._connection.finish()

    def _prepare_headers(self, headers: httputil.HTTPHeaders) -> None:
        if self._gateway.leaving:
            headers["Connection"] = "close"

    def _log(self, event: Event, **facts: object) -> None:
        state = self._gateway.state
        self._gateway.log.write(
            event,
            request=self._head.request_id if self._head else "",
            seconds=round(asyncio.get_running_loop().time() - self._began, 4),
            revision=state.version,
            **(self._inputs | facts),
        )


def not_ready(message: str) -> CodedError:
    """Returns what a caller is told whose request cannot be judged now."""
    return CodedError("not_ready", message, 503, retry_after=NOT_READY_RETRY_SECONDS)
