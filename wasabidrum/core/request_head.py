"""The decoded heads of a caller's request and of an endpoint's answer."""

import dataclasses

from tornado import httputil


@dataclasses.dataclass(slots=True)
class RequestHead:
    """The head of a caller's request.

    Attributes:
      target: Path and query as received.
      deadline: The seconds that the caller waits, or None where not stated.
      key: The caller's bearer key, or empty.
      prompt_tokens: Tokens of the prompt; zero where not stated.
      max_tokens: The maximum number of tokens of the answer; zero where not stated.
      last_event: The id of the last event of this stream that the caller received, or empty.
      headers: The headers as received.
      shared_parts: The ids of the prompt's parts that other requests may share, in their order.
    """

    method: str
    target: str
    host: str
    request_id: str
    deadline: float | None
    key: str
    prompt_tokens: int
    max_tokens: int
    last_event: str
    headers: httputil.HTTPHeaders
    shared_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(slots=True)
class ReplyHead:
    """The head of an endpoint's answer.

    Attributes:
      not_executed: The endpoint states that it did not begin to execute the request.
      signed: Whether it carries an endpoint's signature.
      request_id: The id of the request that it states to answer, or empty.
      instance: The endpoint that answered in place of the expected one, or empty.
      states_limit: Whether the endpoint states how many requests a second it takes.
      stated_limit: That number, from all entries together; None if it cannot be read.
      leaving: Whether the endpoint announces that it leaves.
      rest_seconds: For how long the endpoint wants no more requests from this entry; zero where it
        does not say so.
      cold_seconds: For how long the endpoint is cold; None where it does not say so.
      encoded: Whether it has a Content-Encoding, a sign that its body was changed in transit.
      headers: The headers that are passed to the caller.
    """

    status: int
    reason: str
    not_executed: bool
    signed: bool
    request_id: str
    instance: str
    encoded: bool
    headers: httputil.HTTPHeaders
    stated_limit: float | None = None
    states_limit: bool = False
    leaving: bool = False
    rest_seconds: float = 0.0
    cold_seconds: float | None = None

    @property
    def success(self) -> bool:
        """Whether the status is a success (2xx)."""
        return 200 <= self.status < 300
