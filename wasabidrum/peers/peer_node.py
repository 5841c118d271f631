"""One process among the others: whom it hears, whom it tells, and what follows from it."""

import asyncio
import collections.abc

from grpclib import server
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
from .claim_fetcher import ClaimFetcher
from .configuration_follower import ConfigurationFollower
from .control_report import ControlReport
from .isolation_watch import IsolationWatch
from .member_list_cache import MemberListCache
from .member_watch import MemberWatch
from .outbound_links import OutboundLinks
from .peer_asker import PeerAsker
from .peer_client import CODEC
from .peer_link import PeerLink
from .peer_messages import ConfigurationReply, FetchConfiguration, FetchList, ListReply, Push
from .peer_service import PeerService
from .reader_assignment import ReaderAssignment
from .service_reader import ServiceReader

TICK_SECONDS = 0.25
GOSSIP_SILENCE_SECONDS = 3.0


class PeerNode:
    """Owns the peer port, the links and the member table of one daemon.

    Attributes:
      peer_port: Where it listens for peers.
      table: Who is there.
      lists: The instance list.
      on_pause: Called with the length of each pause of this process.
    """

    def __init__(
        self,
        settings: Settings,
        directory: InstanceDirectory,
        follower: ConfigurationFollower,
        account: collections.abc.Callable[[], Status],
        log: EventLog,
        on_failure: collections.abc.Callable[[str, BaseException], None],
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._account = account
        self._log = log
        self._tasks = BackgroundTasks(on_failure)
        self._gap = PauseDetector(boot_seconds())
        self._noticed_seconds = 0.0
        self._inbound: set[PeerLink] = set()
        self._outbound = OutboundLinks(self, True, GOSSIP_SILENCE_SECONDS, self.lose)
        self._fetcher = ClaimFetcher(follower)
        self._server: server.Server | None = None
        self._last_told: tuple[object, ...] = ()
        self.peer_port = 0
        self.table = MemberTable(settings.name)
        self._members = MemberWatch(self.table, account, log, self.wake_all)
        self._plans = ReaderAssignment(self.table)
        self._isolation = IsolationWatch(self.table, self.verify, self._tasks, log)
        self.lists = MemberListCache(directory, log, self._take_list)
        self._turn_at = now = asyncio.get_running_loop().time()
        self._reader = ServiceReader(follower, self.lists, self._tasks, log, now)
        self._asker = PeerAsker(self.table, follower, self._fetcher, self._gap, log)
        self.on_pause: list[collections.abc.Callable[[float], None]] = []
        follower.on_change = self.wake_all
        follower.on_answer = self._take_answer

    @property
    def list_as_of(self) -> float:
        """See GossipOwner."""
        return self.lists.roster.as_of

    @property
    def list_digest(self) -> str:
        """See GossipOwner."""
        return self.lists.roster.digest

    @property
    def reads_service(self) -> bool:
        """Whether this process reads the platform's service now."""
        return self._reader.reads

    @property
    def plan(self) -> ReaderPlan:
        """Who reads and who hears from whom, by the members known here."""
        return self._plans.plan

    @property
    def recently_verified(self) -> bool:
        """Whether someone else confirmed this process's revision since it last slept."""
        return self._gap.recently_verified(boot_seconds())

    def find_listed(self) -> Instance | None:
        """Returns where the list says that this process listens, or None."""
        return self.lists.roster.find(self._settings.name)

    async def start(self) -> None:
        """Listens for peers and starts the tasks."""
        listen = self._settings.listen
        sockets = netutil.bind_sockets(listen.peer_port, listen.host)
        self.peer_port = sockets[0].getsockname()[1]
        self._server = server.Server([PeerService(self)], codec=CODEC)
        await self._server.start(sock=sockets[0], ssl=tls.server_context())
        self._tasks.start("peers", self._run())

    async def stop(self) -> None:
        """Ends every link and task."""
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
        return self._account()

    def news_after(self, cursor: int, limit: int) -> tuple[int, tuple[MemberUpdate, ...]]:
        """See GossipOwner."""
        return self._members.news.after(cursor, limit)

    def wake_all(self) -> None:
        """Has every link push at once."""
        self._outbound.wake_all()
        for link in self._inbound:
            link.wake()

    def add_inbound(self, link: PeerLink) -> None:
        """See PeerServiceOwner."""
        self._inbound.add(link)

    def remove_inbound(self, link: PeerLink) -> None:
        """See PeerServiceOwner."""
        self._inbound.discard(link)
        # A watcher whose plan changed ends its link too, and is no less alive for it.
        if link.gossip and self._settings.name in self.plan.parents(link.name):
            self.lose(link.name, False)

    def reply_configuration(self, request: FetchConfiguration) -> ConfigurationReply:
        """See PeerServiceOwner."""
        book = self._follower.book
        value = self._follower.compressed if request.digest == book.digest else b""
        return ConfigurationReply(book.revision, book.digest, value)

    def reply_list(self, request: FetchList) -> ListReply:
        """See PeerServiceOwner."""
        return self.lists.roster.reply(request)

    def take_push(self, link: PeerLink, push: Push) -> None:
        """See LinkOwner."""
        now = asyncio.get_running_loop().time()
        self._notice_pause(now)
        status = link.whole_status(push)
        if status is None:
            return
        self._members.record_sign_of_life(link.name, push, status, now)
        if push.status is not None or push.revision:
            self.take_claims(status)
        if push.list_digest:
            self.lists.take_claim(push.list_as_of, push.list_digest, status.host, status.peer_port)
        self._members.take_news(push.news, now)
        if status.revision <= self._follower.revision:
            self._gap.record_push(boot_seconds())

    def report(self) -> ControlReport:
        """Returns how this daemon stands among the others."""
        records = list(self.table.records)
        return ControlReport(
            revision=self._follower.revision,
            highest_heard=self._follower.book.highest,
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

    def take_claims(self, status: Status) -> None:
        """Takes what a daemon says of its revision and of a refused one."""
        self._fetcher.take_claim(
            status.revision, status.config_digest, status.host, status.peer_port
        )
        if status.alarm:
            self._follower.take_alarm(status.revision, status.alarm)
        if status.refused_revision > max(self._follower.revision, self._follower.refused_revision):
            self._follower.refuse(status.refused_revision, "", status.refused_reason)

    def lose(self, name: str, refused: bool) -> None:
        """Takes that a link to a daemon broke or fell silent, or that it refuses links."""
        now = asyncio.get_running_loop().time()
        self._notice_pause(now)
        self._members.suspect(name, refused, now)

    async def verify(self) -> int:
        """Asks a few peers for their revision and takes what is newer; returns how many
        answered."""
        return await self._asker.verify(self.plan.parents(self._settings.name))

    async def _run(self) -> None:
        await self.lists.read()
        self._make_plan(asyncio.get_running_loop().time())
        if not await self.verify() and not self._follower.revision:
            # Nobody to ask: the service's answer is all there is, and it may be stale. To
            # wait for ever would leave a fleet that starts all at once with no service.
            self._log.write(Event.CONFIGURATION_ALONE, reason="no peer answered; service is used")
        self._tasks.start("list", self.lists.run())
        while True:
            self._tick()
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        now = asyncio.get_running_loop().time()
        self._notice_pause(now)
        self._outbound.end_silent(now)
        for link in list(self._inbound):
            if link.gossip and now - link.heard_at > GOSSIP_SILENCE_SECONDS:
                link.end()
        self._isolation.judge(self._outbound.names)
        self._members.tick(now)
        if self._plans.is_due(now):
            self._make_plan(now)
        connected = self._outbound.live or any(link.gossip for link in self._inbound)
        self._reader.choose(self.plan.is_reader(self._settings.name), bool(connected), now)
        self._look_over_links()

    def _look_over_links(self) -> None:
        # A fetch that failed is tried again from here, as long as any link claims more.
        for link in (*self._outbound.live, *self._inbound):
            if link.status is not None and link.status.revision > self._follower.revision:
                self.take_claims(link.status)
        told = self._account()
        key = (told.revision, told.version, told.leaving, told.model, told.service)
        if key != self._last_told:
            self._last_told = key
            self.wake_all()

    def _make_plan(self, now: float) -> None:
        wanted = self._plans.make(instance_from_status(self._account()), now)
        self._outbound.keep(wanted, now)

    def _notice_pause(self, now: float) -> None:
        self._gap.observe(boot_seconds())
        paused = self._gap.paused_seconds - self._noticed_seconds
        counted = now - self._turn_at
        self._turn_at = now
        if not paused:
            return
        self._noticed_seconds = self._gap.paused_seconds
        self._log.write(Event.PROCESS_PAUSED, seconds=round(paused, 2))
        # When the others were heard is kept by the event loop's clock, which does not count a
        # suspension. Moved on by more than it counted, these dates would lie in the future, and
        # the dead would be taken for alive for as long.
        seconds = min(paused, counted)
        self.table.extend_time_limits(seconds)
        self._outbound.forgive(seconds)
        for link in self._inbound:
            link.heard_at += seconds
        for call in self.on_pause:
            call(seconds)
        self._tasks.start("verify", self._verify_quietly())

    async def _verify_quietly(self) -> None:
        await self.verify()

    def _take_list(self) -> None:
        now = asyncio.get_running_loop().time()
        self._members.take_list(self.lists.roster.instances, now)
        self.wake_all()

    def _take_answer(self, asked_at: float) -> None:
        self._gap.record_reply(asked_at, boot_seconds())
