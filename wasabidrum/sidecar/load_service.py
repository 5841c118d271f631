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
        if status is not None and status.role is InstanceRole.ENTRY and status.http_port:
            self._relays[link] = status
            self.on_relays(list(self._relays.values()))

    def add_inbound(self, link: PeerLink) -> None:
        """See PeerServiceOwner."""
        self._inbound.add(link)

    def remove_inbound(self, link: PeerLink) -> None:
        """See PeerServiceOwner."""
        self._inbound.discard(link)
        if self._relays.pop(link, None) is not None:
            self.on_relays(list(self._relays.values()))

    def reply_configuration(self, request: FetchConfiguration) -> ConfigurationReply:
        """See PeerServiceOwner; a sidecar holds no configuration for others here."""
        return ConfigurationReply(0, "")

    def reply_list(self, request: FetchList) -> ListReply:
        """See PeerServiceOwner; as above."""
        return ListReply(0.0, "")


def ignore_relays(statuses: list[Status]) -> None:
    """Stands where nobody asked to be told of relays."""
