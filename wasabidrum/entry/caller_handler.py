"""What every handler for callers shares: the request's head, its body, and refusals.

Whatever a caller sends, it gets one answer with a stable code and an honest outcome, and
the daemon stays as it was: a body is read up to the limit of the files, for a bounded time.
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
from .caller_handler_owner import CallerHandlerOwner
from .caller_key import find_workspace
from .caller_request import CallerRequest, make_caller_request

REQUEST_ID_FORM = re.compile(r"[!-~]{1,128}")
DEADLINE_FORM = re.compile(r"[0-9]{1,12}")
BODY_SECONDS = 20.0
# How much, and for how long, a body that is refused is still read. A connection closed with
# unread bytes is reset, and the reset may overtake the answer: the caller would see a broken
# connection in place of its 413 and send the same body again.
DISCARDED_BYTES = 64 * 1_048_576
LONGEST_DECLARED_BYTES = 2**62
LINGER_SECONDS = 2.0
CODES_BY_STATUS = {404: "path_unknown", 405: "method_unsupported"}


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Reads a caller's request, and answers it once."""

    def initialize(self, entry: CallerHandlerOwner) -> None:
        """Takes the entry from the route."""
        self.entry = entry
        self.request_id = secrets.token_hex(12)
        self.caller: CallerRequest | None = None
        self.body = b""
        self.running: asyncio.Task | None = None
        self._parts: list[bytes] = []
        self._received = 0
        self._refused = False
        self._body_timer: asyncio.TimerHandle | None = None

    @property
    def limits(self) -> LimitSpec:
        """The limits in force now, or the usual ones before there is a configuration."""
        current = self.entry.follower.current
        return current.fleet.limits if current else LimitSpec()

    def prepare(self) -> None:
        """Checks the head and the declared length, before the body is read."""
        # The library closes a connection at once whose body is to be longer than this, and
        # the refusal would be lost; so this handler bounds what is read.
        self.request.connection.set_max_body_size(LONGEST_DECLARED_BYTES)
        self._body_timer = asyncio.get_running_loop().call_later(BODY_SECONDS, self._body_late)
        try:
            self.caller = self.admit_head()
            self.check_length(int(self.request.headers.get("Content-Length", "0")))
        except CodedError as error:
            self.refuse_early(error)
        except ValueError:
            self.refuse_early(CodedError("length_invalid", "Content-Length is no number", 400))

    def data_received(self, chunk: bytes) -> None:
        """Takes a part of the body."""
        self._received += len(chunk)
        if self._refused:
            if self._received > DISCARDED_BYTES:
                self._stop_reading()
            return
        try:
            self.check_length(self._received)
        except CodedError as error:
            self._parts.clear()
            self.refuse_early(error)
            return
        self._parts.append(chunk)

    def check_length(self, length: int) -> None:
        """Refuses a body that is longer than the files allow.

        Raises:
          CodedError: It is too long.
        """
        most = self.limits.body_bytes
        if length > most:
            raise CodedError("body_too_large", f"the body may have {most} bytes", 413)

    def admit_head(self) -> CallerRequest:
        """Checks the request's head.

        Raises:
          CodedError: The caller is unknown, or a header is wrong.
        """
        given = self.request.headers
        request_id = given.get(headers.REQUEST_ID, "")
        if request_id:
            if REQUEST_ID_FORM.fullmatch(request_id) is None:
                raise CodedError("request_id_invalid", "the request id is not valid", 400)
            self.request_id = request_id
        if self.entry.leaving:
            raise CodedError("entry_leaving", "this entry is leaving", 503, retry_after=1.0)
        revision = self.entry.follower.current
        if revision is None:
            raise CodedError("not_ready", "no configuration yet", 503, retry_after=1.0)
        workspace = find_workspace(revision, given.get("Authorization", ""))
        limits = revision.fleet.limits
        seconds = limits.default_deadline_seconds
        if headers.DEADLINE_MILLISECONDS in given:
            milliseconds = given[headers.DEADLINE_MILLISECONDS]
            if DEADLINE_FORM.fullmatch(milliseconds) is None or int(milliseconds) == 0:
                raise CodedError("deadline_invalid", "not a number of milliseconds", 400)
            seconds = min(int(milliseconds) / 1000.0, limits.largest_deadline_seconds)
        return make_caller_request(self.request_id, workspace, revision, seconds)

    async def run(self, answer: typing.Callable[[], typing.Awaitable[None]]) -> None:
        """Runs a request whose body is whole, so that it ends when its caller goes away."""
        self._body_timer.cancel()
        if self._refused:
            return
        self.body = b"".join(self._parts)
        self.running = asyncio.ensure_future(answer())
        try:
            with self.entry.requests.one():
                await self.running
        except (asyncio.CancelledError, iostream.StreamClosedError):
            return
        except CodedError as error:
            self.refuse(error)
        finally:
            self.running = None

    def error_body(self, error: CodedError) -> dict[str, object]:
        """Returns the JSON that tells a caller of an error."""
        body = {"code": error.code, "message": str(error), "outcome": error.outcome.value}
        if error.retry_after is not None:
            body["retry_after"] = error.retry_after
        if error.idempotency_key:
            body["idempotency_key"] = error.idempotency_key
        return {"error": body, "request_id": self.request_id}

    def refuse(self, error: CodedError) -> None:
        """Writes an error as the whole answer."""
        self.clear()
        self.set_status(error.http_status)
        self.set_header(headers.REQUEST_ID, self.request_id)
        self.set_header(headers.OUTCOME, error.outcome.value)
        if error.retry_after is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(error.retry_after))))
        self.write(self.error_body(error))
        self.note_error(error)

    def refuse_early(self, error: CodedError) -> None:
        """Refuses at once, and reads on for a moment so that the answer arrives."""
        self._refused = True
        self.refuse(error)
        self.set_header("Content-Length", str(sum(map(len, self._write_buffer))))
        self.flush()
        asyncio.get_running_loop().call_later(LINGER_SECONDS, self._stop_reading)

    def note_error(self, error: CodedError) -> None:
        """Logs an error that the caller is told."""
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

    def note_done(self, **facts: object) -> None:
        """Logs a whole answer."""
        self.entry.log.write(
            Event.REQUEST_DONE,
            request=self.request_id,
            workspace=self.caller.workspace,
            outcome=Outcome.DONE.value,
            seconds=round(self.request.request_time(), 4),
            **facts,
        )

    def send_error(self, status_code: int = 500, **details: object) -> None:
        """Answers an error, unless the request was refused before its method was looked at."""
        if not self._refused:
            super().send_error(status_code, **details)
        elif not self._finished:
            self.finish()

    def write_error(self, status_code: int, **details: object) -> None:
        """Answers what the handlers did not foresee; whether it ran cannot be known then."""
        code = CODES_BY_STATUS.get(status_code, "internal_error")
        foreseen = code != "internal_error"
        outcome = Outcome.NOT_RUN if foreseen else Outcome.UNKNOWN
        self.refuse(CodedError(code, self._reason, status_code, outcome))
        self.finish()

    def log_exception(self, kind: object, error: object, trace: object) -> None:
        """Logs what no handler foresaw."""
        if not isinstance(error, web.HTTPError):
            self.entry.log.write(
                Event.HANDLER_FAILED, request=self.request_id, reason=repr(error)[:500]
            )

    def on_connection_close(self) -> None:
        """Gives up the work of a caller that went away."""
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
        """Ends the timer of the body."""
        if self._body_timer is not None:
            self._body_timer.cancel()

    def _body_late(self) -> None:
        # A sender that trickles its body holds a connection and memory for as long as it
        # likes; many such senders are noticed as an entry that takes no new callers.
        if not self._refused and not self._finished:
            error = CodedError("body_late", f"the body took over {BODY_SECONDS:.0f} s", 408)
            self.refuse_early(error)

    def _stop_reading(self) -> None:
        if not self._finished:
            self.finish()
