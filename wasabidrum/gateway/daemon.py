"""The entry daemon for platforms that publish routes."""

import asyncio
import random

from tornado import httputil, netutil, web

from ..config.deployment import Address, Deployment
from ..core.background_tasks import BackgroundTasks
from ..core.boot_clock import boot_seconds
from ..core.incarnation import make_incarnation
from ..core.published import CallerLimits
from ..core.requests_in_progress import RequestsInProgress
from ..decisions.buffer_budget import make_buffer_budget
from ..decisions.crashing_parts import CrashingParts
from ..decisions.poison import PoisonGuard
from ..decisions.stated_limits import StatedLimits
from ..decisions.workspace_shares import WorkspaceShares
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..observe.routes import make_routes
from ..platform import names
from ..platform.store_client import make_store_client
from ..weights.chunk_member import CHUNK_PORT_OFFSET
from ..weights.weights_relay import make_weights_relay
from ..wire import http_client
from ..wire.ending_server import (
    IDLE_RESPONSE,
    INTERNAL_SECONDS,
    MAX_UNUSED_BODY_BYTES,
    EndingServer,
    end_internal_connections,
)
from ..wire.parsing_turns import METRICS_LINES
from ..wire.process_limits import find_process_limits
from ..wire.request_room import RequestRoom
from ..wire.room_metrics import add_room_metrics
from .attempts_in_progress import AttemptsInProgress
from .cold_endpoint_rule import ColdEndpointRule
from .entry_peers import EntryPeers
from .evacuation_rule import EvacuationRule
from .exchange import CallerExchange
from .home_region_rule import HomeRegionRule
from .load_watcher import LoadWatcher
from .paced_server import PacedServer
from .part_guard import PartGuard
from .placement import Placer
from .placing_rules import PlacingRules
from .published_state import MAX_REPORTED_SECONDS, PublishedState
from .reader_following import ReaderFollower
from .store_follower import StoreFollower
from .usage_exchange import UsageExchange
from .workspace_usage import WorkspaceUsage

# The load balancer polls readiness once a second and removes an entry after two failed polls.
# Until then it still sends new callers, and they are served. Afterwards requests arrive only on
# connections that callers keep open.
LOAD_BALANCER_DELAY_SECONDS = 2.5
# Reserved at the end of the grace period for cancelling the requests that are still in progress,
# before the platform kills the process.
SHUTDOWN_MARGIN_SECONDS = 0.7
# Callers stop reusing a connection some time before the idle limit that the operator publishes,
# because a connection closed exactly at the limit could cross with a new request. A longer limit
# that is published is kept.
IDLE_TIMEOUT_SECONDS = 30.0
METRICS_PORT_OFFSET = 2
# What is read of a head or a body, as a multiple of its limit, before its connection is closed
# instead of the request being refused.
READ_HEAD_FACTOR = 2
READ_BODY_FACTOR = 4
# The part of the accepted connections that each port may have.
CALLERS_SHARE = 0.68
CHUNKS_SHARE = 0.12
READINESS_SHARE = 0.04
METRICS_SHARE = 0.04


class CallerServerDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates a CallerExchange for each incoming request."""

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """See HTTPServerConnectionDelegate."""
        request_conn.params.max_header_size = self._gateway.read_head_bytes
        return CallerExchange(self._gateway, request_conn)


class ReadyHandler(web.RequestHandler):
    """Readiness check for the platform's load balancer."""

    def initialize(self, gateway: "Gateway") -> None:
        """Receives the gateway from the route's arguments."""
        self._gateway = gateway

    def get(self) -> None:
        """Answers 200 when callers may be sent here, otherwise 503."""
        self.set_status(200 if self._gateway.ready else 503)


