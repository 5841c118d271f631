"""The HTTP handlers by which entries run requests at a sidecar's endpoint and cancel them."""

import asyncio
import typing

import msgspec
from tornado import iostream, web

from ..core.decoding import decode_json
from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions import poison
from ..endpoints.generate_request import GenerateRequest
from ..endpoints.model_engine import ModelEngine
from ..endpoints.plain_service import PlainService
from ..endpoints.service_reply import ServiceReply
from ..outcomes.call_digest import digest_answer
from ..wire import headers
from ..wire.retry_after import read_rest
from .call_handler_owner import CallHandlerOwner
from .service_attempt import ServiceAttempt, parse_attempt

# How long after its caller's deadline the service may still answer a call with a key, so that a
# retry with the same key gets the result instead of "unknown".
LATE_ANSWER_GRACE_SECONDS = 60.0


class CallHandler(web.RequestHandler):
    """The base class of the handlers."""

    def initialize(self, sidecar: CallHandlerOwner) -> None:
        """Stores the sidecar given by the route."""
        self.sidecar = sidecar

    def refuse(self, error: CodedError) -> None:
        """Responds with an error and its outcome."""
        self.set_status(error.http_status)
        self.set_header(headers.OUTCOME, error.outcome.value)
        self.set_header(headers.ERROR_CODE, error.code)
        self.attach_rest(error.retry_after)
        self.attach_status()
        self.write({"message": str(error)})

    def attach_rest(self, seconds: float | None) -> None:
        """Adds for how long the endpoint wants no more requests, if it has said so."""
        if seconds:
            self.set_header(headers.ENDPOINT_REST, f"{seconds:.3f}")

    def attach_status(self) -> None:
        """Adds this daemon's status to the response, so that each answer also reports the load."""
        status = msgspec.json.encode(self.sidecar.status()).decode()
        self.set_header(headers.STATUS_ON_ANSWER, status)

    def check_taking_work(self) -> None:
        """Checks that this instance accepts new work.

        Raises:
          CodedError: The instance is leaving. The outcome is NOT_RUN.
        """
        if self.sidecar.leaving:
            self.sidecar.log_work_while_leaving()
            raise CodedError("endpoint_leaving", "this instance is leaving", 503)


class GenerateHandler(CallHandler):
    """POST /internal/generate: streams the engine's events."""

    _attempt_id = ""
    _prompt = ""

    async def post(self) -> None:
        """Runs one attempt in a separate task, so that it can be cancelled at any time."""
        with self.sidecar.requests.track():
            try:
                self.check_taking_work()
                body = self.request.body
                generate_request = decode_json(body, GenerateRequest, "attempt_invalid", 400)
                self._prompt = generate_request.prompt
                await self.run(generate_request)
            except CodedError as error:
                error = self.record_engine_loss(error)
                if self._headers_written:
                    self.abort_connection()
                else:
                    self.refuse(error)

    async def run(self, generate_request: GenerateRequest) -> None:
        """Relays one attempt until it ends, is cancelled or its entry disconnects."""
        attempts = self.sidecar.attempts
        task = asyncio.ensure_future(self.relay(generate_request))
        if not attempts.begin(generate_request.request_id, task):
            task.cancel()
            raise CodedError("attempt_cancelled", "cancelled, or a duplicate attempt", 409)
        self._attempt_id = generate_request.request_id
        try:
            await task
        except (asyncio.CancelledError, iostream.StreamClosedError):
            self.abort_connection()
        finally:
            attempts.end(generate_request.request_id)

    async def relay(self, generate_request: GenerateRequest) -> None:
        """Streams the engine's events to the entry as they arrive."""
        engine = typing.cast(ModelEngine, self.sidecar.engine)
        self.attach_status()
        async for chunk in engine.generate(generate_request):
            self.write(chunk)
            await self.flush()

    def abort_connection(self) -> None:
        """Closes the connection of a response that cannot be completed."""
        # The response header has been sent, so an error status is no longer possible. The entry
        # recognises the failure by the missing last event.
        self.request.connection.close()

    def record_engine_loss(self, error: CodedError) -> CodedError:
        """Records the request if the engine was lost while it ran; returns the error to report."""
        if error.code != "peer_unreachable" or error.outcome is not Outcome.UNKNOWN:
            return error
        now = asyncio.get_running_loop().time()
        self.sidecar.deaths.record_lost(poison.fingerprint_of(self._prompt), now)
        # The caller may retry at once, through another entry. If that entry learned of the loss
        # only with the next heartbeat, the request could crash another endpoint.
        self.sidecar.node.wake_all()
        return CodedError("engine_lost", str(error), 502, error.outcome)

    def on_connection_close(self) -> None:
        """Frees the engine's slot if the entry disconnected."""
        if self._attempt_id:
            self.sidecar.tasks.start("cancel", self.sidecar.cancel(self._attempt_id))


