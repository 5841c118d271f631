"""Parses an engine's event stream and accepts only what is provably the caller's next token."""

import dataclasses

import msgspec

from ..core.decoding import decode_json
from ..core.errors import CodedError
from ..core.outcome import Outcome

MAX_LINE_BYTES = 65_536
BROKEN_CODE = "answer_broken"


class EngineEvent(msgspec.Struct, frozen=True):
    """One line of an engine's stream: its head, a token, or its end."""

    request_id: str = ""
    version: str = ""
    i: int = -1
    t: str = ""
    done: bool = False
    tokens: int = 0


@dataclasses.dataclass(slots=True)
class TokenBatch:
    """Tokens that arrived together, and the model version that generated them."""

    version: str
    tokens: list[str]
    finished: bool


class TokenStreamReader:
    """Validates the events of one attempt as they arrive.

    The head must name the attempt and, on a resumed stream, the version that generated the
    earlier tokens. Token indices must be consecutive. The end event must agree with the number
    of tokens and the version.
    """

    __slots__ = ("_attempt_id", "_version", "_next_token", "_has_head", "_buffer", "_finished")

    def __init__(self, attempt_id: str, version: str, next_token: int) -> None:
        self._attempt_id = attempt_id
        self._version = version
        self._next_token = next_token
        self._has_head = False
        self._buffer = b""
        self._finished = False

    @property
    def version(self) -> str:
        """The version that generates the answer; empty until it is known."""
        return self._version

    def feed(self, chunk: bytes) -> TokenBatch:
        """Parses the next bytes of the stream and returns what they add to the answer.

        Raises:
          CodedError: The stream is malformed, or belongs to another attempt or version.
        """
        lines = (self._buffer + chunk).split(b"\n")
        self._buffer = lines.pop()
        if len(self._buffer) > MAX_LINE_BYTES:
            raise broken_answer("an event line is too long")
        tokens: list[str] = []
        for line in lines:
            if self._finished:
                raise broken_answer("an event follows the end event")
            self._process_event(decode_event(line), tokens)
        return TokenBatch(self._version, tokens, self._finished)

    def _process_event(self, event: EngineEvent, tokens: list[str]) -> None:
        if not self._has_head:
            self._process_head(event)
        elif event.done:
            # Without this check a resumed stream whose tokens were miscounted would go unnoticed
            # and end too early or too late.
            if event.tokens != self._next_token or event.version != self._version:
                raise broken_answer("the end event does not match the tokens received")
            self._finished = True
        elif event.i == self._next_token and not event.request_id:
            self._next_token += 1
            tokens.append(event.t)
        else:
            raise broken_answer("a token is missing or repeated")

    def _process_head(self, event: EngineEvent) -> None:
        if event.request_id != self._attempt_id:
            raise CodedError(
                "answer_crossed", "the stream belongs to another attempt", 502, Outcome.FAILED
            )
        if not event.version or self._version not in ("", event.version):
            raise CodedError(
                "version_mismatch",
                "the stream comes from another model version",
                502,
                Outcome.FAILED,
            )
        self._version = event.version
        self._has_head = True


def decode_event(line: bytes) -> EngineEvent:
    """Decodes one line of an engine's stream.

    Raises:
      CodedError: The line is not a valid event.
    """
    return decode_json(line, EngineEvent, BROKEN_CODE, 502, Outcome.FAILED)


def broken_answer(message: str) -> CodedError:
    """Returns the error for a stream that violates the protocol."""
    return CodedError(BROKEN_CODE, message, 502, Outcome.FAILED)
