"""What callers see: OpenAI-style completions, and plain services by path."""

import asyncio
import hashlib
import hmac
import secrets
import time
import typing

import msgspec
from tornado import iostream, web

from ..core.errors import CodedError
from ..core.fleet import FleetRevision
from ..core.outcome import Outcome
from ..observe.event import Event
from ..wire import headers
from .caller_request import CallerRequest
from .service_order import ServiceOrder

if typing.TYPE_CHECKING:
    from .daemon import Entry

LONGEST_REQUEST_ID = 128
DEFAULT_MAX_TOKENS = 16
LARGEST_MAX_TOKENS = 100_000


class CompletionBody(msgspec.Struct):
    """The body of /v1/completions."""

    model: str
    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=LARGEST_MAX_TOKENS)] = (
        DEFAULT_MAX_TOKENS
    )
    stream: bool = False


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """The body of /v1/chat/completions."""

    model: str
    messages: list[ChatMessage]
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=LARGEST_MAX_TOKENS)] = (
        DEFAULT_MAX_TOKENS
    )
    stream: bool = False


def find_workspace(revision: FleetRevision, authorization: str) -> str:
    """Returns the workspace whose key a caller shows.

    Every digest is compared, each in constant time, so that the time taken tells nothing
    about which part of a key is right.

    Raises:
      CodedError: No workspace has this key.
    """
    kind, _, key = authorization.partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    found = ""
    for name, workspace in revision.fleet.workspaces.items():
        for known in workspace.key_digests:
            if hmac.compare_digest(known, digest):
                found = name
    if not found or kind.lower() != "bearer":
        raise CodedError("key_unknown", "the bearer key is not valid", 401)
    return found


class CallerHandler(web.RequestHandler):
    """What every handler for callers shares."""

    def initialize(self, entry: "Entry") -> None:
        """Takes the entry from the route."""
        self.entry = entry
        self.request_id = ""
        self.running: asyncio.Task | None = None

    def admit_head(self) -> CallerRequest:
        """Checks the request's head.

        Raises:
          CodedError: The caller is unknown, or a header is wrong.
        """
        given = self.request.headers
        self.request_id = given.get(headers.REQUEST_ID, "") or secrets.token_hex(12)
        if len(self.request_id) > LONGEST_REQUEST_ID or not self.request_id.isprintable():
            self.request_id = secrets.token_hex(12)
            raise CodedError("request_id_invalid", "the request id is not valid", 400)
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
            if not milliseconds.isdecimal() or int(milliseconds) == 0:
                raise CodedError("deadline_invalid", "not a number of milliseconds", 400)
            seconds = min(int(milliseconds) / 1000.0, limits.largest_deadline_seconds)
        deadline = asyncio.get_running_loop().time() + seconds
        return CallerRequest(self.request_id, workspace, revision, deadline)

    def error_body(self, error: CodedError) -> dict[str, object]:
        """Returns the JSON that tells a caller of an error."""
        body = {"code": error.code, "message": str(error), "outcome": error.outcome.value}
        if error.retry_after is not None:
            body["retry_after"] = error.retry_after
        if error.idempotency_key:
            body["idempotency_key"] = error.idempotency_key
        return {"error": body, "request_id": self.request_id}

    def refuse(self, error: CodedError) -> None:
        """Answers with an error, at once."""
        self.set_status(error.http_status)
        self.set_header(headers.REQUEST_ID, self.request_id)
        self.set_header(headers.OUTCOME, error.outcome.value)
        if error.retry_after is not None:
            self.set_header("Retry-After", str(max(1, round(error.retry_after))))
        self.finish(self.error_body(error))
        event = Event.REQUEST_FAILED
        if error.outcome is Outcome.NOT_RUN:
            event = Event.REQUEST_REFUSED
        self.entry.log.write(event, request=self.request_id, code=error.code, reason=str(error))

    def on_connection_close(self) -> None:
        """Gives up the work of a caller that went away."""
        if self.running is not None:
            self.running.cancel()
            self.entry.log.write(Event.REQUEST_CANCELLED, request=self.request_id)

    async def run(self, work: typing.Coroutine) -> None:
        """Runs a request so that it ends when its caller goes away."""
        self.running = asyncio.ensure_future(work)
        try:
            with self.entry.requests.one():
                await self.running
        except (asyncio.CancelledError, iostream.StreamClosedError):
            return
        except CodedError as error:
            self.refuse(error)
        finally:
            self.running = None