class CancelHandler(CallHandler):
    """POST /internal/cancel/ATTEMPT: cancels an abandoned attempt and frees its slot."""

    async def post(self, attempt_id: str) -> None:
        """Cancels the attempt; it is no error if the attempt has already ended."""
        await self.sidecar.cancel(attempt_id)


class ServiceHandler(CallHandler):
    """POST /internal/service: makes a call to the plain service."""

    async def post(self) -> None:
        """Responds to one copy of a call; a call with a key runs at most once for all copies."""
        with self.sidecar.requests.track():
            attempt_id = self.request.headers.get(headers.ATTEMPT_ID, "")
            try:
                attempt = parse_attempt(self.request.headers, self.request.body)
                reply = await self.run(attempt)
            except CodedError as error:
                self.refuse_attempt(attempt_id, error)
                return
            self.answer(attempt_id, reply)

    async def run(self, attempt: ServiceAttempt) -> ServiceReply:
        """Runs the call, or returns the result of an earlier copy.

        Raises:
          CodedError: There is no complete answer. The error's outcome is reliable.
        """
        if attempt.key is None:
            self.check_taking_work()
            return await self.send(attempt, attempt.patience)
        if self.sidecar.leaving:
            self.sidecar.log_work_while_leaving()
        calls = self.sidecar.idempotent_calls
        start_before = min(attempt.start_before, calls.uptime + attempt.patience)

        async def call_service() -> ServiceReply:
            with self.sidecar.requests.track():
                return await self.send(attempt, attempt.patience + LATE_ANSWER_GRACE_SECONDS)

        return await calls.run(
            attempt.workspace, attempt.key, attempt.fingerprint, start_before, call_service
        )

    async def send(self, attempt: ServiceAttempt, timeout: float) -> ServiceReply:
        """Sends the call to the service once, without retries."""
        service = typing.cast(PlainService, self.sidecar.service)
        call_headers = {"Content-Type": attempt.content_type} if attempt.content_type else {}
        return await service.call(attempt.method, attempt.path, call_headers, attempt.body, timeout)

    def answer(self, attempt_id: str, reply: ServiceReply) -> None:
        """Writes the service's reply, with a digest that binds it to the attempt."""
        self.set_status(reply.status)
        self.set_header("Content-Type", reply.content_type)
        self.set_header(headers.OUTCOME, Outcome.DONE.value)
        if reply.replayed:
            self.set_header(headers.IDEMPOTENT_REPLAYED, "true")
        if reply.retry_after:
            self.set_header(headers.RETRY_AFTER, reply.retry_after)
            self.attach_rest(read_rest(reply.status, reply.retry_after))
        self.attach_status()
        self.write_with_digest(
            attempt_id, reply.status, reply.content_type, Outcome.DONE, "", reply.body
        )

    def refuse_attempt(self, attempt_id: str, error: CodedError) -> None:
        """Writes an error, with a digest that binds it to the attempt."""
        self.set_status(error.http_status)
        self.set_header("Content-Type", "text/plain")
        self.set_header(headers.OUTCOME, error.outcome.value)
        self.set_header(headers.ERROR_CODE, error.code)
        self.attach_status()
        body = str(error).encode()
        self.write_with_digest(
            attempt_id, error.http_status, "text/plain", error.outcome, error.code, body
        )

    def write_with_digest(
        self,
        attempt_id: str,
        status: int,
        content_type: str,
        outcome: Outcome,
        code: str,
        body: bytes,
    ) -> None:
        """Writes the body, and a header with the digest of the complete response."""
        digest = digest_answer(attempt_id, status, content_type, outcome.value, code, body)
        self.set_header(headers.ANSWER_DIGEST, digest.hex())
        self.write(body)


class StatusHandler(CallHandler):
    """GET /internal/status."""

    def get(self) -> None:
        """Writes this daemon's status as JSON."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self.sidecar.status()))
