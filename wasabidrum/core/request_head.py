"""A caller's request as its head tells it, and what is told of an endpoint's answer."""

import dataclasses

from tornado import httputil


@dataclasses.dataclass(slots=True)
class RequestHead:
    """What a caller asks.

    Attributes:
      target: Path and query as the caller wrote them.
      deadline: Seconds that the caller waits; None where it did not say.
      key: The caller's bearer key, or empty.
      prompt_tokens: Tokens of the prompt; zero where it was not told.
      most_tokens: The most tokens of the answer; zero where it was not told.
      last_event: The id of the last event that the caller has of this stream, or empty.
      headers: The headers as they came.
    """

    method: str
    target: str
    host: str
    request_id: str
    deadline: float | None
    key: str
    prompt_tokens: int
    most_tokens: int
    last_event: str
    headers: httputil.HTTPHeaders

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(slots=True)
class ReplyHead:
    """How an endpoint's answer begins.

    Attributes:
      not_executed: The endpoint says that it did not begin.
      signed: It bears the endpoint's signature.
      request_id: Which request it says that it answers, or empty.
      instance: The endpoint that says it is there, where another was expected; else empty.
      encoded: Its body was changed by something on the way.
      headers: What is passed on to the caller.
    """

    status: int
    reason: str
    not_executed: bool
    signed: bool
    request_id: str
    instance: str
    encoded: bool
    headers: httputil.HTTPHeaders

    @property
    def success(self) -> bool:
        """Whether the endpoint answered with what was asked for."""
        return 200 <= self.status < 300