class ModelHandler(CallerHandler):
    """Answers completions, whole or as server-sent events."""

    object_name = "text_completion"

    async def post(self) -> None:
        """Runs one request."""
        await self.run(self.answer())

    def read_body(self) -> tuple[str, str, int, bool]:
        """Returns model, prompt, tokens at most, and whether to stream."""
        body = msgspec.json.decode(self.request.body, type=CompletionBody)
        return body.model, body.prompt, body.max_tokens, body.stream

    async def answer(self) -> None:
        """Checks the request, generates, and answers."""
        caller = self.admit_head()
        try:
            model, prompt, max_tokens, stream = self.read_body()
        except msgspec.MsgspecError as error:
            raise CodedError("body_invalid", str(error), 400) from error
        if model not in caller.revision.fleet.workspaces[caller.workspace].models:
            raise CodedError("model_unknown", "no such model", 404)
        pieces = self.entry.models.generate(caller, model, prompt, max_tokens)
        if stream:
            await self.answer_streaming(caller, model, pieces)
        else:
            await self.answer_whole(caller, model, pieces)
        self.entry.log.write(Event.REQUEST_DONE, request=caller.request_id)

    async def answer_whole(
        self, caller: CallerRequest, model: str, pieces: typing.AsyncIterator
    ) -> None:
        """Answers once the last token is here."""
        tokens: list[str] = []
        version = ""
        async for piece in pieces:
            tokens += piece.tokens
            version = piece.version
        self.set_header(headers.REQUEST_ID, caller.request_id)
        self.set_header(headers.MODEL_VERSION, version)
        usage = {"completion_tokens": len(tokens)}
        choice = self.choice("".join(tokens), "stop", whole=True)
        self.write(self.head(caller, model, version) | {"choices": [choice], "usage": usage})

    async def answer_streaming(
        self, caller: CallerRequest, model: str, pieces: typing.AsyncIterator
    ) -> None:
        """Answers token by token; the end mark follows only a whole answer."""
        started = False
        try:
            async for piece in pieces:
                if not started:
                    started = True
                    self.set_header("Content-Type", "text/event-stream")
                    self.set_header(headers.REQUEST_ID, caller.request_id)
                    self.set_header(headers.MODEL_VERSION, piece.version)
                    head = self.head(caller, model, piece.version)
                for token in piece.tokens:
                    self.write_event(head | {"choices": [self.choice(token, None, whole=False)]})
                if piece.finished:
                    self.write_event(head | {"choices": [self.choice("", "stop", whole=False)]})
                    self.write(b"data: [DONE]\n\n")
                await self.flush()
        except CodedError as error:
            if not started:
                raise
            self.write_event(self.error_body(error))
            self.entry.log.write(Event.REQUEST_FAILED, request=caller.request_id, code=error.code)

    def head(self, caller: CallerRequest, model: str, version: str) -> dict[str, object]:
        """Returns the fields that every event and answer begins with."""
        return {
            "id": caller.request_id,
            "object": self.object_name,
            "created": int(time.time()),
            "model": model,
            "version": version,
        }

    def choice(self, text: str, reason: str | None, whole: bool) -> dict[str, object]:
        """Returns the only choice of a completion."""
        return {"index": 0, "text": text, "finish_reason": reason}

    def write_event(self, event: dict[str, object]) -> None:
        """Writes one server-sent event."""
        self.write(b"data: " + msgspec.json.encode(event) + b"\n\n")


class ChatHandler(ModelHandler):
    """Answers chats."""

    object_name = "chat.completion"

    def read_body(self) -> tuple[str, str, int, bool]:
        """Joins the messages into one prompt."""
        body = msgspec.json.decode(self.request.body, type=ChatBody)
        prompt = "\n".join(f"{message.role}: {message.content}" for message in body.messages)
        return body.model, prompt, body.max_tokens, body.stream

    def choice(self, text: str, reason: str | None, whole: bool) -> dict[str, object]:
        """Returns the only choice of a chat."""
        key = "message" if whole else "delta"
        content = {"role": "assistant", "content": text}
        return {"index": 0, key: content, "finish_reason": reason}


class ServiceHandler(CallerHandler):
    """Passes calls to plain services through by path."""

    async def get(self, service: str, path: str) -> None:
        """Passes a read."""
        await self.run(self.answer(service, path))

    async def post(self, service: str, path: str) -> None:
        """Passes a call with a body."""
        await self.run(self.answer(service, path))

    async def answer(self, service: str, path: str) -> None:
        """Checks the request, makes the call, and answers."""
        caller = self.admit_head()
        if service not in caller.revision.fleet.workspaces[caller.workspace].services:
            raise CodedError("service_unknown", "no such service", 404)
        if self.request.query:
            path += "?" + self.request.query
        given = self.request.headers
        order = ServiceOrder(
            service,
            self.request.method,
            path,
            given.get("Content-Type", "application/json"),
            self.request.body,
            given.get(headers.IDEMPOTENCY_KEY, ""),
        )
        reply = await self.entry.services.call(caller, order)
        self.set_status(reply.status)
        self.set_header("Content-Type", reply.content_type)
        self.set_header(headers.REQUEST_ID, caller.request_id)
        self.set_header(headers.OUTCOME, Outcome.DONE.value)
        if reply.replayed:
            self.set_header(headers.IDEMPOTENT_REPLAYED, "true")
        self.write(reply.body)
        self.entry.log.write(Event.REQUEST_DONE, request=caller.request_id)
