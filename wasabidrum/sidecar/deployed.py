"""The sidecar where the platform publishes endpoints: loads weights, reports the engine's load."""

import asyncio

from tornado import netutil, web

from ..config.deployment import Address, Deployment
from ..core.background_tasks import BackgroundTasks
from ..core.boot_clock import boot_seconds
from ..core.engine_report import EngineReport
from ..core.fleet import LinkSpec
from ..core.incarnation import make_incarnation
from ..core.instance import InstanceRole
from ..core.load import Load
from ..core.status import Status
from ..decisions import crashing_parts
from ..decisions.crashing_parts import CrashingParts
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..observe.routes import make_routes
from ..platform.engine_client import make_engine_client
from ..platform.origin_client import make_origin_client
from ..platform.store_client import make_store_client
from ..weights.chunk_member import CHUNK_PORT_OFFSET
from ..weights.chunk_routes import make_chunk_routes
from ..weights.deployed_settings import distribution_settings
from ..weights.distributor import Distributor
from ..weights.engine_controller import EngineController
from ..weights.listed_engines import ListedEngines
from ..weights.origin_fetcher import OriginFetcher
from ..weights.shared_readings import SharedReadings
from ..wire import http_client
from ..wire.ending_server import MAX_UNUSED_BODY_BYTES, EndingServer, end_internal_connections
from ..wire.parsing_turns import HEAD_LINES, METRICS_LINES
from ..wire.process_limits import find_process_limits
from ..wire.request_room import RequestRoom
from ..wire.room_metrics import add_room_metrics
from .load_service import LoadService

METRICS_PORT_OFFSET = 2
# The part of the accepted connections that each port may have.
CHUNKS_SHARE = 0.45
METRICS_SHARE = 0.1
# The fraction of the instance's link that weights may use while its engine serves requests. A
# version takes two seconds at the full link rate and must be in force within eight, of which
# switching takes two or three. The rest of the link is kept free so that the engine's events are
# not delayed.
WEIGHTS_FRACTION = 0.85


