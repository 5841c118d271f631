"""Builds and wires the weight distribution components of one sidecar."""

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
from .command_lock import CommandLock
from .distributor import Distributor
from .origin_fetcher import OriginFetcher
from .rollout_gate import RolloutGate
from .status_client import StatusClient
from .suspension_guard import SuspensionGuard
from .version_manager import VersionManager


class WeightsHandler(web.RequestHandler):
    """GET /internal/weights: diagnostics for operators when a rollout makes no progress."""

    def initialize(self, weights: "SidecarWeights") -> None:
        """Stores the components passed by the route."""
        self.weights = weights

    def get(self) -> None:
        """Responds with transfer counts, chunks held, and chunks still expected."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self.weights.describe()))


@dataclasses.dataclass(slots=True)
class SidecarWeights:
    """Distribution, rollout and engine control of one sidecar."""

    distributor: Distributor
    gate: RolloutGate
    guard: SuspensionGuard
    lock: CommandLock
    statuses: StatusClient
    manager: VersionManager

    def routes(self) -> list[tuple]:
        """Returns the routes to add to the sidecar's HTTP server."""
        return [
            (r"/internal/chunks/([0-9a-f]+)", ChunkHandler, {"distributor": self.distributor}),
            (r"/internal/weights", WeightsHandler, {"weights": self}),
        ]

    def start(self, tasks: BackgroundTasks) -> None:
        """Starts the background tasks."""
        tasks.keep_running("clock", self.guard.run)
        tasks.keep_running("versions", self.manager.run)

    def complete_status(self, status: Status) -> Status:
        """Returns a copy of a status with the fields about weights filled in."""
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
        """Returns the diagnostics served at /internal/weights."""
        distributor = self.distributor
        return dataclasses.asdict(distributor.counts) | {
            "chunks_in_memory": distributor.store.count,
            "bytes_in_memory": distributor.store.size,
            "expected": len(distributor.store.expected),
            "drawing": sorted(distributor.store.fetching_from_origin),
            "passed_over": distributor.skipped_peers(),
            "orders": self.lock.held,
            "statuses_asked": self.statuses.asked,
        }


def make_sidecar_weights(
    settings: Settings,
    client: httpclient.AsyncHTTPClient,
    engine: ModelEngine,
    follower: ConfigurationFollower,
    configuration: ConfigurationService,
    ask_peers: collections.abc.Callable[[], collections.abc.Awaitable[int]],
    membership: Membership,
    in_progress: collections.abc.Callable[[], int],
    log: EventLog,
) -> SidecarWeights:
    """Returns the components of one sidecar; their background tasks are not started yet."""
    urls = [url for url in (settings.platform.store, settings.platform.origin) if url]
    origin = OriginFetcher([make_blob_source(client, url) for url in urls])
    distributor = Distributor(settings, membership, client, origin, in_progress, log)
    statuses = StatusClient(client, membership)
    gate = RolloutGate(settings.name, statuses, log)
    guard = SuspensionGuard(configuration, ask_peers, follower, log)
    lock = CommandLock(settings.endpoint.url, log)
    manager = VersionManager(settings.name, follower, engine, distributor, gate, guard, lock, log)
    return SidecarWeights(distributor, gate, guard, lock, statuses, manager)
