"""The entry daemon where the platform publishes routes."""

import asyncio

from tornado import httpserver, httputil, netutil, web

from ..config.deployment import Address, Deployment
from ..core.awake_clock import awake_seconds
from ..core.background_tasks import BackgroundTasks
from ..core.incarnation import make_incarnation
from ..core.published import CallerLimits
from ..core.requests_in_progress import RequestsInProgress
from ..decisions.poison import PoisonGuard
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..observe.routes import make_routes
from ..platform import names
from ..platform.store_client import make_store_client
from ..weights.chunk_member import CHUNK_PORT_OFFSET
from ..weights.weights_relay import make_weights_relay
from ..wire import http_client
from .attempts_in_progress import AttemptsInProgress
from .entry_peers import EntryPeers
from .exchange import CallerExchange
from .load_watcher import LoadWatcher
from .paced_server import PacedServer
from .placement import Placer
from .published_state import MOST_SECONDS_SHOWN, PublishedState
from .store_follower import StoreFollower

# The balancer asks once a second and needs two misses; meanwhile callers still come, and are
# served. After that only those come that keep a connection.
BALANCER_NOTICE_SECONDS = 2.5
# Before the platform kills the process, with room for what runs then to be told of its end.
GRACE_MARGIN_SECONDS = 0.7
# Callers reuse connections for some time less than the limit that the operator publishes; one
# closed at the limit itself could cross a request.
IDLE_SECONDS = 30.0
METRICS_PORT_OFFSET = 2


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Makes an exchange for each request that callers send."""

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """See HTTPServerConnectionDelegate."""
        return CallerExchange(self._gateway, request_conn)


class ReadyHandler(web.RequestHandler):
    """Tells the platform's balancer whether callers may come."""

    def initialize(self, gateway: "Gateway") -> None:
        """Takes the gateway from the route."""
        self._gateway = gateway

    def get(self) -> None:
        """Answers 200 where they may."""
        self.set_status(200 if self._gateway.ready else 503)


