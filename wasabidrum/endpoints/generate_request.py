"""A request to generate text."""

import msgspec


class GenerateRequest(msgspec.Struct, frozen=True):
    """A request to a model engine.

    Attributes:
      request_id: The attempt's id; the engine repeats it in its first event.
      resume_from: When a stream is resumed, the number of tokens that the caller already has.
      priority: A lower number runs first.
      adapter: The name of the adapter to use, or empty for none.
      version: The version that must answer, or empty for the one in force.
    """

    request_id: str
    prompt: str
    max_tokens: int
    resume_from: int = 0
    priority: int = 1
    adapter: str = ""
    version: str = ""
