"""The body of /v1/completions."""

import typing

import msgspec

DEFAULT_MAX_TOKENS = 16
LARGEST_MAX_TOKENS = 100_000

MaxTokens = typing.Annotated[int, msgspec.Meta(ge=1, le=LARGEST_MAX_TOKENS)]


class CompletionBody(msgspec.Struct):
    """What a caller may say of a completion; other keys of the usual API are passed over."""

    model: str
    prompt: str
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False
