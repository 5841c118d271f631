"""Reads an engine's events, and passes on nothing that is not provably the caller's next token."""

import dataclasses

import msgspec

from ..core.errors import CodedError
from ..core.outcome import Outcome

LONGEST_LINE_BYTES = 65_536


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


class GenerationReader:
    """Checks one attempt's events as they arrive.

    The head must name the attempt and, on a resumed stream, the version that the earlier
    tokens came from. Tokens must follow each other without a gap or a repetition. The end
    must agree with what came before.
    """

    __slots__ = ("_attempt_id", "_version", "_next_token", "_has_head", "_rest", "_finished")

    def __init__(self, attempt_id: str, version: str, next_token: int) -> None:
        self._attempt_id = attempt_id
        self._version = version
        self._next_token = next_token
        self._has_head = False
        self._rest = b""
        self._finished = False

    @property
    def version(self) -> str:
        """The version that answers; empty until it is known."""
        return self._version

    def take(self, chunk: bytes) -> Generation:
        """Takes bytes as they came, and returns what they add to the answer.

        Raises:
          CodedError: The answer is another's, broken, or of another version.
        """
        lines = (self._rest + chunk).split(b"\n")
        self._rest = lines.pop()
        if len(self._rest) > LONGEST_LINE_BYTES:
            raise broken("an event is too long")
        tokens: list[str] = []
        for line in lines:
            if self._finished:
                raise broken("an event after the last")
            self._take_event(decode_event(line), tokens)
        return Generation(self._version, tokens, self._finished)

    def _take_event(self, event: EngineEvent, tokens: list[str]) -> None:
        if not self._has_head:
            self._take_head(event)
        elif event.done:
            # A resumed stream whose tokens were counted wrongly would end early or late.
            if event.tokens != self._next_token or event.version != self._version:
                raise broken("the end does not agree with the tokens")
            self._finished = True
        elif event.i == self._next_token and not event.request_id:
            self._next_token += 1
            tokens.append(event.t)
        else:
            raise broken("a token is missing or repeated")

    def _take_head(self, event: EngineEvent) -> None:
        if event.request_id != self._attempt_id:
            raise CodedError("answer_crossed", "not this attempt's", 502, Outcome.FAILED)
        if not event.version or self._version not in ("", event.version):
            raise CodedError("version_mismatch", "another version", 502, Outcome.FAILED)
        self._version = event.version
        self._has_head = True


def decode_event(line: bytes) -> EngineEvent:
    """Decodes one line of an engine's answer.

    Raises:
      CodedError: The line is not an event.
    """
    try:
        return msgspec.json.decode(line, type=EngineEvent)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise broken(str(error)) from error


def broken(message: str) -> CodedError:
    """Returns the error of an answer that cannot be passed on."""
    return CodedError("answer_broken", message, 502, Outcome.FAILED)
