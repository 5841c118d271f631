"""The interface of the sidecar that the call handlers use."""

import typing

from ..core.background_tasks import BackgroundTasks
from ..core.requests_in_progress import RequestsInProgress
from ..core.status import Status
from ..decisions.death_record import DeathRecord
from ..endpoints.model_engine import ModelEngine
from ..endpoints.plain_service import PlainService
from ..peers.peer_node import PeerNode
from .attempt_registry import AttemptRegistry
from .idempotent_calls import IdempotentCalls


class CallHandlerOwner(typing.Protocol):
    """A sidecar that serves the fleet's requests to one endpoint.

    Attributes:
      engine: The endpoint, or None if it is a plain service.
      service: The endpoint, or None if it is a model engine.
      leaving: Whether the instance is leaving and accepts no new work.
      requests: Counts the requests in progress, which a graceful stop waits for.
      attempts: The attempts that run at the engine.
      idempotent_calls: The calls with keys, which run at most once.
      deaths: The requests that were in progress when the engine was lost.
      node: Pushes a changed status to entries.
      tasks: Runs tasks that outlive a handler.
    """

    engine: ModelEngine | None
    service: PlainService | None
    leaving: bool
    requests: RequestsInProgress
    attempts: AttemptRegistry
    idempotent_calls: IdempotentCalls
    deaths: DeathRecord
    node: PeerNode
    tasks: BackgroundTasks

    def status(self) -> Status:
        """Returns the daemon's current status."""

    def log_work_while_leaving(self) -> None:
        """Logs work that arrived while the instance is leaving."""

    async def cancel(self, attempt_id: str) -> None:
        """Cancels an abandoned attempt, which frees its slot at the engine."""
