"""One request as the decisions under load see it."""

import dataclasses
import enum
import math

from ..decisions import poison

USUAL_PRIORITY = 1
OVER_SHARE_PRIORITY = 2


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
      awake_deadline: The same, by the clock that counts while the instance is suspended; what
        may not be repeated is judged by it.
      idempotent: Whether the request may be repeated.
      prompt: The text of a model request, for prefix affinity; empty for a service.
      max_tokens: The most tokens that may be generated; zero for a service.
      tokens_done: Tokens that arrived so far, over all attempts.
      whole: Whether an attempt ended with a whole answer.
      retries: Attempts after the first that the budget allowed.
      placements: Attempts that were sent to an endpoint.
      over_share: Whether its workspace had more than its share when it was admitted.
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
    tokens_done: int = 0
    whole: bool = False
    retries: int = 0
    placements: int = 0
    over_share: bool = False
    awake_deadline: float = math.inf
    _fingerprint: str = ""

    @property
    def fingerprint(self) -> str:
        """The mark by which a prompt that crashes endpoints is known; empty for a service."""
        if not self._fingerprint and self.prompt:
            self._fingerprint = poison.fingerprint_of(self.prompt)
        return self._fingerprint

    @property
    def engine_priority(self) -> int:
        """The priority that an engine's own queue is told; lower runs first.

        Several entries share an engine and cannot know its queue exactly. Without this the
        requests of small workspaces would wait there behind those of a hot one.
        """
        return OVER_SHARE_PRIORITY if self.over_share else USUAL_PRIORITY

    @property
    def target(self) -> str:
        """The model or the service."""
        return self.model or self.service
