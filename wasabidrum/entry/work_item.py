"""One request as the decisions under load see it."""

import dataclasses
import enum


class Priority(enum.IntEnum):
    """Classes of work; a lower number is served first."""

    CHARGE = 0
    READ = 1
    GENERATE = 2


@dataclasses.dataclass(slots=True)
class WorkItem:
    """What decides who is served, who waits and where a request goes.

    Attributes:
      deadline: When the caller stops waiting, by the event loop's clock.
      idempotent: Whether the request may be repeated.
      prompt: The text of a model request, for prefix affinity; empty for a service.
      max_tokens: The most tokens that may be generated; zero for a service.
    """

    request_id: str
    workspace: str
    priority: Priority
    deadline: float
    idempotent: bool
    model: str = ""
    service: str = ""
    prompt: str = ""
    max_tokens: int = 0