class Gateway:
    """Owns the entry's tasks and serves callers."""

    def __init__(self, deployment: Deployment, log: EventLog) -> None:
        self._deployment = deployment
        self._servers: list[httpserver.HTTPServer] = []
        self.log = log
        self.leaving = False
        self.takes_requests = True
        self.requests = RequestsInProgress()
        self.tasks = BackgroundTasks(self._report_failure)
        client = http_client.make_client()
        self.state = PublishedState(deployment.bounds, log)
        store = make_store_client(client, deployment.store)
        self._follower = StoreFollower(store, self.state, log)
        self.guard = PoisonGuard()
        self.peers = EntryPeers(deployment, self.state, self.guard, self.tasks, log)
        self.placer = Placer(self.state, log, deployment.data_centre, deployment.bounds, self.peers)
        self.attempts = AttemptsInProgress(self.state, self.placer, deployment.bounds.drain)
        self._watcher = LoadWatcher(
            deployment, self.state, log, make_incarnation(), self.placer.take_status
        )
        self._relay = make_weights_relay(
            deployment,
            client,
            self.state,
            self.peers.data_centres,
            lambda: self.requests.count,
            log,
        )
        self._was_ready = False
        self._add_gauges()

    @property
    def body_limit(self) -> int:
        """The most bytes that a caller's body may have."""
        routes = self.state.routes
        limits = routes.configuration.limits if routes else CallerLimits()
        return limits.body_bytes

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        lease = self.state.lease
        ready = (
            not self.leaving and self.state.routes is not None and lease.is_ready(awake_seconds())
        )
        if ready != self._was_ready:
            self._was_ready = ready
            age = lease.age(awake_seconds())
            self.log.write(
                Event.READINESS_CHANGED,
                ready=ready,
                evidence_age=round(min(age, MOST_SECONDS_SHOWN), 3),
            )
        return ready

    async def start(self) -> None:
        """Listens and starts the background tasks."""
        deployment = self._deployment
        limits = CallerLimits()
        server = PacedServer(
            CallerServer(self),
            max_header_size=limits.header_bytes * 2,
            max_body_size=limits.body_bytes * 4,
            idle_connection_timeout=IDLE_SECONDS,
            body_timeout=IDLE_SECONDS,
        )
        self._listen(server, deployment.callers)
        given = {"gateway": self}
        ready = web.Application(
            [(names.READY_PATH, ReadyHandler, given)], log_function=lambda handler: None
        )
        self._listen(httpserver.HTTPServer(ready), deployment.readiness)
        metrics = web.Application(make_routes(self.log), log_function=lambda handler: None)
        metrics_port = deployment.first_port + METRICS_PORT_OFFSET
        self._listen(httpserver.HTTPServer(metrics), Address(deployment.host, metrics_port))
        relay = web.Application(self._relay.routes, log_function=lambda handler: None)
        relay_port = deployment.first_port + CHUNK_PORT_OFFSET
        self._listen(httpserver.HTTPServer(relay), Address(deployment.host, relay_port))
        await self.peers.start()
        self.tasks.start("store", self._follower.run())
        self.tasks.start("ticks", self._follower.tick())
        self.tasks.start("loads", self._watcher.run())
        self.tasks.start("weights", self._relay.run())
        self.tasks.start("attempts", self.attempts.run())
        self.log.write(Event.DAEMON_STARTED, role="entry", caller_port=deployment.callers.port)

    def reload(self, deployment: Deployment) -> list[str]:
        """Takes new settings; only where others are found may change while running."""
        if deployment.seeds == self._deployment.seeds:
            return []
        self._deployment = deployment
        self.peers.take_seeds(deployment.seeds)
        return ["seeds"]

    async def stop(self) -> None:
        """Leaves gracefully: takes no new callers, ends what is in progress, then stops."""
        began = asyncio.get_running_loop().time()
        self.leaving = True
        self.log.write(Event.DAEMON_LEAVING, in_progress=self.requests.count)
        await asyncio.sleep(BALANCER_NOTICE_SECONDS)
        # Those that still come could not end before the process does; refused now, their
        # callers lose a moment instead of half an answer.
        self.takes_requests = False
        for server in self._servers:
            server.stop()
        spent = asyncio.get_running_loop().time() - began
        left = self._deployment.bounds.grace - GRACE_MARGIN_SECONDS - spent
        await self.requests.wait_until_idle(max(0.0, left))
        await self.tasks.cancel_all()
        await self.peers.stop()
        self.log.write(Event.DAEMON_STOPPED, in_progress=self.requests.count)

    def _add_gauges(self) -> None:
        add = self.log.metrics.add_gauge
        add("revision", "The configuration version in force here.", lambda: self.state.version)
        add(
            "evidence_age_seconds",
            "Since the configuration was last known to be the newest.",
            lambda: min(self.state.lease.age(awake_seconds()), MOST_SECONDS_SHOWN),
        )
        add(
            "requests_in_progress",
            "Requests of callers begun and not ended.",
            lambda: self.requests.count,
        )
        add(
            "endpoints_known",
            "Endpoints registered, those leaving included.",
            lambda: len(self.state.endpoints.endpoints),
        )
        add("entries_known", "Entries, this one included.", lambda: self.peers.count)
        add(
            "weights_held",
            "The version of which this daemon holds its part; zero while there is none.",
            lambda: self._relay.held_version,
        )
        add("leaving", "One while this daemon takes no new work.", lambda: self.leaving)

    def _listen(self, server: httpserver.HTTPServer, address: Address) -> None:
        server.add_sockets(netutil.bind_sockets(address.port, address.host))
        self._servers.append(server)

    def _report_failure(self, name: str, error: BaseException) -> None:
        self.log.write(Event.TASK_FAILED, task=name, reason=repr(error)[:500])


def make_gateway(deployment: Deployment, log: EventLog) -> Gateway:
    """Returns an entry that has not started."""
    return Gateway(deployment, log)