class Gateway:
    """Owns the entry's servers and background tasks.

    Attributes:
      shutting_down: Shutdown has begun; the readiness check fails.
      accepts_requests: False once the load balancer has had time to react to the shutdown; later
        requests are refused.
    """

    def __init__(self, deployment: Deployment, log: EventLog) -> None:
        self._deployment = deployment
        limits = find_process_limits(deployment.memory_mb, deployment.descriptors)
        self._process_limits = limits
        self._request_room = RequestRoom(limits.unfinished_bytes, limits.whole_bytes)
        self._servers: list[EndingServer] = []
        self._caller_server: PacedServer | None = None
        self.log = log
        self.shutting_down = False
        self.accepts_requests = True
        self.requests = RequestsInProgress()
        self.tasks = BackgroundTasks(self._log_task_failure)
        self.buffers = make_buffer_budget(deployment.memory_mb)
        client = http_client.make_client()
        self.state = PublishedState(deployment.bounds, log, deployment.region_of)
        store = make_store_client(client, deployment.store)
        self.poison_guard = PoisonGuard()
        self._limits = StatedLimits(random.Random())
        parts = CrashingParts()
        self.peers = EntryPeers(
            deployment, self.state, self.poison_guard, parts, self.tasks, log, self._limits
        )
        self.part_guard = PartGuard(parts, self.peers, log)
        readers = ReaderFollower(self.peers, self.state, deployment.bounds, log)
        self._follower = StoreFollower(store, self.state, readers, self.peers.answer_followers, log)
        self.cold_rule = ColdEndpointRule(
            self.state,
            self.peers.entries,
            deployment.bounds,
            log,
            deployment.region_of,
            self.state.evacuations.ended_at,
        )
        rules = PlacingRules(
            (
                HomeRegionRule(self.state, deployment.region_of),
                EvacuationRule(self.state.evacuations),
                self.cold_rule,
            )
        )
        self.state.on_endpoint = self.cold_rule.record_listing
        self.placer = Placer(
            self.state,
            log,
            deployment.data_centre,
            deployment.bounds,
            self.peers,
            self._limits,
            deployment.first_start and not self.peers.has_seeds,
            rules,
            self.cold_rule,
        )
        shares = WorkspaceShares(deployment.host, random.getrandbits(32))
        self.usage = WorkspaceUsage(deployment, self.state, shares, log)
        self._usage_exchange = UsageExchange(
            deployment, shares, self.peers.data_centres, lambda: self.usage.is_active, log
        )
        self.attempts = AttemptsInProgress(self.state, self.placer, deployment.bounds.drain, log)
        self._load_watcher = LoadWatcher(
            deployment,
            self.state,
            log,
            make_incarnation(),
            self.placer.record_status,
            self.placer.record_load,
        )
        self._relay = make_weights_relay(
            deployment,
            client,
            self.state,
            self.peers.data_centres,
            self.peers.link_rates,
            lambda: self.requests.count,
            log,
        )
        self._load_watcher.find_held_version = lambda: self._relay.held_version
        self._load_watcher.find_parts = self.part_guard.parts_to_remember
        self._load_watcher.on_parts = self.part_guard.learn
        self.peers.find_demands = self.placer.tell_demands
        self._was_ready = False
        self._lacked_memory = False
        self._add_gauges()

    @property
    def body_limit(self) -> int:
        """The largest request body accepted, in bytes."""
        return self._caller_limits.body_bytes

    @property
    def read_head_bytes(self) -> int:
        """How much is read of a request's head at most."""
        usual = CallerLimits().header_bytes
        return READ_HEAD_FACTOR * max(usual, self._caller_limits.header_bytes)

    @property
    def read_body_bytes(self) -> int:
        """How much is read of a request's body at most."""
        usual = CallerLimits().body_bytes
        return READ_BODY_FACTOR * max(usual, self._caller_limits.body_bytes)

    @property
    def ready(self) -> bool:
        """Whether new callers may be sent here; logs each change."""
        lease = self.state.lease
        ready = (
            not self.shutting_down
            and self.state.routes is not None
            and lease.is_ready(boot_seconds())
        )
        if ready != self._was_ready:
            self._was_ready = ready
            age = lease.age(boot_seconds())
            self.log.write(
                Event.READINESS_CHANGED,
                ready=ready,
                evidence_age=round(min(age, MAX_REPORTED_SECONDS), 3),
            )
        return ready

    @property
    def lacks_memory(self) -> bool:
        """Whether new requests are refused for lack of memory; logs each change."""
        lacks = self.buffers.refusing
        if lacks != self._lacked_memory:
            self._lacked_memory = lacks
            used, limit = self.buffers.used, self.buffers.limit
            self.log.write(Event.MEMORY_SHORT, refusing=lacks, used=used, limit=limit)
        return lacks

    @property
    def _caller_limits(self) -> CallerLimits:
        routes = self.state.routes
        return routes.configuration.limits if routes else CallerLimits()

    async def start(self) -> None:
        """Opens the listening ports and starts the background tasks."""
        deployment = self._deployment
        server = self._caller_server = PacedServer(
            CallerServerDelegate(self),
            max_header_size=self.read_head_bytes,
            max_body_size=self.read_body_bytes,
            idle_connection_timeout=IDLE_TIMEOUT_SECONDS,
            body_timeout=IDLE_TIMEOUT_SECONDS,
        )
        self.log.metrics.add_counter(
            "connections_closed",
            "Connections of callers that were closed, by why and by what became of their request.",
            "end",
            server.count_closes,
        )
        server.idle_response = IDLE_RESPONSE
        server.timeouts.find_published = lambda: self._caller_limits.idle_timeout
        server.timeouts.find_head = lambda: self._caller_limits.header_timeout
        self._listen(server, deployment.callers, CALLERS_SHARE)
        arguments = {"gateway": self}
        ready = web.Application(
            [(names.READY_PATH, ReadyHandler, arguments)], log_function=lambda handler: None
        )
        self._listen(
            EndingServer(ready, max_body_size=MAX_UNUSED_BODY_BYTES),
            deployment.readiness,
            READINESS_SHARE,
        )
        metrics = web.Application(make_routes(self.log), log_function=lambda handler: None)
        metrics_port = deployment.first_port + METRICS_PORT_OFFSET
        metrics_server = EndingServer(metrics, max_body_size=MAX_UNUSED_BODY_BYTES)
        metrics_server.head_lines = METRICS_LINES
        self._listen(
            metrics_server,
            Address(deployment.host, metrics_port),
            METRICS_SHARE,
        )
        relay = web.Application(self._relay.routes, log_function=lambda handler: None)
        relay_port = deployment.first_port + CHUNK_PORT_OFFSET
        self._listen(
            EndingServer(relay, max_body_size=MAX_UNUSED_BODY_BYTES),
            Address(deployment.host, relay_port),
            CHUNKS_SHARE,
        )
        await self.peers.start()
        self.tasks.keep_running("store", self._follower.run)
        self.tasks.keep_running("ticks", self._follower.run_ticks)
        self.tasks.keep_running("loads", self._load_watcher.run)
        self.tasks.keep_running("weights", self._relay.run)
        if deployment.shares_room:
            self.tasks.keep_running("usage", self._usage_exchange.run)
        self.tasks.keep_running("attempts", self.attempts.run)
        self.log.write(Event.DAEMON_STARTED, role="entry", caller_port=deployment.callers.port)

    def reload(self, deployment: Deployment) -> list[str]:
        """Applies new settings; only the seed addresses may change at run time."""
        if deployment.seeds == self._deployment.seeds:
            return []
        self._deployment = deployment
        self.peers.set_seeds(deployment.seeds)
        return ["seeds"]

    async def stop(self) -> None:
        """Shuts down gracefully: refuses new requests, lets those in progress end, then stops."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.shutting_down = True
        self.log.write(Event.DAEMON_LEAVING, in_progress=self.requests.count)
        await asyncio.sleep(LOAD_BALANCER_DELAY_SECONDS)
        # Requests that arrive from here on might not end before the process does. Refused at
        # once, their callers lose a moment rather than half an answer.
        self.accepts_requests = False
        spent = loop.time() - began
        for server in self._servers:
            server.stop_listening()
        left = self._deployment.bounds.grace - SHUTDOWN_MARGIN_SECONDS - spent
        internal = [server for server in self._servers if server is not self._caller_server]
        await asyncio.gather(
            self._caller_server.end_connections(self.requests, left),
            end_internal_connections(internal, min(left, INTERNAL_SECONDS)),
        )
        for server in self._servers:
            late = spent - LOAD_BALANCER_DELAY_SECONDS
            server.counts.write(self.log, server.port, late, server.count_closes())
        await self.tasks.cancel_all()
        await self.peers.stop()
        self.log.write(Event.DAEMON_STOPPED, in_progress=self.requests.count)

    def _add_gauges(self) -> None:
        add = self.log.metrics.add_gauge
        add("revision", "The configuration version in force here.", lambda: self.state.version)
        add(
            "store_epoch",
            "How often the store was restored, as it states; higher is later.",
            lambda: self.state.epoch,
        )
        add(
            "evidence_age_seconds",
            "Since the configuration was last known to be the newest.",
            lambda: min(self.state.lease.age(boot_seconds()), MAX_REPORTED_SECONDS),
        )
        add(
            "requests_in_progress",
            "Requests of callers begun and not ended.",
            lambda: self.requests.count,
        )
        add(
            "buffered_bytes",
            "Buffered for callers and from endpoints, with an allowance for each request.",
            lambda: self.buffers.used,
        )
        add_room_metrics(self.log.metrics, self._request_room)
        add(
            "buffered_bytes_limit",
            "The most that may be buffered.",
            lambda: self.buffers.limit,
        )
        add(
            "endpoints_known",
            "Endpoints registered, those leaving included.",
            lambda: len(self.state.endpoints.endpoints),
        )
        add(
            "endpoints_limited",
            "Endpoints that take only so many requests a second, as they state.",
            lambda: self._limits.count,
        )
        add(
            "endpoints_leaving",
            "Endpoints registered that leave, as they are listed or have said themselves.",
            lambda: self.state.endpoints.count_leaving(),
        )
        add(
            "endpoints_resting",
            "Endpoints that want no requests from this entry for now, as they state.",
            lambda: self.placer.resting_count,
        )
        add(
            "urgent_requests_refused_share",
            "The largest share of the most urgent requests of a service that was refused lately.",
            lambda: self.placer.orders.urgent_refused_share,
        )
        add(
            "data_centres_evacuated",
            "Data centres to whose endpoints nothing is sent, at the operator's request.",
            lambda: self.state.evacuations.count,
        )
        add(
            "requests_at_evacuated",
            "Requests of this entry in progress at endpoints in evacuated data centres.",
            self.attempts.count_evacuated,
        )
        add(
            "endpoints_cold",
            "Endpoints that get only a limited rate of requests, as they have just started.",
            lambda: self.cold_rule.count,
        )
        add(
            "engines_assigned",
            "Endpoints of this data centre that this entry sends to before others do.",
            lambda: self.placer.assigned_count,
        )
        add(
            "demand_told",
            "Requests per second for engines that this entry tells the others callers bring it.",
            lambda: self.peers.own_demand,
        )
        add(
            "parts_blocked",
            "Parts of prompts whose requests are refused because they crash endpoints.",
            lambda: self.part_guard.blocked_count,
        )
        add(
            "workspaces_over_share",
            "Workspaces that use more than their share of the engines by half.",
            lambda: self.usage.over_count,
        )
        add(
            "entries_reporting_use",
            "Other entries whose reports of the use by workspaces count.",
            lambda: self.usage.heard_count,
        )
        add("entries_known", "Entries, this one included.", lambda: self.peers.count)
        add(
            "weights_held",
            "The version of which this daemon holds its part; zero while there is none.",
            lambda: self._relay.held_version,
        )
        add("leaving", "One while this daemon takes no new work.", lambda: self.shutting_down)

    def _listen(self, server: EndingServer, address: Address, share: float) -> None:
        server.log = self.log
        server.room = self._request_room
        server.max_connections = self._process_limits.share_of_connections(share)
        server.add_sockets(netutil.bind_sockets(address.port, address.host))
        self._servers.append(server)

    def _log_task_failure(self, name: str, error: BaseException) -> None:
        self.log.write(Event.TASK_FAILED, task=name, reason=repr(error)[:500])


def make_gateway(deployment: Deployment, log: EventLog) -> Gateway:
    """Returns an entry daemon that has not been started."""
    return Gateway(deployment, log)
