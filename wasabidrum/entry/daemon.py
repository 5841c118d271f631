"""The entry daemon: takes callers' requests and routes them to endpoints."""

import msgspec
from tornado import httpserver, netutil, web

from ..config.settings import Settings
from ..core.background_tasks import BackgroundTasks
from ..core.fleet import LimitSpec
from ..core.incarnation import make_incarnation
from ..core.instance import InstanceRole
from ..core.requests_in_progress import RequestsInProgress
from ..core.status import Status
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.configuration_follower import ConfigurationFollower
from ..peers.peer_node import PeerNode
from ..platform.http_configuration_service import make_configuration_service
from ..platform.http_instance_directory import make_instance_directory
from ..wire import http_client
from . import caller_handlers
from .endpoint_table import EndpointTable
from .endpoint_watcher import EndpointWatcher
from .key_handler import KeyHandler
from .model_call import ModelCaller
from .service_call import ServiceCaller
from .traffic import Traffic

BODY_TIMEOUT_SECONDS = 20.0
IDLE_CONNECTION_SECONDS = 120.0


class StatusHandler(web.RequestHandler):
    """GET /internal/status."""

    def initialize(self, entry: "Entry") -> None:
        """Takes the entry from the route."""
        self.entry = entry

    def get(self) -> None:
        """Answers with this daemon's own account of itself."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self.entry.status()))


class Entry:
    """Owns the entry's tasks and serves callers."""

    def __init__(self, settings: Settings, log: EventLog) -> None:
        self._settings = settings
        self._incarnation = make_incarnation()
        self._sequence = 0
        self.requests = RequestsInProgress()
        self._http_port = 0
        self.log = log
        self.leaving = False
        self.tasks = BackgroundTasks(self._report_failure)
        client = http_client.make_client()
        service = make_configuration_service(client, settings.platform.configuration)
        directory = make_instance_directory(client, settings.platform.instances)
        self.follower = ConfigurationFollower(service, settings.site, log)
        self.table = EndpointTable(client, directory)
        traffic = Traffic(self.table, log, self.follower, settings.region, settings.data_centre)
        self.node = PeerNode(
            settings, directory, self.follower, self.status, log, self._report_failure
        )
        self.models = ModelCaller(client, traffic)
        self.services = ServiceCaller(client, traffic, self.table, log)

    async def start(self) -> None:
        """Listens and starts the background tasks."""
        given = {"entry": self}
        callers = web.Application(
            [
                (r"/v1/completions", caller_handlers.ModelHandler, given),
                (r"/v1/chat/completions", caller_handlers.ChatHandler, given),
                (r"/v1/idempotency-keys", KeyHandler, given),
                (r"/services/([^/]+)(/.*)", caller_handlers.ServiceHandler, given),
            ],
            log_function=lambda handler: None,
        )
        internal = web.Application(
            [(r"/internal/status", StatusHandler, given)], log_function=lambda handler: None
        )
        listen = self._settings.listen
        caller_port = self._listen(callers, listen.caller_port)
        self._http_port = self._listen(internal, listen.http_port)
        if self._settings.control == "service":
            self.tasks.start("configuration", self.follower.run())
            self.tasks.start("endpoints", self.table.run())
        else:
            await self.node.start()
            watcher = EndpointWatcher(
                self._settings, self.node, self.table, self.follower, self.log
            )
            self.tasks.start("endpoints", watcher.run())
        self.log.write(
            Event.DAEMON_STARTED,
            role="entry",
            caller_port=caller_port,
            port=self._http_port,
            peer_port=self.node.peer_port,
            incarnation=self._incarnation,
        )

    async def stop(self) -> None:
        """Leaves gracefully: refuses new requests, ends those in progress, then stops."""
        self.leaving = True
        self.node.wake_all()
        self.log.write(Event.DAEMON_LEAVING, in_progress=self.requests.count)
        await self.requests.wait_until_idle(self._settings.drain_seconds)
        await self.tasks.cancel_all()
        await self.node.stop()
        self.log.write(Event.DAEMON_STOPPED, in_progress=self.requests.count)

    def status(self) -> Status:
        """Returns this daemon's own account of itself."""
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
            alarm=self.follower.book.alarm,
            reads_service=self.node.reads_service,
        )

    def _listen(self, application: web.Application, port: int) -> int:
        sockets = netutil.bind_sockets(port, self._settings.listen.host)
        server = httpserver.HTTPServer(
            application,
            max_body_size=LimitSpec().body_bytes,
            body_timeout=BODY_TIMEOUT_SECONDS,
            idle_connection_timeout=IDLE_CONNECTION_SECONDS,
        )
        server.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    def _report_failure(self, name: str, error: BaseException) -> None:
        self.log.write(Event.TASK_FAILED, task=name, reason=repr(error))


def make_entry(settings: Settings, log: EventLog) -> Entry:
    """Returns an entry that has not started."""
    return Entry(settings, log)
