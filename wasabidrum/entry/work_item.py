"""One request as the load decisions see it."""

import dataclasses
import enum
import math

from ..decisions import poison

NORMAL_PRIORITY = 1
OVER_SHARE_PRIORITY = 2


class Priority(enum.IntEnum):
    """Priority classes of requests; a lower number is served first."""

    CHARGE = 0
    READ = 1
    GENERATE = 2


@dataclasses.dataclass(slots=True)
class WorkItem:
    """What admission, routing and retries need to know of a request.

    Attributes:
      deadline: When the caller stops waiting, by the event loop's clock.
      awake_deadline: The same moment by the boot-time clock, which keeps counting while the
        instance is suspended. It is what service calls are held to.
      idempotent: Whether the request may be repeated.
      prompt: The prompt of a model request, for prefix affinity; empty for a service call.
      max_tokens: The most tokens that may be generated; zero for a service call.
      tokens_received: Tokens that have arrived so far, over all attempts.
      completed: Whether an attempt ended with a complete answer.
      retries: Retries that were taken from the retry budget.
      placements: Attempts that were placed at an endpoint.
      over_share: Whether its workspace exceeded its share when the request was admitted.
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
    tokens_received: int = 0
    completed: bool = False
    retries: int = 0
    placements: int = 0
    over_share: bool = False
    awake_deadline: float = math.inf
    _fingerprint: str = ""

    @property
    def fingerprint(self) -> str:
        """The hash that identifies a prompt which may crash engines; empty for a service call."""
        if not self._fingerprint and self.prompt:
            self._fingerprint = poison.fingerprint_of(self.prompt)
        return self._fingerprint

    @property
    def engine_priority(self) -> int:
        """The priority in the engine's own queue; lower runs first.

        Several entries share an engine, and none knows its queue exactly. Without this priority
        the requests of small workspaces would wait there behind those of a busy one.
        """
        return OVER_SHARE_PRIORITY if self.over_share else NORMAL_PRIORITY

    @property
    def target(self) -> str:
        """The name of the model or the service."""
        return self.model or self.service
