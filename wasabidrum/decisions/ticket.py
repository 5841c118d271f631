"""One request in an admission queue."""

import dataclasses
import enum


class TicketState(enum.Enum):
    """Where a request stands. It moves only forward."""

    NEW = 0
    WAITING = 1
    RUNNING = 2
    ENDED = 3


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """What admission knows of a request.

    Attributes:
      priority: Lower is served first.
      share: The weight of its workspace.
      cost: What it is expected to cost, in tokens, or one for a call of a plain service.
      deadline: When its caller stops waiting.
      give_up_at: When it is refused if it is still waiting; set by the queue.
      expected_wait: How long it was expected to wait, before correction.
      over_share: Whether its workspace had more than its share when it began to run.
    """

    request_id: str
    workspace: str
    priority: int
    share: float
    cost: float
    deadline: float
    state: TicketState = TicketState.NEW
    queued_at: float = 0.0
    started_at: float = 0.0
    give_up_at: float = 0.0
    expected_wait: float = 0.0
    over_share: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not served, and when its caller may come back."""

    code: str
    reason: str
    retry_after: float
