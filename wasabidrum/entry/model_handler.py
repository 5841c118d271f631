"""Serves completions, as one response or as server-sent events."""

import contextlib
import time
import typing

import msgspec

from ..core.decoding import decode_json
from ..core.errors import CodedError
from ..wire import headers
from .caller_handler import CallerHandler
from .caller_request import CallerRequest
from .completion_body import CompletionBody


class ModelHandler(CallerHandler):
    """Serves POST /v1/completions."""

    object_name = "text_completion"

    tokens = 0
    first_token_seconds = 0.0

    async def post(self) -> None:
        """Handles one request."""
        await self.run(self.respond)

    def decode_body(self) -> CompletionBody:
        """Decodes the body."""
        return decode_json(self.body, CompletionBody, "body_invalid", 400)

    async def respond(self) -> None:
        """Validates the body, generates the text and responds."""
        caller = self.caller
        completion = self.decode_body()
        if completion.model not in caller.revision.fleet.workspaces[caller.workspace].models:
            raise CodedError("model_unknown", "unknown model", 404)
        batches = self.entry.models.generate(
            caller, completion.model, completion.prompt, completion.max_tokens
        )
        counted = self.count_tokens(batches)
        # When the caller disconnects, the generators are left half read. Closing them here, not
        # when they are garbage-collected, frees the request's admission permit at once.
        async with contextlib.aclosing(batches), contextlib.aclosing(counted):
            if completion.stream:
                complete = await self.respond_streaming(caller, completion.model, counted)
            else:
                complete = await self.respond_complete(caller, completion.model, counted)
        if complete:
            first = round(self.first_token_seconds, 4)
            self.log_completion(model=completion.model, tokens=self.tokens, first_token=first)

    async def count_tokens(self, batches: typing.AsyncIterator) -> typing.AsyncIterator:
        """Passes batches through, counting tokens and recording when the first arrived."""
        async for batch in batches:
            if not self.tokens:
                self.first_token_seconds = self.request.request_time()
            self.tokens += len(batch.tokens)
            yield batch

    async def respond_complete(
        self, caller: CallerRequest, model: str, batches: typing.AsyncIterator
    ) -> bool:
        """Responds with one JSON document once the last token has arrived."""
        tokens: list[str] = []
        version = ""
        async for batch in batches:
            tokens += batch.tokens
            version = batch.version
        self.set_header(headers.REQUEST_ID, caller.request_id)
        self.set_header(headers.MODEL_VERSION, version)
        usage = {"completion_tokens": len(tokens)}
        choice = self.choice("".join(tokens), "stop", complete=True)
        self.write(
            self.response_fields(caller, model, version) | {"choices": [choice], "usage": usage}
        )
        return True

    async def respond_streaming(
        self, caller: CallerRequest, model: str, batches: typing.AsyncIterator
    ) -> bool:
        """Responds with one event per token; the end marker is sent only if all tokens were.

        Returns:
          Whether the response was complete. An error after the first token is sent as the last
          event, because the status line has already been sent by then.
        """
        started = False
        try:
            async for batch in batches:
                if not started:
                    started = True
                    self.set_header("Content-Type", "text/event-stream")
                    self.set_header(headers.REQUEST_ID, caller.request_id)
                    self.set_header(headers.MODEL_VERSION, batch.version)
                    head = self.response_fields(caller, model, batch.version)
                for token in batch.tokens:
                    self.write_event(head | {"choices": [self.choice(token, None, complete=False)]})
                if batch.finished:
                    self.write_event(head | {"choices": [self.choice("", "stop", complete=False)]})
                    self.write(b"data: [DONE]\n\n")
                await self.flush()
        except CodedError as error:
            if not started:
                raise
            self.write_event(self.error_body(error))
            self.log_error(error)
            return False
        return True

    def response_fields(self, caller: CallerRequest, model: str, version: str) -> dict[str, object]:
        """Returns the fields that all responses and events have in common."""
        return {
            "id": caller.request_id,
            "object": self.object_name,
            "created": int(time.time()),
            "model": model,
            "version": version,
        }

    def choice(self, text: str, reason: str | None, complete: bool) -> dict[str, object]:
        """Returns the single choice of a completion response or of one of its events."""
        return {"index": 0, "text": text, "finish_reason": reason}

    def write_event(self, event: dict[str, object]) -> None:
        """Writes one server-sent event."""
        self.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
