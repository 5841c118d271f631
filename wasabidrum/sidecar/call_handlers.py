"""What entries ask of a sidecar: run a request at the endpoint, or give one up."""

import asyncio
import typing

import msgspec
from tornado import iostream, web

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions import poison
from ..endpoints.generate_request import GenerateRequest
from ..endpoints.model_engine import ModelEngine
from ..endpoints.plain_service import PlainService
from ..endpoints.service_reply import ServiceReply
from ..outcomes.call_digest import digest_answer
from ..wire import headers
from .call_handler_owner import CallHandlerOwner
from .service_attempt import ServiceAttempt, read_attempt

# How long after its caller's deadline a charge may still answer, so that a resend of its
# key learns the result instead of "unknown".
LATE_ANSWER_SECONDS = 60.0


class CallHandler(web.RequestHandler):
    """What the handlers of calls share."""

    def initialize(self, sidecar: CallHandlerOwner) -> None:
        """Takes the sidecar from the route."""
        self.sidecar = sidecar

    def refuse(self, error: CodedError) -> None:
        """Answers with an error and its outcome."""
        self.set_status(error.http_status)
        self.set_header(headers.OUTCOME, error.outcome.value)
        self.set_header(headers.ERROR_CODE, error.code)
        self.tell_status()
        self.write({"message": str(error)})

    def tell_status(self) -> None:
        """Puts this daemon's status on the answer, so that load travels with the work."""
        status = msgspec.json.encode(self.sidecar.status()).decode()
        self.set_header(headers.STATUS_ON_ANSWER, status)

    def check_taking_work(self) -> None:
        """Refuses new work once this instance is leaving.

        Raises:
          CodedError: With outcome NOT_RUN; nothing has been started.
        """
        if self.sidecar.leaving:
            self.sidecar.note_refused_while_leaving()
            raise CodedError("endpoint_leaving", "this instance is leaving", 503)


class GenerateHandler(CallHandler):
    """POST /internal/generate: streams the engine's events."""

    _attempt_id = ""
    _prompt = ""

    async def post(self) -> None:
        """Runs one attempt in a task of its own, so that it can be ended at any moment."""
        with self.sidecar.requests.track():
            try:
                self.check_taking_work()
                order = msgspec.json.decode(self.request.body, type=GenerateRequest)
                self._prompt = order.prompt
                await self.run(order)
            except msgspec.MsgspecError as error:
                self.refuse(CodedError("attempt_invalid", str(error), 400))
            except CodedError as error:
                error = self.note_loss(error)
                if self._headers_written:
                    self.cut()
                else:
                    self.refuse(error)

    async def run(self, order: GenerateRequest) -> None:
        """Relays one attempt until it ends, is cancelled or loses its entry."""
        attempts = self.sidecar.attempts
        task = asyncio.ensure_future(self.relay(order))
        if not attempts.begin(order.request_id, task):
            task.cancel()
            raise CodedError("attempt_cancelled", "cancelled, or a second copy", 409)
        self._attempt_id = order.request_id
        try:
            await task
        except (asyncio.CancelledError, iostream.StreamClosedError):
            self.cut()
        finally:
            attempts.end(order.request_id)

    async def relay(self, order: GenerateRequest) -> None:
        """Passes the engine's events on as they come."""
        engine = typing.cast(ModelEngine, self.sidecar.engine)
        self.tell_status()
        async for chunk in engine.generate(order):
            self.write(chunk)
            await self.flush()

    def cut(self) -> None:
        """Ends an answer that will not become whole."""
        # The head is gone, so the only honest end is a cut, which the entry sees as an
        # answer without its last event.
        self.request.connection.close()

    def note_loss(self, error: CodedError) -> CodedError:
        """Remembers a request that the engine was lost with, and gives its error a code."""
        if error.code != "peer_unreachable" or error.outcome is not Outcome.UNKNOWN:
            return error
        now = asyncio.get_running_loop().time()
        self.sidecar.deaths.record_lost(poison.fingerprint_of(self._prompt), now)
        # A caller resends at once, maybe through another entry. Told only at the next beat,
        # that entry would let the request crash one endpoint more.
        self.sidecar.node.wake_all()
        return CodedError("engine_lost", str(error), 502, error.outcome)

    def on_connection_close(self) -> None:
        """Frees the engine's slot when the entry went away."""
        if self._attempt_id:
            self.sidecar.tasks.start("cancel", self.sidecar.cancel(self._attempt_id))


