"""The part of a sidecar that has to do with weights, put together."""

import collections.abc
import dataclasses

import msgspec
from tornado import httpclient, web

from ..config.settings import Settings
from ..core.background_tasks import BackgroundTasks
from ..core.status import Status
from ..endpoints.model_engine import ModelEngine
from ..observe.event_log import EventLog
from ..peers.configuration_follower import ConfigurationFollower
from ..peers.membership import Membership
from ..platform.configuration_service import ConfigurationService
from ..platform.http_blob_source import make_blob_source
from .chunk_handler import ChunkHandler
from .clock_guard import ClockGuard
from .distributor import Distributor
from .orderer_lock import OrdererLock
from .origin_draw import OriginDraw
from .rollout_gate import RolloutGate
from .status_client import StatusClient
from .version_manager import VersionManager


class WeightsHandler(web.RequestHandler):
    """GET /internal/weights: what an operator needs to see why a rollout does not move."""

    def initialize(self, weights: "WeightsSide") -> None:
        """Takes the weights' part from the route."""
        self.weights = weights

    def get(self) -> None:
        """Answers with what was moved, what is held, and what is waited for."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self.weights.describe()))


@dataclasses.dataclass(slots=True)
class WeightsSide:
    """Store, distribution, rollout and orders of one sidecar."""

    distributor: Distributor
    gate: RolloutGate
    guard: ClockGuard
    lock: OrdererLock
    statuses: StatusClient
    manager: VersionManager

    def routes(self) -> list[tuple]:
        """Returns the routes that the sidecar's server adds."""
        return [
            (r"/internal/chunks/([0-9a-f]+)", ChunkHandler, {"distributor": self.distributor}),
            (r"/internal/weights", WeightsHandler, {"weights": self}),
        ]

    def start(self, tasks: BackgroundTasks) -> None:
        """Starts the background tasks."""
        tasks.start("clock", self.guard.run())
        tasks.start("versions", self.manager.run())

    def complete_status(self, status: Status) -> Status:
        """Returns a status with what it says of weights filled in."""
        state = self.gate.state
        return msgspec.structs.replace(
            status,
            version=self.manager.active,
            fetching=self.manager.fetching,
            chunks_held=self.manager.chunks_held,
            chunks_wanted=self.manager.chunks_wanted,
            staged=state.staged,
            switching=state.switching,
            failed_version=state.failed,
            proven=state.proven,
            stopped=state.stopped,
        )

    def describe(self) -> dict[str, object]:
        """Returns the facts for operators."""
        distributor = self.distributor
        return dataclasses.asdict(distributor.counts) | {
            "chunks_in_memory": distributor.store.count,
            "bytes_in_memory": distributor.store.size,
            "expected": len(distributor.store.expected),
            "drawing": sorted(distributor.store.drawing),
            "passed_over": distributor.avoided_names(),
            "orders": self.lock.held,
            "statuses_asked": self.statuses.asked,
        }


def make_weights_side(
    settings: Settings,
    client: httpclient.AsyncHTTPClient,
    engine: ModelEngine,
    follower: ConfigurationFollower,
    configuration: ConfigurationService,
    ask_peers: collections.abc.Callable[[], collections.abc.Awaitable[int]],
    membership: Membership,
    in_progress: collections.abc.Callable[[], int],
    log: EventLog,
) -> WeightsSide:
    """Returns the weights' part of a sidecar that has not started."""
    urls = [url for url in (settings.platform.store, settings.platform.origin) if url]
    origin = OriginDraw([make_blob_source(client, url) for url in urls])
    distributor = Distributor(settings, membership, client, origin, in_progress, log)
    statuses = StatusClient(client, membership)
    gate = RolloutGate(settings.name, statuses, log)
    guard = ClockGuard(configuration, ask_peers, follower, log)
    lock = OrdererLock(settings.endpoint.url, log)
    manager = VersionManager(settings.name, follower, engine, distributor, gate, guard, lock, log)
    return WeightsSide(distributor, gate, guard, lock, statuses, manager)
