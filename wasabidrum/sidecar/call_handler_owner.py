"""What the handlers of calls need of the sidecar that they answer for."""

import typing

from ..core.background_tasks import BackgroundTasks
from ..core.requests_in_progress import RequestsInProgress
from ..core.status import Status
from ..decisions.death_record import DeathRecord
from ..endpoints.model_engine import ModelEngine
from ..endpoints.plain_service import PlainService
from ..peers.peer_node import PeerNode
from .attempts import Attempts
from .keyed_calls import KeyedCalls


class CallHandlerOwner(typing.Protocol):
    """Who takes the fleet's requests for one endpoint.

    Attributes:
      engine: The endpoint, or None where it is a plain service.
      service: The endpoint, or None where it is a model engine.
      leaving: Whether new work is refused.
      requests: Counts the requests in progress, which a stop waits for.
      attempts: The attempts that run at the engine.
      keyed_calls: The calls that run at most once.
      deaths: The requests that the engine was lost with.
      node: Tells entries of a change at once.
      tasks: Runs what outlives a handler.
    """

    engine: ModelEngine | None
    service: PlainService | None
    leaving: bool
    requests: RequestsInProgress
    attempts: Attempts
    keyed_calls: KeyedCalls
    deaths: DeathRecord
    node: PeerNode
    tasks: BackgroundTasks

    def status(self) -> Status:
        """Returns the daemon's own account of itself."""

    def note_refused_while_leaving(self) -> None:
        """Logs that work still came after the daemon began to leave."""

    async def cancel(self, attempt_id: str) -> None:
        """Frees the engine's slot of an attempt that was given up."""
