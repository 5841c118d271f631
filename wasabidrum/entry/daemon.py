"""The entry daemon: accepts callers' requests and routes them to endpoints."""

import asyncio

import msgspec
from tornado import netutil, web

from ..config.settings import Settings
from ..core.background_tasks import BackgroundTasks
from ..core.incarnation import make_incarnation
from ..core.instance import InstanceRole
from ..core.requests_in_progress import RequestsInProgress
from ..core.status import Status
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..observe.routes import make_routes
from ..peers.configuration_follower import ConfigurationFollower
from ..peers.control_handler import ControlHandler
from ..peers.entry_counter import EntryCounter
from ..peers.peer_node import PeerNode
from ..platform.http_configuration_service import make_configuration_service
from ..platform.http_instance_directory import make_instance_directory
from ..wire import http_client, tls
from ..wire.ending_server import EndingServer, end_internal_connections
from ..wire.process_limits import find_process_limits
from ..wire.request_room import RequestRoom
from ..wire.room_metrics import add_room_metrics
from .caller_routes import make_caller_server
from .endpoint_table import EndpointTable
from .endpoint_watcher import EndpointWatcher
from .model_call import ModelCaller
from .request_scheduler import RequestScheduler
from .service_call import ServiceCaller

# How long a stopping entry still accepts connections and refuses requests with a proper error.
# Until a load balancer notices, it keeps sending requests here; closing the port at once would
# reset those connections and tell the callers nothing.
LEAVING_NOTICE_SECONDS = 1.0
# The part of the accepted connections that each port may have.
CALLERS_SHARE = 0.7
HTTP_SHARE = 0.12


