"""The peer-to-peer node of one daemon: its Watch streams, member table and configuration gossip."""

import asyncio
import collections.abc

from tornado import netutil

from ..config.settings import Settings
from ..core.background_tasks import BackgroundTasks
from ..core.boot_clock import boot_seconds
from ..core.instance import Instance
from ..core.status import Status
from ..decisions.member_record import instance_from_status
from ..decisions.member_table import MemberTable
from ..decisions.member_update import MemberState, MemberUpdate
from ..decisions.pause_detector import PauseDetector
from ..decisions.reader_plan import ReaderPlan
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform.instance_directory import InstanceDirectory
from ..wire import tls
from ..wire.process_limits import find_process_limits
from .bounded_server import BoundedServer
from .claim_fetcher import ClaimFetcher
from .configuration_follower import ConfigurationFollower
from .control_report import ControlReport
from .isolation_detector import IsolationDetector
from .member_list_cache import MemberListCache
from .member_tracker import MemberTracker
from .outbound_links import OutboundLinks
from .peer_client import CODEC
from .peer_link import PeerLink
from .peer_messages import ConfigurationReply, FetchConfiguration, FetchList, ListReply, Push
from .peer_service import PeerService
from .peer_verifier import PeerVerifier
from .reader_assignment import ReaderAssignment
from .service_reader import ServiceReader

TICK_SECONDS = 0.25
GOSSIP_SILENCE_SECONDS = 3.0
# The part of the accepted connections that the peer port may have.
CONNECTIONS_SHARE = 0.18


