"""Reports the load of this sidecar's engine to the watching entries as soon as it changes."""

import collections.abc

from tornado import netutil

from ..config.deployment import Deployment
from ..core.instance import InstanceRole
from ..core.load_report import make_load_report
from ..core.status import Status
from ..decisions.member_update import MemberUpdate
from ..observe.event_log import EventLog
from ..peers.bounded_server import BoundedServer
from ..peers.peer_link import PeerLink
from ..peers.peer_messages import (
    ConfigurationReply,
    FetchConfiguration,
    FetchList,
    ListReply,
    Push,
)
from ..peers.peer_service import PeerService
from ..wire.process_limits import find_process_limits
from .report_sender import ReportSender

# The part of the accepted connections that the port may have.
CONNECTIONS_SHARE = 0.45


class LoadService:
    """Owns the peer port of a sidecar and the streams of the entries that watch it.

    Attributes:
      on_relays: Called with the statuses of the connected entries that relay weights, on each
        push and disconnection of such an entry.
      on_entry: Called with each full status of an entry.
      on_entry_disconnected: Called with the name of an entry whose last stream has ended.
    """

    def __init__(
        self,
        deployment: Deployment,
        own_status: collections.abc.Callable[[], Status],
        log: EventLog,
    ) -> None:
        self._deployment = deployment
        self._own_status = own_status
        self._inbound: set[PeerLink] = set()
        self._server: BoundedServer | None = None
        self._log = log
        self._sender = ReportSender(deployment.host, log)
        self._relays: dict[PeerLink, Status] = {}
        self.on_relays: collections.abc.Callable[[list[Status]], None] = ignore_relays
        self.on_entry: collections.abc.Callable[[Status], None] = ignore_entry
        self.on_entry_disconnected: collections.abc.Callable[[str], None] = ignore_disconnection

    @property
    def list_as_of(self) -> float:
        """See GossipOwner; a sidecar has no instance list here."""
        return 0.0

    @property
    def list_digest(self) -> str:
        """See GossipOwner; a sidecar has no instance list here."""
        return ""

    async def start(self) -> None:
        """Starts the gRPC server and opens the socket for reports."""
        await self._sender.start()
        sockets = netutil.bind_sockets(self._deployment.first_port, self._deployment.host)
        limits = find_process_limits(self._deployment.memory_mb, self._deployment.descriptors)
        self._server = BoundedServer(
            [PeerService(self)],
            limits.share_of_connections(CONNECTIONS_SHARE),
            limits.message_bytes,
            self._log,
        )
        await self._server.start(sockets[0])

    async def stop(self) -> None:
        """Closes all streams, the server and the socket."""
        self._sender.stop()
        if self._server is None:
            return
        self._server.close()
        for link in list(self._inbound):
            link.end()
        await self._server.wait_closed()

    def wake(self) -> None:
        """Makes every stream push immediately."""
        for link in self._inbound:
            link.wake()

    def report_load(self) -> None:
        """Sends every watching entry the current load.

        An entry that states no port for datagrams gets it on its stream.
        """
        destinations = set()
        for link in self._inbound:
            entry = link.status
            if entry is not None and entry.peer_port:
                destinations.add((entry.host, entry.peer_port))
            else:
                link.wake()
        if destinations:
            self._sender.send(make_load_report(self._own_status()), destinations)

    def status(self) -> Status:
        """See LinkOwner."""
        return self._own_status()

    def updates_after(self, cursor: int, limit: int) -> tuple[int, tuple[MemberUpdate, ...]]:
        """See GossipOwner; a sidecar has no member updates here."""
        return cursor, ()

    def handle_push(self, link: PeerLink, push: Push) -> None:
        """See LinkOwner; an entry pushes its status, with an HTTP port if it relays weights."""
        status = link.merge_push(push)
        if status is None or status.role is not InstanceRole.ENTRY:
            return
        # Durations in a status count from its arrival, so one that was not sent anew is outdated.
        if push.status is not None:
            self.on_entry(status)
        if status.http_port:
            self._relays[link] = status
            self.on_relays(list(self._relays.values()))

    def add_inbound(self, link: PeerLink) -> None:
        """See PeerServiceOwner."""
        self._inbound.add(link)

    def remove_inbound(self, link: PeerLink) -> None:
        """See PeerServiceOwner."""
        self._inbound.discard(link)
        if all(other.name != link.name for other in self._inbound):
            self.on_entry_disconnected(link.name)
        if self._relays.pop(link, None) is not None:
            self.on_relays(list(self._relays.values()))

    def reply_configuration(self, request: FetchConfiguration) -> ConfigurationReply:
        """See PeerServiceOwner; a sidecar has no configuration for peers here."""
        return ConfigurationReply(0, "")

    def reply_list(self, request: FetchList) -> ListReply:
        """See PeerServiceOwner; a sidecar has no instance list here."""
        return ListReply(0.0, "")


def ignore_entry(status: Status) -> None:
    """The default on_entry callback; does nothing."""


def ignore_disconnection(name: str) -> None:
    """The default on_entry_disconnected callback; does nothing."""


def ignore_relays(statuses: list[Status]) -> None:
    """The default on_relays callback; does nothing."""
