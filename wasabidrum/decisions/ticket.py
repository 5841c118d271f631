"""A request in an admission queue, and the reason for a refusal."""

import dataclasses
import enum


class TicketState(enum.Enum):
    """The state of a request. It only moves forward."""

    NEW = 0
    WAITING = 1
    RUNNING = 2
    ENDED = 3


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """What admission control knows about a request.

    Attributes:
      priority: Priority class; lower values are served first.
      share: Weight of its workspace.
      cost: Expected cost in tokens; one for a call of a plain service.
      deadline: When its caller stops waiting.
      wait_ends_at: When it is refused if it is still waiting; set by the queue.
      expected_wait: Estimated seconds of waiting, before correction.
      over_share: Whether its workspace exceeded its share when the request started to run.
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
    wait_ends_at: float = 0.0
    expected_wait: float = 0.0
    over_share: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not served, and after how many seconds its caller may retry."""

    code: str
    reason: str
    retry_after: float
