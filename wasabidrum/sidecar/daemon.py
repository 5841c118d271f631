"""The sidecar daemon: one per endpoint, which receives all its requests through it."""

import asyncio

from tornado import httputil, netutil, web

from ..config.settings import Settings
from ..core.background_tasks import BackgroundTasks
from ..core.errors import CodedError
from ..core.fleet import EndpointSpec, Fleet
from ..core.incarnation import make_incarnation
from ..core.instance import InstanceRole
from ..core.load import Load
from ..core.outcome import Outcome
from ..core.requests_in_progress import RequestsInProgress
from ..core.status import Status
from ..decisions.death_record import DeathRecord
from ..decisions.idempotency_ledger import make_ledger
from ..endpoints.http_model_engine import make_model_engine
from ..endpoints.http_plain_service import make_plain_service
from ..endpoints.model_engine import ModelEngine
from ..endpoints.plain_service import PlainService
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..observe.routes import make_routes
from ..peers.configuration_follower import ConfigurationFollower
from ..peers.control_handler import ControlHandler
from ..peers.listed_membership import ListedMembership
from ..peers.membership import Membership
from ..peers.peer_membership import PeerMembership
from ..peers.peer_node import PeerNode
from ..platform.http_configuration_service import make_configuration_service
from ..platform.http_instance_directory import make_instance_directory
from ..weights.sidecar_weights import SidecarWeights, make_sidecar_weights
from ..wire import headers, http_client, tls
from ..wire.ending_server import EndingServer, end_internal_connections
from ..wire.process_limits import find_process_limits
from ..wire.raw_response import make_response
from ..wire.request_room import RequestRoom
from ..wire.room_metrics import add_room_metrics
from . import call_handlers
from .attempt_registry import AttemptRegistry
from .idempotent_calls import IdempotentCalls

LOAD_READ_SECONDS = 0.25
LEAVING_NOTICE_SECONDS = 2.0
# For how long a leaving instance still accepts calls with new idempotency keys issued for it.
NEW_KEYS_GRACE_SECONDS = 1.5
# The part of the accepted connections that the HTTP port may have.
HTTP_SHARE = 0.7
# As it was received, joined, decoded, and encoded for the endpoint.
WHOLE_COPIES = 4


