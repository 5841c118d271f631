"""The body of /v1/completions."""

import typing

import msgspec

DEFAULT_MAX_TOKENS = 16
MAX_TOKENS_LIMIT = 100_000

MaxTokens = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS_LIMIT)]


class CompletionBody(msgspec.Struct):
    """The supported keys of a completion request; other keys of the usual API are ignored."""

    model: str
    prompt: str
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False
