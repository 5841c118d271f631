"""One request to a model: choose an endpoint, stream its answer, check that it is whole."""

import asyncio
import collections.abc
import dataclasses
import secrets

import msgspec
from tornado import httpclient

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..endpoints.generate_request import GenerateRequest
from ..wire import headers, http_client
from .caller_request import CallerRequest
from .endpoint_table import EndpointView
from .placement import Placement
from .traffic import Traffic
from .work_item import Priority, WorkItem

CANCEL_TIMEOUT_SECONDS = 2.0


class EngineEvent(msgspec.Struct, frozen=True):
    """One line of an engine's answer: its head, a token, or its end."""

    request_id: str = ""
    version: str = ""
    i: int = -1
    t: str = ""
    done: bool = False
    tokens: int = 0


@dataclasses.dataclass(slots=True)
class Generation:
    """Tokens that arrived together, and the version that made them."""

    version: str
    tokens: list[str]
    finished: bool


class ModelCaller:
    """Runs requests to models for the callers of one entry."""

    __slots__ = ("_client", "_traffic")

    def __init__(self, client: httpclient.AsyncHTTPClient, traffic: Traffic) -> None:
        self._client = client
        self._traffic = traffic

    async def generate(
        self, caller: CallerRequest, model: str, prompt: str, max_tokens: int
    ) -> collections.abc.AsyncIterator[Generation]:
        """Yields an answer as it comes; the last piece is marked finished.

        Raises:
          CodedError: The answer will not become whole.
        """
        item = WorkItem(
            request_id=caller.request_id,
            workspace=caller.workspace,
            priority=Priority.GENERATE,
            deadline=caller.deadline,
            idempotent=True,
            model=model,
            prompt=prompt,
            max_tokens=max_tokens,
        )
        permit = await self._traffic.admit(item)
        try:
            async for generation in self._run(item):
                yield generation
        finally:
            permit.release()

    async def _run(self, item: WorkItem) -> collections.abc.AsyncIterator[Generation]:
        placement = self._traffic.place(item)
        attempt_id = f"{item.request_id}.{secrets.token_hex(6)}"
        order = GenerateRequest(
            attempt_id, item.prompt, item.max_tokens, priority=item.engine_priority
        )
        code = "cancelled"
        try:
            async for generation in self._attempt(placement, order):
                if generation.finished:
                    code = ""
                yield generation
        except CodedError as error:
            code = error.code
            raise
        finally:
            placement.ended(code)
            if code:
                asyncio.ensure_future(self._cancel(placement.view, attempt_id))

    async def _attempt(
        self, placement: Placement, order: GenerateRequest
    ) -> collections.abc.AsyncIterator[Generation]:
        view = placement.view
        remaining = placement.item.deadline - asyncio.get_running_loop().time()
        request = httpclient.HTTPRequest(
            view.url + "/internal/generate",
            method="POST",
            body=msgspec.json.encode(order),
            request_timeout=max(0.001, remaining),
        )
        stream = await http_client.open_stream(self._client, request, view.instance.name)
        if stream.status != 200:
            body = b"".join([chunk async for chunk in stream.chunks()])
            raise refusal_from(stream.status, stream.headers, body)
        placement.head_arrived(stream.headers)
        rest = b""
        version = ""
        next_token = order.resume_from
        async for chunk in stream.chunks():
            lines = (rest + chunk).split(b"\n")
            rest = lines.pop()
            tokens: list[str] = []
            finished = False
            for line in lines:
                event = decode_event(line)
                if event.request_id:
                    if event.request_id != order.request_id:
                        raise CodedError("answer_crossed", "not ours", 502, Outcome.FAILED)
                    version = event.version
                elif event.done:
                    finished = event.tokens == next_token and event.version == version
                elif event.i == next_token:
                    next_token += 1
                    tokens.append(event.t)
                else:
                    raise CodedError("answer_broken", "a token is missing", 502, Outcome.FAILED)
            placement.progressed(len(tokens))
            if tokens or finished:
                yield Generation(version, tokens, finished)
            if finished:
                return
        raise CodedError("answer_cut", "the answer ended early", 502, Outcome.FAILED)

    async def _cancel(self, view: EndpointView, attempt_id: str) -> None:
        request = httpclient.HTTPRequest(
            f"{view.url}/internal/cancel/{attempt_id}",
            method="POST",
            body=b"",
            request_timeout=CANCEL_TIMEOUT_SECONDS,
        )
        try:
            await http_client.fetch(self._client, request, "cancel")
        except CodedError:
            return


def decode_event(line: bytes) -> EngineEvent:
    """Decodes one line of an engine's answer.

    Raises:
      CodedError: The line is not an event.
    """
    try:
        return msgspec.json.decode(line, type=EngineEvent)
    except msgspec.MsgspecError as error:
        raise CodedError("answer_broken", str(error), 502, Outcome.FAILED) from error


def refusal_from(status: int, answered: object, body: bytes) -> CodedError:
    """Turns a sidecar's refusal into the error that the caller gets."""
    outcome = Outcome(answered.get(headers.OUTCOME, Outcome.UNKNOWN.value))
    code = answered.get(headers.ERROR_CODE, "endpoint_refused")
    return CodedError(code, body.decode(errors="replace"), status, outcome, retry_after=1.0)
