"""Base class of the HTTP handlers for callers: head validation, body limits and error responses.

Whatever a caller sends, it gets one response with a stable code and a truthful outcome, and the
daemon's state is unaffected. Bodies are read up to the configured size and for a bounded time.
"""

import asyncio
import math
import re
import secrets
import typing

from tornado import iostream, web

from ..core.errors import CodedError
from ..core.fleet import LimitSpec
from ..core.outcome import Outcome
from ..observe.event import Event
from ..wire import headers
from .bearer_auth import find_workspace
from .caller_handler_owner import CallerHandlerOwner
from .caller_request import CallerRequest, make_caller_request

REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,128}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,12}")
BODY_TIMEOUT_SECONDS = 20.0
# How much of a refused body is still read, and for how long (a lingering close). Closing a
# connection with unread bytes resets it, and the reset may overtake the response: the caller
# would see a broken connection instead of its 413 and send the same body again.
MAX_DISCARDED_BYTES = 64 * 1_048_576
MAX_DECLARED_BYTES = 2**62
LINGER_SECONDS = 2.0
CODES_BY_STATUS = {404: "path_unknown", 405: "method_unsupported"}


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Reads a caller's request and responds to it once."""

    def initialize(self, entry: CallerHandlerOwner) -> None:
        """Receives the entry from the route's arguments and sets up the state of one request."""
        self.entry = entry
        self.request_id = secrets.token_hex(12)
        self.caller: CallerRequest | None = None
        self.body = b""
        self.running: asyncio.Task | None = None
        self._received_body = bytearray()
        self._received = 0
        self._refused = False
        self._body_timer: asyncio.TimerHandle | None = None

    @property
    def limits(self) -> LimitSpec:
        """The configured limits, or the defaults while there is no configuration yet."""
        current = self.entry.follower.current
        return current.fleet.limits if current else LimitSpec()

    def prepare(self) -> None:
        """Validates the head and the declared length before the body is read."""
        # Tornado closes a connection at once if the declared body exceeds this size, and the
        # error response would be lost. The handler therefore enforces the limit itself.
        self.request.connection.set_max_body_size(MAX_DECLARED_BYTES)
        self._body_timer = asyncio.get_running_loop().call_later(
            BODY_TIMEOUT_SECONDS, self._on_body_timeout
        )
        try:
            self.caller = self.parse_head()
            self.check_body_length(int(self.request.headers.get("Content-Length", "0")))
        except CodedError as error:
            self.refuse_early(error)
        except ValueError:
            self.refuse_early(CodedError("length_invalid", "Content-Length is not a number", 400))

    def data_received(self, chunk: bytes) -> None:
        """Collects one chunk of the body, or discards it if the request was refused."""
        self._received += len(chunk)
        if self._refused:
            if self._received > MAX_DISCARDED_BYTES:
                self._stop_reading()
            return
        try:
            self.check_body_length(self._received)
        except CodedError as error:
            self._received_body = bytearray()
            self.refuse_early(error)
            return
        self._received_body += chunk

    def check_body_length(self, length: int) -> None:
        """Checks the length of a body against the configured limit.

        Raises:
          CodedError: The body is too long.
        """
        limit = self.limits.body_bytes
        if length > limit:
            raise CodedError(
                "body_too_large", f"the request body is larger than the limit of {limit} bytes", 413
            )

    def parse_head(self) -> CallerRequest:
        """Validates the request's head and authenticates the caller.

        Raises:
          CodedError: The caller is unknown, a header is invalid, or no requests are accepted.
        """
        head = self.request.headers
        request_id = head.get(headers.REQUEST_ID, "")
        if request_id:
            if REQUEST_ID_PATTERN.fullmatch(request_id) is None:
                raise CodedError("request_id_invalid", "the request id is invalid", 400)
            self.request_id = request_id
        if self.entry.leaving:
            raise CodedError("entry_leaving", "this entry is shutting down", 503, retry_after=1.0)
        revision = self.entry.follower.current
        if revision is None:
            raise CodedError("not_ready", "no configuration loaded yet", 503, retry_after=1.0)
        workspace = find_workspace(revision, head.get("Authorization", ""))
        limits = revision.fleet.limits
        seconds = limits.default_deadline_seconds
        if headers.DEADLINE_MILLISECONDS in head:
            milliseconds = head[headers.DEADLINE_MILLISECONDS]
            if DEADLINE_PATTERN.fullmatch(milliseconds) is None or int(milliseconds) == 0:
                raise CodedError(
                    "deadline_invalid",
                    "the deadline must be a positive number of milliseconds, at most 12 digits",
                    400,
                )
            seconds = min(int(milliseconds) / 1000.0, limits.largest_deadline_seconds)
        return make_caller_request(self.request_id, workspace, revision, seconds)

    async def run(self, respond: typing.Callable[[], typing.Awaitable[None]]) -> None:
        """Runs the handler of a fully read request; it is cancelled if the caller disconnects."""
        self._body_timer.cancel()
        if self._refused:
            return
        self.body, self._received_body = bytes(self._received_body), bytearray()
        self.running = asyncio.ensure_future(respond())
        try:
            with self.entry.requests.track():
                await self.running
        except (asyncio.CancelledError, iostream.StreamClosedError):
            return
        except CodedError as error:
            self.refuse(error)
        finally:
            self.running = None

    def error_body(self, error: CodedError) -> dict[str, object]:
        """Returns the JSON body that describes an error to a caller."""
        body = {"code": error.code, "message": str(error), "outcome": error.outcome.value}
        if error.retry_after is not None:
            body["retry_after"] = error.retry_after
        if error.idempotency_key:
            body["idempotency_key"] = error.idempotency_key
        return {"error": body, "request_id": self.request_id}

    def refuse(self, error: CodedError) -> None:
        """Writes an error as the complete response."""
        self.clear()
        self.set_status(error.http_status)
        self.set_header(headers.REQUEST_ID, self.request_id)
        self.set_header(headers.OUTCOME, error.outcome.value)
        if error.retry_after is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(error.retry_after))))
        self.write(self.error_body(error))
        self.log_error(error)

    def refuse_early(self, error: CodedError) -> None:
        """Responds with an error before the body is read, and keeps reading for a short time.

        The lingering read lets the response arrive before the connection is closed.
        """
        self._refused = True
        self.refuse(error)
        self.set_header("Content-Length", str(sum(map(len, self._write_buffer))))
        self.flush()
        asyncio.get_running_loop().call_later(LINGER_SECONDS, self._stop_reading)

    def log_error(self, error: CodedError) -> None:
        """Logs an error that the caller receives."""
        event = Event.REQUEST_FAILED
        if error.outcome is Outcome.NOT_RUN:
            event = Event.REQUEST_REFUSED
        workspace = self.caller.workspace if self.caller else ""
        self.entry.log.write(
            event,
            request=self.request_id,
            workspace=workspace,
            code=error.code,
            outcome=error.outcome.value,
            reason=str(error),
        )

    def log_completion(self, **facts: object) -> None:
        """Logs a request that was answered completely."""
        self.entry.log.write(
            Event.REQUEST_DONE,
            request=self.request_id,
            workspace=self.caller.workspace,
            outcome=Outcome.DONE.value,
            seconds=round(self.request.request_time(), 4),
            **facts,
        )

    def send_error(self, status_code: int = 500, **details: object) -> None:
        """Sends Tornado's error response, unless this handler has already sent a refusal."""
        if not self._refused:
            super().send_error(status_code, **details)
        elif not self._finished:
            self.finish()

    def write_error(self, status_code: int, **details: object) -> None:
        """Responds to errors raised outside the handlers.

        Of an unexpected internal error it is unknown whether the request ran.
        """
        code = CODES_BY_STATUS.get(status_code, "internal_error")
        expected = code != "internal_error"
        outcome = Outcome.NOT_RUN if expected else Outcome.UNKNOWN
        self.refuse(CodedError(code, self._reason, status_code, outcome))
        self.finish()

    def log_exception(self, kind: object, error: object, trace: object) -> None:
        """Logs exceptions that no handler dealt with."""
        if not isinstance(error, web.HTTPError):
            self.entry.log.write(
                Event.HANDLER_FAILED, request=self.request_id, reason=repr(error)[:500]
            )

    def on_connection_close(self) -> None:
        """Cancels the work for a caller that disconnected, or whose request is refused."""
        self.on_finish()
        self._received_body = bytearray()
        if self.running is not None:
            self.running.cancel()
            workspace = self.caller.workspace if self.caller else ""
            self.entry.log.write(
                Event.REQUEST_CANCELLED,
                request=self.request_id,
                workspace=workspace,
                code="cancelled",
                outcome=Outcome.UNKNOWN.value,
            )

    def on_finish(self) -> None:
        """Cancels the body timer."""
        if self._body_timer is not None:
            self._body_timer.cancel()

    def _on_body_timeout(self) -> None:
        # A client that trickles its body would hold a connection and memory indefinitely; many
        # such clients would use up what the entry needs to accept new callers.
        if not self._refused and not self._finished:
            error = CodedError(
                "body_late", f"the body was not received within {BODY_TIMEOUT_SECONDS:.0f} s", 408
            )
            self.refuse_early(error)

    def _stop_reading(self) -> None:
        if not self._finished:
            self.finish()
