"""Tells entries what the engine beside this sidecar is doing, as soon as it changes."""

import collections.abc

from grpclib import server
from tornado import netutil

from ..config.deployment import Deployment
from ..core.instance import InstanceRole
from ..core.status import Status
from ..decisions.member_update import MemberUpdate
from ..peers.peer_client import CODEC
from ..peers.peer_link import PeerLink
from ..peers.peer_messages import (
    ConfigurationReply,
    FetchConfiguration,
    FetchList,
    ListReply,
    Push,
)
from ..peers.peer_service import PeerService


class LoadService:
    """Owns the peer port of a sidecar and the streams of those who watch it.

    Attributes:
      on_relays: Called with the accounts of the entries that hold weights, as they come and go.
      on_entry: Called with an entry's account as it changes.
      on_entry_gone: Called with the name of an entry whose stream has ended.
    """

    def __init__(
        self, deployment: Deployment, account: collections.abc.Callable[[], Status]
    ) -> None:
        self._deployment = deployment
        self._account = account
        self._inbound: set[PeerLink] = set()
        self._server: server.Server | None = None
        self._relays: dict[PeerLink, Status] = {}
        self.on_relays: collections.abc.Callable[[list[Status]], None] = ignore_relays
        self.on_entry: collections.abc.Callable[[Status], None] = ignore_entry
        self.on_entry_gone: collections.abc.Callable[[str], None] = ignore_name

    @property
    def list_as_of(self) -> float:
        """See GossipOwner; a watcher that asks for it is told of nothing."""
        return 0.0

    @property
    def list_digest(self) -> str:
        """See GossipOwner; a watcher that asks for it is told of nothing."""
        return ""

    async def start(self) -> None:
        """Listens for entries."""
        sockets = netutil.bind_sockets(self._deployment.first_port, self._deployment.host)
        self._server = server.Server([PeerService(self)], codec=CODEC)
        await self._server.start(sock=sockets[0])

    async def stop(self) -> None:
        """Ends every stream."""
        if self._server is None:
            return
        self._server.close()
        for link in list(self._inbound):
            link.end()
        await self._server.wait_closed()

    def wake(self) -> None:
        """Has every stream tell at once what has changed."""
        for link in self._inbound:
            link.wake()

    def status(self) -> Status:
        """See LinkOwner."""
        return self._account()

    def news_after(self, cursor: int, limit: int) -> tuple[int, tuple[MemberUpdate, ...]]:
        """See GossipOwner; a watcher that asks for it is told of nothing."""
        return cursor, ()

    def take_push(self, link: PeerLink, push: Push) -> None:
        """See LinkOwner; entries tell who they are, and where they hold weights for others."""
        status = link.whole_status(push)
        if status is None or status.role is not InstanceRole.ENTRY:
            return
        # Seconds in a status count from its coming; one that was not sent again is old.
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
            self.on_entry_gone(link.name)
        if self._relays.pop(link, None) is not None:
            self.on_relays(list(self._relays.values()))

    def reply_configuration(self, request: FetchConfiguration) -> ConfigurationReply:
        """See PeerServiceOwner; a sidecar holds no configuration for others here."""
        return ConfigurationReply(0, "")

    def reply_list(self, request: FetchList) -> ListReply:
        """See PeerServiceOwner; as above."""
        return ListReply(0.0, "")


def ignore_entry(status: Status) -> None:
    """Stands where nobody asked to be told of entries."""


def ignore_name(name: str) -> None:
    """Stands where nobody asked to be told of entries that are gone."""


def ignore_relays(statuses: list[Status]) -> None:
    """Stands where nobody asked to be told of relays."""
