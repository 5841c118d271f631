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
from ..wire import headers

if typing.TYPE_CHECKING:
    from .daemon import Sidecar


class CallHandler(web.RequestHandler):
    """What the handlers of calls share."""

    def initialize(self, sidecar: "Sidecar") -> None:
        """Takes the sidecar from the route."""
        self.sidecar = sidecar

    def refuse(self, error: CodedError) -> None:
        """Answers with an error and its outcome."""
        self.set_status(error.http_status)
        self.set_header(headers.OUTCOME, error.outcome.value)
        self.set_header(headers.ERROR_CODE, error.code)
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
            raise CodedError("endpoint_leaving", "this instance is leaving", 503)


class GenerateHandler(CallHandler):
    """POST /internal/generate: streams the engine's events."""

    _attempt_id = ""
    _prompt = ""

    async def post(self) -> None:
        """Runs one attempt."""
        engine = typing.cast(ModelEngine, self.sidecar.engine)
        with self.sidecar.requests.one():
            try:
                self.check_taking_work()
                order = msgspec.json.decode(self.request.body, type=GenerateRequest)
                self._attempt_id, self._prompt = order.request_id, order.prompt
                self.tell_status()
                async for chunk in engine.generate(order):
                    self.write(chunk)
                    await self.flush()
            except msgspec.MsgspecError as error:
                self.refuse(CodedError("attempt_invalid", str(error), 400))
            except iostream.StreamClosedError:
                return
            except CodedError as error:
                error = self.note_loss(error)
                if self._headers_written:
                    # The head is gone, so the only honest end is a cut, which the entry
                    # sees as an answer without its last event.
                    self.request.connection.close()
                else:
                    self.refuse(error)

    def note_loss(self, error: CodedError) -> CodedError:
        """Remembers a request that the engine was lost with, and gives its error a code."""
        if error.code != "peer_unreachable" or error.outcome is not Outcome.UNKNOWN:
            return error
        now = asyncio.get_running_loop().time()
        self.sidecar.deaths.take_lost(poison.fingerprint_of(self._prompt), now)
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
        """Runs one call, once."""
        service = typing.cast(PlainService, self.sidecar.service)
        asked = self.request.headers
        with self.sidecar.requests.one():
            try:
                self.check_taking_work()
                reply = await service.call(
                    asked[headers.FORWARDED_METHOD],
                    asked[headers.FORWARDED_PATH],
                    {"Content-Type": asked.get("Content-Type", "application/json")},
                    self.request.body,
                    float(asked[headers.DEADLINE_MILLISECONDS]) / 1000.0,
                )
            except CodedError as error:
                self.refuse(error)
                return
            self.set_status(reply.status)
            self.set_header("Content-Type", reply.content_type)
            self.set_header(headers.OUTCOME, Outcome.DONE.value)
            self.set_header(headers.ATTEMPT_ID, asked[headers.ATTEMPT_ID])
            self.tell_status()
            self.write(reply.body)


class StatusHandler(CallHandler):
    """GET /internal/status."""

    def get(self) -> None:
        """Answers with this daemon's own account of itself."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self.sidecar.status()))
