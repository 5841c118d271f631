"""The gRPC service that a daemon offers to its peers on the peer port."""

import typing

from grpclib import const, server

from . import peer_messages
from .peer_link import GossipOwner, PeerLink
from .peer_messages import (
    ConfigurationReply,
    FetchConfiguration,
    FetchList,
    ListReply,
    Push,
)


class PeerServiceOwner(GossipOwner, typing.Protocol):
    """The node whose state the service serves."""

    def add_inbound(self, link: PeerLink) -> None:
        """Registers a link that a watcher opened."""

    def remove_inbound(self, link: PeerLink) -> None:
        """Unregisters a watcher's link that has ended."""

    def reply_configuration(self, request: FetchConfiguration) -> ConfigurationReply:
        """Returns the revision in force, with its value if the request's digest matches it."""

    def reply_list(self, request: FetchList) -> ListReply:
        """Returns the instance list held here, or the changes since the requester's list."""


class PeerService:
    """Implements the gRPC handlers. A Watch stream stays open until either end closes it."""

    __slots__ = ("_owner",)

    def __init__(self, owner: PeerServiceOwner) -> None:
        self._owner = owner

    async def watch(self, stream: server.Stream) -> None:
        """Serves a Watch stream: sends pushes to the watcher and handles the pushes it sends."""
        first = await stream.recv_message()
        if first is None or first.status is None:
            return
        link = PeerLink(first.status.name, first.gossip, self._owner)
        self._owner.add_inbound(link)
        try:
            self._owner.handle_push(link, first)
            await link.run(stream, pushes=True)
        finally:
            self._owner.remove_inbound(link)

    async def fetch_configuration(self, stream: server.Stream) -> None:
        """Serves FetchConfiguration."""
        request = await stream.recv_message()
        await stream.send_message(self._owner.reply_configuration(request))

    async def fetch_list(self, stream: server.Stream) -> None:
        """Serves FetchList."""
        request = await stream.recv_message()
        await stream.send_message(self._owner.reply_list(request))

    def __mapping__(self) -> dict[str, const.Handler]:
        """Returns the handlers by path, as grpclib requires."""
        unary = const.Cardinality.UNARY_UNARY
        both = const.Cardinality.STREAM_STREAM
        return {
            peer_messages.WATCH_PATH: const.Handler(self.watch, both, Push, Push),
            peer_messages.FETCH_CONFIGURATION_PATH: const.Handler(
                self.fetch_configuration, unary, FetchConfiguration, ConfigurationReply
            ),
            peer_messages.FETCH_LIST_PATH: const.Handler(
                self.fetch_list, unary, FetchList, ListReply
            ),
        }