class StatusHandler(web.RequestHandler):
    """Serves GET /internal/status."""

    def initialize(self, entry: "Entry") -> None:
        """Receives the entry from the route's arguments."""
        self.entry = entry

    def get(self) -> None:
        """Responds with this daemon's current status."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self.entry.status()))


class Entry:
    """Wires up the parts of the entry daemon, starts them and shuts them down."""

    def __init__(self, settings: Settings, log: EventLog) -> None:
        self._settings = settings
        limits = find_process_limits(settings.memory_mb, settings.descriptors)
        self._process_limits = limits
        self._request_room = RequestRoom(limits.unfinished_bytes, limits.whole_bytes)
        self._incarnation = make_incarnation()
        self._sequence = 0
        self.requests = RequestsInProgress()
        self._http_port = 0
        self._servers: list[EndingServer] = []
        self._caller_server: EndingServer | None = None
        self.log = log
        self.leaving = False
        self.tasks = BackgroundTasks(self._report_failure)
        client = http_client.make_client()
        service = make_configuration_service(client, settings.platform.configuration)
        directory = make_instance_directory(client, settings.platform.instances)
        self.follower = ConfigurationFollower(service, settings.site, log)
        self.table = EndpointTable(client, directory)
        self.node = PeerNode(
            settings, directory, self.follower, self.status, log, self._report_failure
        )
        entries = EntryCounter(self.node.table, settings.name)
        scheduler = RequestScheduler(
            self.table,
            log,
            self.follower,
            settings.region,
            settings.data_centre,
            count_entries=entries.count,
        )
        self._add_gauges(scheduler)
        self.node.on_pause.append(lambda seconds: scheduler.record_pause())
        self.models = ModelCaller(client, scheduler, self.table, log)
        self.services = ServiceCaller(client, scheduler, self.table, log)

    async def start(self) -> None:
        """Starts the servers and the background tasks."""
        handler_args = {"entry": self}
        internal = web.Application(
            [
                (r"/internal/status", StatusHandler, handler_args),
                (r"/internal/control", ControlHandler, {"node": self.node}),
                *make_routes(self.log),
            ],
            log_function=lambda handler: None,
        )
        listen = self._settings.listen
        self._caller_server = make_caller_server(self)
        self._listen(self._caller_server, listen.caller_port, CALLERS_SHARE)
        server = EndingServer(internal, ssl_options=tls.server_context())
        self._listen(server, listen.http_port, HTTP_SHARE)
        self._http_port = server.port
        if self._settings.control == "service":
            self.tasks.keep_running("configuration", self.follower.run)
            self.tasks.keep_running("endpoints", self.table.run)
        else:
            await self.node.start()
            watcher = EndpointWatcher(
                self._settings, self.node, self.table, self.follower, self.log
            )
            self.tasks.keep_running("endpoints", watcher.run)
        self.log.write(
            Event.DAEMON_STARTED,
            role="entry",
            caller_port=self._caller_server.port,
            port=self._http_port,
            peer_port=self.node.peer_port,
            incarnation=self._incarnation,
        )

    def _add_gauges(self, scheduler: RequestScheduler) -> None:
        add = self.log.metrics.add_gauge
        add("revision", "The configuration revision in force here.", lambda: self.follower.revision)
        add(
            "requests_in_progress",
            "Requests of callers begun and not ended.",
            lambda: self.requests.count,
        )
        add_room_metrics(self.log.metrics, self._request_room)
        add("requests_waiting", "Requests that wait for their turn.", lambda: scheduler.waiting)
        add("endpoints_resting", "Endpoints that want no requests.", lambda: scheduler.resting)
        self.log.metrics.add_counter(
            "connections_closed",
            "Connections of callers that were closed, by why and by what became of their request.",
            "end",
            lambda: self._caller_server.count_closes(),
        )
        add("endpoints_known", "Endpoints in this entry's table.", lambda: len(self.table.views))
        add("leaving", "One while this daemon takes no new work.", lambda: self.leaving)

    async def stop(self) -> None:
        """Shuts down gracefully: refuses new requests, drains those in progress, then stops."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.leaving = True
        self.node.wake_all()
        self.log.write(Event.DAEMON_LEAVING, in_progress=self.requests.count)
        await asyncio.sleep(LEAVING_NOTICE_SECONDS)
        late = loop.time() - began - LEAVING_NOTICE_SECONDS
        for server in self._servers:
            server.stop_listening()
        internal = [server for server in self._servers if server is not self._caller_server]
        await asyncio.gather(
            self._caller_server.end_connections(self.requests, self._settings.drain_seconds),
            end_internal_connections(internal),
        )
        for server in self._servers:
            server.counts.write(self.log, server.port, late, server.count_closes())
        await self.tasks.cancel_all()
        await self.node.stop()
        self.log.write(Event.DAEMON_STOPPED, in_progress=self.requests.count)

    def status(self) -> Status:
        """Returns this daemon's current status, with the next sequence number."""
        self._sequence += 1
        current = self.follower.current
        return Status(
            name=self._settings.name,
            role=InstanceRole.ENTRY,
            incarnation=self._incarnation,
            sequence=self._sequence,
            region=self._settings.region,
            data_centre=self._settings.data_centre,
            host=self._settings.listen.host,
            http_port=self._http_port,
            peer_port=self.node.peer_port,
            revision=self.follower.revision,
            config_digest=current.digest if current else "",
            leaving=self.leaving,
            refused_revision=self.follower.refused_revision,
            refused_reason=self.follower.refused_reason,
            alarm=self.follower.tracker.alarm,
            reads_service=self.node.reads_service,
        )

    def _listen(self, server: EndingServer, port: int, share: float) -> None:
        server.log = self.log
        server.room = self._request_room
        server.max_connections = self._process_limits.share_of_connections(share)
        server.add_sockets(netutil.bind_sockets(port, self._settings.listen.host))
        self._servers.append(server)

    def _report_failure(self, name: str, error: BaseException) -> None:
        self.log.write(Event.TASK_FAILED, task=name, reason=repr(error))


def make_entry(settings: Settings, log: EventLog) -> Entry:
    """Returns an entry that has not been started."""
    return Entry(settings, log)
