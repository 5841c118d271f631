"""Answers completions, whole or as server-sent events."""

import contextlib
import time
import typing

import msgspec

from ..core.errors import CodedError
from ..wire import headers
from .caller_handler import CallerHandler
from .caller_request import CallerRequest
from .completion_body import CompletionBody


class ModelHandler(CallerHandler):
    """POST /v1/completions."""

    object_name = "text_completion"

    tokens = 0
    first_token_seconds = 0.0

    async def post(self) -> None:
        """Runs one request."""
        await self.run(self.answer)

    def read_body(self) -> CompletionBody:
        """Returns what the caller asks for."""
        return msgspec.json.decode(self.body, type=CompletionBody)

    async def answer(self) -> None:
        """Checks the body, generates, and answers."""
        caller = self.caller
        try:
            asked = self.read_body()
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            raise CodedError("body_invalid", str(error), 400) from error
        if asked.model not in caller.revision.fleet.workspaces[caller.workspace].models:
            raise CodedError("model_unknown", "no such model", 404)
        pieces = self.entry.models.generate(caller, asked.model, asked.prompt, asked.max_tokens)
        timed = self.count_tokens(pieces)
        # A caller that goes away leaves the answer half read. Closed here and not when the
        # collector gets to it, the request's place is free for the next one at once.
        async with contextlib.aclosing(pieces), contextlib.aclosing(timed):
            if asked.stream:
                whole = await self.answer_streaming(caller, asked.model, timed)
            else:
                whole = await self.answer_whole(caller, asked.model, timed)
        if whole:
            first = round(self.first_token_seconds, 4)
            self.note_done(model=asked.model, tokens=self.tokens, first_token=first)

    async def count_tokens(self, pieces: typing.AsyncIterator) -> typing.AsyncIterator:
        """Passes an answer's pieces on, noting their tokens and when the first came."""
        async for piece in pieces:
            if not self.tokens:
                self.first_token_seconds = self.request.request_time()
            self.tokens += len(piece.tokens)
            yield piece

    async def answer_whole(
        self, caller: CallerRequest, model: str, pieces: typing.AsyncIterator
    ) -> bool:
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
        self.write(self.answer_head(caller, model, version) | {"choices": [choice], "usage": usage})
        return True

    async def answer_streaming(
        self, caller: CallerRequest, model: str, pieces: typing.AsyncIterator
    ) -> bool:
        """Answers token by token; the end mark follows only a whole answer.

        Returns:
          Whether the answer was whole. An error after the first token is told as the last
          event, because the status has gone out by then.
        """
        started = False
        try:
            async for piece in pieces:
                if not started:
                    started = True
                    self.set_header("Content-Type", "text/event-stream")
                    self.set_header(headers.REQUEST_ID, caller.request_id)
                    self.set_header(headers.MODEL_VERSION, piece.version)
                    head = self.answer_head(caller, model, piece.version)
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
            self.note_error(error)
            return False
        return True

    def answer_head(self, caller: CallerRequest, model: str, version: str) -> dict[str, object]:
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