class DeployedSidecar:
    """Owns the servers and background tasks beside one engine."""

    def __init__(self, deployment: Deployment, log: EventLog) -> None:
        self._deployment = deployment
        limits = find_process_limits(deployment.memory_mb, deployment.descriptors)
        self._process_limits = limits
        self._request_room = RequestRoom(limits.unfinished_bytes, limits.whole_bytes)
        self._log = log
        self._servers: list[EndingServer] = []
        self._tasks = BackgroundTasks(self._report_failure)
        client = http_client.make_client()
        store = make_store_client(client, deployment.store)
        origin = make_origin_client(client)
        self._readings = SharedReadings(client, log)
        self._listed = ListedEngines(deployment, store, self._readings, log)
        self._distributor = Distributor(
            distribution_settings(deployment, "sidecar"),
            self._listed,
            client,
            OriginFetcher([origin]),
            self._requests_at_engine,
            log,
        )
        self._distributor.pacer.links = LinkSpec(weights_fraction_instance=WEIGHTS_FRACTION)
        engine = make_engine_client(client, deployment.endpoint)
        self._controller = EngineController(
            engine,
            origin,
            self._distributor,
            self._listed,
            self._readings,
            deployment.bounds.version,
            log,
        )
        self._incarnation = make_incarnation()
        self._sequence = 0
        self._last_reported: tuple[object, ...] = ()
        # What entries have told of prompt parts that crash engines, for those that start.
        self._parts = CrashingParts()
        self._load_service = LoadService(deployment, self.status, log)
        self._controller.on_report = self._handle_report
        log.metrics.add_gauge(
            "weights_inbound_bytes_per_second",
            "How fast weights may come here beside requests, by what came through lately.",
            lambda: self._distributor.chunk_requester.inbound_limit.rate,
        )
        add_room_metrics(log.metrics, self._request_room)
        self._load_service.on_relays = self._listed.set_relays
        self._load_service.on_entry = self._record_entry
        self._load_service.on_entry_disconnected = self._controller.retirement.forget

    async def start(self) -> None:
        """Starts the servers and the background tasks."""
        host, first = self._deployment.host, self._deployment.first_port
        self._listen(
            make_chunk_routes(self._distributor, self._readings), CHUNK_PORT_OFFSET, CHUNKS_SHARE
        )
        self._listen(make_routes(self._log), METRICS_PORT_OFFSET, METRICS_SHARE)
        await self._load_service.start()
        self._tasks.keep_running("engine", self._controller.watch)
        self._tasks.keep_running("listed", self._listed.run)
        self._tasks.keep_running(
            "members", lambda: self._listed.refresh_members(self._needs_weights)
        )
        self._tasks.keep_running("versions", self._controller.run)
        self._tasks.keep_running("retirement", self._controller.retire_old_weights)
        self._log.write(
            Event.DAEMON_STARTED, role="sidecar", port=first + CHUNK_PORT_OFFSET, host=host
        )

    def reload(self, deployment: Deployment) -> list[str]:
        """Ignores changed settings: none of a sidecar's settings can change while it runs."""
        return []

    async def stop(self) -> None:
        """Stops the servers and tasks; the engine keeps running with the weights that it has."""
        self._log.write(Event.DAEMON_LEAVING)
        for server in self._servers:
            server.stop_listening()
        await self._tasks.cancel_all()
        await end_internal_connections(self._servers)
        for server in self._servers:
            server.counts.write(self._log, server.port, 0.0, server.count_closes())
        await self._load_service.stop()
        self._log.write(Event.DAEMON_STOPPED)

    def status(self) -> Status:
        """Returns the current status of this daemon and its engine."""
        self._sequence += 1
        report = self._controller.report or EngineReport()
        own = self._deployment
        return Status(
            name=own.host,
            role=InstanceRole.SIDECAR,
            incarnation=self._incarnation,
            sequence=self._sequence,
            region=own.region,
            data_centre=own.data_centre,
            host=own.host,
            http_port=own.first_port + CHUNK_PORT_OFFSET,
            peer_port=own.first_port,
            model=report.model or self._listed.model,
            service=own.service,
            version=str(report.weights) if report.weights else "",
            switching=self._controller.switching or report.busy,
            load=self._load(),
            wanted_version=str(self._listed.wanted),
            wanted_seconds=self._listed.wanted_seconds,
            parts=self._parts.reports(
                asyncio.get_running_loop().time(), crashing_parts.CRASHES_TO_REMEMBER
            ),
            weights_known=self._listed.ready,
        )

    def _load(self) -> Load:
        report = self._controller.report
        # An engine that does not answer is reported with no slots, so that entries skip it.
        if report is None:
            return Load(slots=0)
        return Load(report.running, report.queued, pace=report.pace)

    def _handle_report(self) -> None:
        report = self._controller.report
        held = report and report.weights
        weights = (held, self._controller.switching, self._listed.wanted, self._listed.ready)
        state = (self._load(), *weights)
        if state == self._last_reported:
            return
        weights_changed = self._last_reported[1:] != weights
        self._last_reported = state
        self._load_service.report_load()
        if weights_changed:
            self._load_service.wake()

    def _record_entry(self, entry: Status) -> None:
        self._controller.retirement.record(entry.name, entry.placing_limits, boot_seconds())
        now = asyncio.get_running_loop().time()
        changed = [self._parts.merge(report, now) for report in entry.parts]
        if any(changed):
            self._load_service.wake()

    def _requests_at_engine(self) -> int:
        report = self._controller.report
        return report.running + report.queued if report is not None else 0

    def _needs_weights(self) -> bool:
        report = self._controller.report
        return report is not None and (not report.weights or report.weights < self._listed.wanted)

    def _listen(self, routes: list[tuple], offset: int, share: float) -> None:
        application = web.Application(routes, log_function=lambda handler: None)
        server = EndingServer(application, max_body_size=MAX_UNUSED_BODY_BYTES)
        server.log = self._log
        server.head_lines = METRICS_LINES if offset == METRICS_PORT_OFFSET else HEAD_LINES
        server.room = self._request_room
        server.max_connections = self._process_limits.share_of_connections(share)
        address = Address(self._deployment.host, self._deployment.first_port + offset)
        server.add_sockets(netutil.bind_sockets(address.port, address.host))
        self._servers.append(server)

    def _report_failure(self, name: str, error: BaseException) -> None:
        self._log.write(Event.TASK_FAILED, task=name, reason=repr(error)[:500])


def make_deployed_sidecar(deployment: Deployment, log: EventLog) -> DeployedSidecar:
    """Returns a sidecar that has not started."""
    return DeployedSidecar(deployment, log)