class PeerNode:
    """Owns the peer port, the links and the member table of one daemon.

    Attributes:
      peer_port: The port on which it listens for peers.
      table: The known members and their states.
      member_list: The platform's instance list.
      on_pause: Callbacks, called with the seconds of each pause of this process that the event
        loop's clock counted.
    """

    def __init__(
        self,
        settings: Settings,
        directory: InstanceDirectory,
        follower: ConfigurationFollower,
        own_status: collections.abc.Callable[[], Status],
        log: EventLog,
        on_failure: collections.abc.Callable[[str, BaseException], None],
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._own_status = own_status
        self._log = log
        self._tasks = BackgroundTasks(on_failure)
        self._pause_detector = PauseDetector(boot_seconds())
        self._handled_pause_seconds = 0.0
        self._inbound: set[PeerLink] = set()
        self._outbound = OutboundLinks(self, True, GOSSIP_SILENCE_SECONDS, self.suspect)
        self._fetcher = ClaimFetcher(follower)
        self._server: BoundedServer | None = None
        self._last_pushed: tuple[object, ...] = ()
        self.peer_port = 0
        self.table = MemberTable(settings.name)
        self._members = MemberTracker(self.table, own_status, log, self.wake_all)
        self._plans = ReaderAssignment(self.table)
        self._isolation = IsolationDetector(self.table, self.verify, self._tasks, log)
        self.member_list = MemberListCache(directory, log, self._apply_list)
        self._observed_at = now = asyncio.get_running_loop().time()
        self._reader = ServiceReader(follower, self.member_list, self._tasks, log, now)
        self._verifier = PeerVerifier(
            self.table, follower, self._fetcher, self._pause_detector, log
        )
        self.on_pause: list[collections.abc.Callable[[float], None]] = []
        follower.on_change = self.wake_all
        follower.on_confirmed = self._record_confirmation

    @property
    def list_as_of(self) -> float:
        """See GossipOwner."""
        return self.member_list.roster.as_of

    @property
    def list_digest(self) -> str:
        """See GossipOwner."""
        return self.member_list.roster.digest

    @property
    def reads_service(self) -> bool:
        """Whether this process reads the platform's configuration service now."""
        return self._reader.reads

    @property
    def plan(self) -> ReaderPlan:
        """The readers and the links between members, computed from the members known here."""
        return self._plans.plan

    @property
    def recently_verified(self) -> bool:
        """Whether a peer or the service confirmed this process's revision since its last pause."""
        return self._pause_detector.recently_verified(boot_seconds())

    def find_listed(self) -> Instance | None:
        """Returns this process's own entry in the instance list, or None if it is not listed."""
        return self.member_list.roster.find(self._settings.name)

    async def start(self) -> None:
        """Listens for peers and starts the background tasks."""
        listen = self._settings.listen
        sockets = netutil.bind_sockets(listen.peer_port, listen.host)
        self.peer_port = sockets[0].getsockname()[1]
        limits = find_process_limits(self._settings.memory_mb, self._settings.descriptors)
        self._server = BoundedServer(
            [PeerService(self)],
            limits.share_of_connections(CONNECTIONS_SHARE),
            limits.message_bytes,
            self._log,
        )
        await self._server.start(sockets[0], tls.server_context())
        self._tasks.keep_running("peers", self._begin)

    async def stop(self) -> None:
        """Cancels the tasks and closes all links."""
        await self._tasks.cancel_all()
        await self._fetcher.stop()
        await self._outbound.close_all()
        if self._server is not None:
            self._server.close()
            for link in list(self._inbound):
                link.end()
            await self._server.wait_closed()

    def status(self) -> Status:
        """See LinkOwner."""
        return self._own_status()

    def updates_after(self, cursor: int, limit: int) -> tuple[int, tuple[MemberUpdate, ...]]:
        """See GossipOwner."""
        return self._members.updates.after(cursor, limit)

    def wake_all(self) -> None:
        """Makes every link push without waiting for its next heartbeat."""
        self._outbound.wake_all()
        for link in self._inbound:
            link.wake()

    def add_inbound(self, link: PeerLink) -> None:
        """See PeerServiceOwner."""
        self._inbound.add(link)

    def remove_inbound(self, link: PeerLink) -> None:
        """See PeerServiceOwner."""
        self._inbound.discard(link)
        # A watcher also closes its link when the plan makes this process no longer its parent;
        # that is no sign of a failure.
        if link.gossip and self._settings.name in self.plan.parents(link.name):
            self.suspect(link.name, False)

    def reply_configuration(self, request: FetchConfiguration) -> ConfigurationReply:
        """See PeerServiceOwner."""
        tracker = self._follower.tracker
        value = self._follower.compressed if request.digest == tracker.digest else b""
        return ConfigurationReply(tracker.revision, tracker.digest, value)

    def reply_list(self, request: FetchList) -> ListReply:
        """See PeerServiceOwner."""
        return self.member_list.roster.make_reply(request)

    def handle_push(self, link: PeerLink, push: Push) -> None:
        """See LinkOwner."""
        now = asyncio.get_running_loop().time()
        self._handle_pause(now)
        status = link.merge_push(push)
        if status is None:
            return
        self._members.record_push(link.name, push, status, now)
        if push.status is not None or push.revision:
            self.handle_claims(status)
        if push.list_digest:
            self.member_list.handle_claim(
                push.list_as_of, push.list_digest, status.host, status.peer_port
            )
        self._members.apply_updates(push.news, now)
        if status.revision <= self._follower.revision:
            self._pause_detector.record_push(boot_seconds())

    def report(self) -> ControlReport:
        """Returns a report on this daemon's links, members and control traffic."""
        records = list(self.table.records)
        return ControlReport(
            revision=self._follower.revision,
            highest_heard=self._follower.tracker.highest,
            reads_service=self.reads_service,
            readers=tuple(self.plan.readers(self._settings.data_centre)),
            parents=tuple(self.plan.parents(self._settings.name)),
            linked=tuple(link.name for link in self._outbound.live),
            watchers=len(self._inbound),
            members=len(records),
            suspected=tuple(r.name for r in records if r.state is MemberState.SUSPECT),
            dead=tuple(r.name for r in records if r.state is MemberState.DEAD),
            list_implausible=self.table.list_is_implausible,
            isolated=self.table.isolated,
            recently_verified=self.recently_verified,
            traffic=CODEC.counts,
        )

    def handle_claims(self, status: Status) -> None:
        """Handles the revision, the alarm and the refused revision in a daemon's status."""
        self._fetcher.handle_claim(
            status.revision, status.config_digest, status.host, status.peer_port
        )
        if status.alarm:
            self._follower.adopt_alarm(status.revision, status.alarm)
        if status.refused_revision > max(self._follower.revision, self._follower.refused_revision):
            self._follower.refuse(status.refused_revision, "", status.refused_reason)

    def suspect(self, name: str, refused: bool) -> None:
        """Suspects a member whose link broke or went silent, or that refuses connections."""
        now = asyncio.get_running_loop().time()
        self._handle_pause(now)
        self._members.suspect(name, refused, now)

    async def verify(self) -> int:
        """Queries a few peers for their revision and fetches a newer one; returns the number of
        peers that answered."""
        return await self._verifier.verify(self.plan.parents(self._settings.name))

    async def _begin(self) -> None:
        """Reads the list and asks peers, then starts what runs for as long as the daemon."""
        await self.member_list.read()
        self._make_plan(asyncio.get_running_loop().time())
        if not await self.verify() and not self._follower.revision:
            # No peer answered, so the service is the only source, and it may be stale. Waiting
            # for a peer would block for ever where the whole fleet starts at the same time.
            self._log.write(
                Event.CONFIGURATION_ALONE, reason="no peer answered; using the service's answer"
            )
        self._tasks.keep_running("list", self.member_list.run)
        self._tasks.keep_running("ticks", self._run_ticks)

    async def _run_ticks(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        now = asyncio.get_running_loop().time()
        self._handle_pause(now)
        self._outbound.close_silent(now)
        for link in list(self._inbound):
            if link.gossip and now - link.last_received_at > GOSSIP_SILENCE_SECONDS:
                link.end()
        self._isolation.check(self._outbound.names)
        self._members.tick(now)
        if self._plans.is_due(now):
            self._make_plan(now)
        connected = self._outbound.live or any(link.gossip for link in self._inbound)
        self._reader.update(self.plan.is_reader(self._settings.name), bool(connected), now)
        self._check_links()

    def _check_links(self) -> None:
        # Retries a failed fetch as long as any link claims a higher revision.
        for link in (*self._outbound.live, *self._inbound):
            if link.status is not None and link.status.revision > self._follower.revision:
                self.handle_claims(link.status)
        status = self._own_status()
        key = (status.revision, status.version, status.leaving, status.model, status.service)
        if key != self._last_pushed:
            self._last_pushed = key
            self.wake_all()

    def _make_plan(self, now: float) -> None:
        wanted = self._plans.make(instance_from_status(self._own_status()), now)
        self._outbound.set_wanted(wanted, now)

    def _handle_pause(self, now: float) -> None:
        self._pause_detector.observe(boot_seconds())
        paused_seconds = self._pause_detector.paused_seconds - self._handled_pause_seconds
        counted_seconds = now - self._observed_at
        self._observed_at = now
        if not paused_seconds:
            return
        self._handled_pause_seconds = self._pause_detector.paused_seconds
        self._log.write(Event.PROCESS_PAUSED, seconds=round(paused_seconds, 2))
        # Receive times are kept by the event loop's clock, which does not count a suspension.
        # Shifted by more than that clock counted, they would lie in the future, and dead members
        # would be considered alive for that long.
        seconds = min(paused_seconds, counted_seconds)
        self.table.extend_time_limits(seconds)
        self._outbound.exclude_pause(seconds)
        for link in self._inbound:
            link.last_received_at += seconds
        for call in self.on_pause:
            call(seconds)
        self._tasks.start("verify", self._verify_in_background())

    async def _verify_in_background(self) -> None:
        await self.verify()

    def _apply_list(self) -> None:
        now = asyncio.get_running_loop().time()
        self._members.apply_list(self.member_list.roster.instances, now)
        self.wake_all()

    def _record_confirmation(self, asked_at: float) -> None:
        self._pause_detector.record_reply(asked_at, boot_seconds())
