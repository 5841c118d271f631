"""The sidecar where the platform publishes endpoints: brings its engine weights, tells its load."""

from tornado import httpserver, netutil, web

from ..config.deployment import Address, Deployment
from ..config.settings import PlatformSettings, Settings
from ..core.background_tasks import BackgroundTasks
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..observe.routes import make_routes
from ..platform.engine_client import make_engine_client
from ..platform.origin_client import make_origin_client
from ..platform.store_client import make_store_client
from ..weights.chunk_handler import ChunkHandler
from ..weights.distributor import Distributor
from ..weights.engine_keeper import EngineKeeper
from ..weights.listed_engines import CHUNK_PORT_OFFSET, ListedEngines
from ..weights.origin_draw import OriginDraw
from ..wire import http_client

METRICS_PORT_OFFSET = 2
# Two versions of some megabytes, the one in force and the one on its way, with room for growth.
CHUNK_MEMORY_BYTES = 16 * 1_048_576


class DeployedSidecar:
    """Owns the tasks beside one engine."""

    def __init__(self, deployment: Deployment, log: EventLog) -> None:
        self._deployment = deployment
        self._log = log
        self._servers: list[httpserver.HTTPServer] = []
        self._tasks = BackgroundTasks(self._report_failure)
        client = http_client.make_client()
        store = make_store_client(client, deployment.store)
        origin = make_origin_client(client)
        self._listed = ListedEngines(deployment, store, log)
        self._distributor = Distributor(
            distribution_settings(deployment),
            self._listed,
            client,
            OriginDraw([origin]),
            lambda: 0,
            log,
        )
        engine = make_engine_client(client, deployment.endpoint)
        self._keeper = EngineKeeper(engine, origin, self._distributor, self._listed, log)

    async def start(self) -> None:
        """Listens and starts the background tasks."""
        host, first = self._deployment.host, self._deployment.first_port
        given = {"distributor": self._distributor}
        self._listen([(r"/internal/chunks/([0-9a-f]+)", ChunkHandler, given)], CHUNK_PORT_OFFSET)
        self._listen(make_routes(self._log), METRICS_PORT_OFFSET)
        self._tasks.start("engine", self._keeper.watch())
        self._tasks.start("listed", self._listed.run())
        self._tasks.start("members", self._listed.keep_members(self._lacks_weights))
        self._tasks.start("versions", self._keeper.run())
        self._log.write(
            Event.DAEMON_STARTED, role="sidecar", port=first + CHUNK_PORT_OFFSET, host=host
        )

    async def stop(self) -> None:
        """Ends the tasks; the engine beside goes on with what it has."""
        self._log.write(Event.DAEMON_LEAVING)
        for server in self._servers:
            server.stop()
        await self._tasks.cancel_all()
        self._log.write(Event.DAEMON_STOPPED)

    def _lacks_weights(self) -> bool:
        report = self._keeper.report
        return report is not None and (not report.weights or report.weights < self._listed.wanted)

    def _listen(self, routes: list[tuple], offset: int) -> None:
        application = web.Application(routes, log_function=lambda handler: None)
        server = httpserver.HTTPServer(application)
        address = Address(self._deployment.host, self._deployment.first_port + offset)
        server.add_sockets(netutil.bind_sockets(address.port, address.host))
        self._servers.append(server)

    def _report_failure(self, name: str, error: BaseException) -> None:
        self._log.write(Event.TASK_FAILED, task=name, reason=repr(error)[:500])


def distribution_settings(deployment: Deployment) -> Settings:
    """Returns what the distribution of weights needs to know of this process.

    Members are named by their host: it is what the platform lists of each, the same to all.
    """
    unused = PlatformSettings(configuration="", instances="", origin="")
    return Settings(
        name=deployment.host,
        role="sidecar",
        site=deployment.data_centre,
        region=deployment.region,
        data_centre=deployment.data_centre,
        platform=unused,
        link_mbit=deployment.link_mbit,
        chunk_memory_bytes=CHUNK_MEMORY_BYTES,
    )


def make_deployed_sidecar(deployment: Deployment, log: EventLog) -> DeployedSidecar:
    """Returns a sidecar that has not started."""
    return DeployedSidecar(deployment, log)
