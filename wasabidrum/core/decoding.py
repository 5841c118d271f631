"""Decodes bytes that another process wrote.

Whatever bytes make a decoder raise, the caller gets one type of error. Decoders raise more than
they document: deep nesting ends in RecursionError, long numbers in ValueError, and values of the
right type in KeyError or OverflowError where they are converted. An error that passes the code that
reads a message would end the task that reads all the others.
"""

import collections.abc
import contextlib
import typing

import msgspec

from .errors import CodedError
from .outcome import Outcome

MAX_REASON_CHARACTERS = 300


@contextlib.contextmanager
def decoding(
    code: str, http_status: int = 500, outcome: Outcome = Outcome.NOT_RUN
) -> collections.abc.Iterator[None]:
    """Raises every error of a block that decodes and converts bytes as one with a code.

    Raises:
      CodedError: The block raised an error; one that has a code already is passed on.
    """
    try:
        yield
    except CodedError:
        raise
    except Exception as error:
        raise CodedError(code, describe(error), http_status, outcome) from error


def decode_json(
    content: bytes | str,
    kind: typing.Any,
    code: str,
    http_status: int = 500,
    outcome: Outcome = Outcome.NOT_RUN,
) -> typing.Any:
    """Decodes JSON to a type.

    Raises:
      CodedError: The bytes are not JSON of that type; it has the code, status and outcome given.
    """
    with decoding(code, http_status, outcome):
        return msgspec.json.decode(content, type=kind)


def describe(error: Exception) -> str:
    """Returns the reason of an error, with its type unless it is one of the decoder's own."""
    text = str(error) if isinstance(error, msgspec.MsgspecError) else repr(error)
    return text[:MAX_REASON_CHARACTERS]