class Sidecar:
    """Owns the tasks beside one endpoint and serves the fleet's requests to it."""

    def __init__(self, settings: Settings, log: EventLog) -> None:
        self._settings = settings
        limits = find_process_limits(settings.memory_mb, settings.descriptors)
        self._process_limits = limits
        self._request_room = RequestRoom(limits.unfinished_bytes, limits.whole_bytes)
        self._log = log
        self._client = http_client.make_client()
        self._incarnation = make_incarnation()
        self._sequence = 0
        self._load = Load()
        self._server: EndingServer | None = None
        self.leaving = False
        self.requests = RequestsInProgress()
        self.deaths = DeathRecord()
        self.engine: ModelEngine | None = None
        self.service: PlainService | None = None
        self.weights: SidecarWeights | None = None
        self.tasks = BackgroundTasks(self._report_failure)
        self.attempts = AttemptRegistry()
        self.idempotent_calls = IdempotentCalls(make_ledger(self._incarnation), self.tasks, log)
        configuration = make_configuration_service(self._client, settings.platform.configuration)
        self.follower = ConfigurationFollower(configuration, settings.site, log)
        directory = make_instance_directory(self._client, settings.platform.instances)
        self.node = PeerNode(
            settings, directory, self.follower, self.status, log, self._report_failure
        )
        self._listed = ListedMembership(directory)
        self.membership: Membership = PeerMembership(self.node.table, self.node.find_listed)
        if settings.control == "service":
            self.membership = self._listed
        if settings.endpoint.kind == "engine":
            self.engine = make_model_engine(self._client, settings.endpoint.url)
            self.weights = make_sidecar_weights(
                settings,
                self._client,
                self.engine,
                self.follower,
                configuration,
                self._query_peers,
                self.membership,
                lambda: self.requests.count,
                log,
            )
        else:
            self.service = make_plain_service(self._client, settings.endpoint.url)

    async def start(self) -> None:
        """Starts the HTTP server and the background tasks."""
        arguments = {"sidecar": self}
        self._add_gauges()
        routes = [
            (r"/internal/generate", call_handlers.GenerateHandler, arguments),
            (r"/internal/service", call_handlers.ServiceHandler, arguments),
            (r"/internal/cancel/([^/]+)", call_handlers.CancelHandler, arguments),
            (r"/internal/status", call_handlers.StatusHandler, arguments),
            (r"/internal/control", ControlHandler, {"node": self.node}),
            *make_routes(self._log),
        ]
        if self.weights is not None:
            routes += self.weights.routes()
        application = web.Application(routes, log_function=lambda handler: None)
        listen = self._settings.listen
        self._server = EndingServer(application, ssl_options=tls.server_context())
        self._server.log = self._log
        self._server.room = self._request_room
        self._server.whole_copies = WHOLE_COPIES
        self._server.memory_response = make_refusal("memory_short")
        self._server.max_connections = self._process_limits.share_of_connections(HTTP_SHARE)
        self._server.leaving_response = make_refusal("endpoint_leaving")
        self._server.add_sockets(netutil.bind_sockets(listen.http_port, listen.host))
        if self._settings.control == "service":
            self.tasks.keep_running("configuration", self.follower.run)
            self.tasks.keep_running("membership", self._listed.run)
        else:
            await self.node.start()
        if self.weights is not None:
            self.weights.start(self.tasks)
            self.tasks.keep_running("load", self._read_load)
        self._log.write(
            Event.DAEMON_STARTED,
            role="sidecar",
            port=self._server.port,
            peer_port=self.node.peer_port,
            incarnation=self._incarnation,
        )

    def _add_gauges(self) -> None:
        add = self._log.metrics.add_gauge
        add("revision", "The configuration revision in force here.", lambda: self.follower.revision)
        add("requests_in_progress", "Requests at the endpoint.", lambda: self.requests.count)
        add("leaving", "One while this daemon takes no new work.", lambda: self.leaving)
        add_room_metrics(self._log.metrics, self._request_room)
        self._log.metrics.add_counter(
            "connections_closed",
            "Connections that were closed, by why and by what became of their request.",
            "end",
            lambda: self._server.count_closes() if self._server else {},
        )
        if self.weights is None:
            return
        manager, counts = self.weights.manager, self.weights.distributor.counts
        add("chunks_held", "Chunks of the version being fetched.", lambda: manager.chunks_held)
        add("chunks_wanted", "Chunks that this version has.", lambda: manager.chunks_wanted)
        self._log.metrics.add_counter(
            "weight_bytes", "Bytes of weights fetched, by source.", "source", counts.by_source
        )

    async def stop(self) -> None:
        """Leaves gracefully: refuses new work, drains requests in progress, then stops."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.leaving = True
        self.node.wake_all()
        self._log.write(Event.DAEMON_LEAVING, in_progress=self.requests.count)
        # A key that an entry issued just now is valid at this instance only.
        await asyncio.sleep(NEW_KEYS_GRACE_SECONDS)
        self.idempotent_calls.refuse_new_calls()
        await asyncio.sleep(LEAVING_NOTICE_SECONDS - NEW_KEYS_GRACE_SECONDS)
        late = loop.time() - began - LEAVING_NOTICE_SECONDS
        # Entries cancel attempts on new connections, so that it listens until the last has ended.
        await self.requests.wait_until_idle(self._settings.drain_seconds)
        self._server.stop_listening()
        # Requests for chunks and metrics are not counted, and may wait for much longer.
        await end_internal_connections([self._server])
        counts, closes = self._server.counts, self._server.count_closes()
        counts.write(self._log, self._server.port, late, closes)
        await self.tasks.cancel_all()
        await self.node.stop()
        self._log.write(Event.DAEMON_STOPPED, in_progress=self.requests.count)

    def status(self) -> Status:
        """Returns this daemon's current status."""
        self._sequence += 1
        current = self.follower.current
        fleet = current.fleet if current else None
        endpoint = fleet.endpoints.get(self._settings.name) if fleet else None
        status = Status(
            name=self._settings.name,
            role=InstanceRole.SIDECAR,
            incarnation=self._incarnation,
            sequence=self._sequence,
            region=self._settings.region,
            data_centre=self._settings.data_centre,
            host=self._settings.listen.host,
            http_port=self._server.port if self._server else 0,
            peer_port=self.node.peer_port,
            revision=self.follower.revision,
            config_digest=current.digest if current else "",
            model=endpoint.model if endpoint else "",
            service=endpoint.service if endpoint else "",
            wanted_version=wanted_version(fleet, endpoint),
            leaving=self.leaving,
            uptime=self.idempotent_calls.uptime,
            load=self._load,
            suspects=self.deaths.suspects(asyncio.get_running_loop().time()),
            refused_revision=self.follower.refused_revision,
            refused_reason=self.follower.refused_reason,
            alarm=self.follower.tracker.alarm,
            reads_service=self.node.reads_service,
        )
        return self.weights.complete_status(status) if self.weights else status

    def log_work_while_leaving(self) -> None:
        """Logs work that arrived while leaving, so that operators see how long entries send it."""
        self._log.write(Event.WORK_WHILE_LEAVING)

    async def cancel(self, attempt_id: str) -> None:
        """Cancels an abandoned attempt, which frees its slot at the engine."""
        self.attempts.cancel(attempt_id)
        if self.engine is None:
            return
        try:
            await self.engine.cancel(attempt_id)
        except CodedError as error:
            self._log.write(Event.TASK_FAILED, task="cancel", reason=str(error))

    async def _query_peers(self) -> int:
        # Without peer streams, the service is the only source to query.
        return 0 if self._settings.control == "service" else await self.node.verify()

    async def _read_load(self) -> None:
        while True:
            try:
                self._load = await self.engine.load()
            except CodedError:
                # A dead engine refuses within a millisecond and so looks idle. With no slots
                # reported, entries do not select it; otherwise callers' requests would fail there.
                self._load = Load(slots=0)
            await asyncio.sleep(LOAD_READ_SECONDS)

    def _report_failure(self, name: str, error: BaseException) -> None:
        self._log.write(Event.TASK_FAILED, task=name, reason=repr(error))


def make_refusal(code: str) -> bytes:
    """Returns the response to a request that is not served, of which a part was received."""
    fields = {
        headers.OUTCOME: Outcome.NOT_RUN.value,
        headers.ERROR_CODE: code,
        "Retry-After": "1",
    }
    return make_response(503, "Service Unavailable", httputil.HTTPHeaders(fields), b"")


def wanted_version(fleet: Fleet | None, endpoint: EndpointSpec | None) -> str:
    """Returns the version that the configuration wants at an endpoint, or empty."""
    model = fleet.models.get(endpoint.model) if fleet and endpoint else None
    return model.version if model else ""


def make_sidecar(settings: Settings, log: EventLog) -> Sidecar:
    """Returns a sidecar that has not started."""
    return Sidecar(settings, log)