class CancelHandler(CallHandler):
    """POST /internal/cancel/ATTEMPT: frees the slot of an attempt given up."""

    async def post(self, attempt_id: str) -> None:
        """Cancels; an attempt that already ended is no error."""
        await self.sidecar.cancel(attempt_id)


class ServiceHandler(CallHandler):
    """POST /internal/service: makes one call to the plain service."""

    async def post(self) -> None:
        """Answers one copy of a call; one that may not be repeated runs once for all copies."""
        with self.sidecar.requests.track():
            attempt_id = self.request.headers.get(headers.ATTEMPT_ID, "")
            try:
                attempt = read_attempt(self.request.headers, self.request.body)
                reply = await self.run(attempt)
            except CodedError as error:
                self.refuse_attempt(attempt_id, error)
                return
            self.answer(attempt_id, reply)

    async def run(self, attempt: ServiceAttempt) -> ServiceReply:
        """Runs the call, or finds what became of an earlier copy.

        Raises:
          CodedError: No whole answer; the outcome is proved.
        """
        if attempt.key is None:
            self.check_taking_work()
            return await self.send(attempt, attempt.patience)
        if self.sidecar.leaving:
            self.sidecar.note_refused_while_leaving()
        calls = self.sidecar.keyed_calls
        start_before = min(attempt.start_before, calls.uptime + attempt.patience)

        async def work() -> ServiceReply:
            with self.sidecar.requests.track():
                return await self.send(attempt, attempt.patience + LATE_ANSWER_SECONDS)

        return await calls.run(
            attempt.workspace, attempt.key, attempt.fingerprint, start_before, work
        )

    async def send(self, attempt: ServiceAttempt, timeout: float) -> ServiceReply:
        """Sends the call to the service, once."""
        service = typing.cast(PlainService, self.sidecar.service)
        given = {"Content-Type": attempt.content_type} if attempt.content_type else {}
        return await service.call(attempt.method, attempt.path, given, attempt.body, timeout)

    def answer(self, attempt_id: str, reply: ServiceReply) -> None:
        """Answers whole, with the digest that ties the answer to its attempt."""
        self.set_status(reply.status)
        self.set_header("Content-Type", reply.content_type)
        self.set_header(headers.OUTCOME, Outcome.DONE.value)
        if reply.replayed:
            self.set_header(headers.IDEMPOTENT_REPLAYED, "true")
        self.tell_status()
        self.seal(attempt_id, reply.status, reply.content_type, Outcome.DONE, "", reply.body)

    def refuse_attempt(self, attempt_id: str, error: CodedError) -> None:
        """Answers with an error, tied to its attempt too."""
        self.set_status(error.http_status)
        self.set_header("Content-Type", "text/plain")
        self.set_header(headers.OUTCOME, error.outcome.value)
        self.set_header(headers.ERROR_CODE, error.code)
        self.tell_status()
        body = str(error).encode()
        self.seal(attempt_id, error.http_status, "text/plain", error.outcome, error.code, body)

    def seal(
        self,
        attempt_id: str,
        status: int,
        content_type: str,
        outcome: Outcome,
        code: str,
        body: bytes,
    ) -> None:
        """Writes the body under the digest of the whole answer."""
        digest = digest_answer(attempt_id, status, content_type, outcome.value, code, body)
        self.set_header(headers.ANSWER_DIGEST, digest.hex())
        self.write(body)


class StatusHandler(CallHandler):
    """GET /internal/status."""

    def get(self) -> None:
        """Answers with this daemon's own account of itself."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self.sidecar.status()))
