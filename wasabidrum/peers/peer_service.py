"""The gRPC service that every daemon offers to the others on its peer port."""

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
    """What the service answers from."""

    def add_inbound(self, link: PeerLink) -> None:
        """Takes a link that a watcher opened."""

    def remove_inbound(self, link: PeerLink) -> None:
        """Takes that a watcher's link ended."""

    def reply_configuration(self, request: FetchConfiguration) -> ConfigurationReply:
        """Answers what is in force, with its value where asked for."""

    def reply_list(self, request: FetchList) -> ListReply:
        """Answers which instance list is held."""


class PeerService:
    """Implements the handlers. A watcher's stream lives until either end ends it."""

    __slots__ = ("_owner",)

    def __init__(self, owner: PeerServiceOwner) -> None:
        self._owner = owner

    async def watch(self, stream: server.Stream) -> None:
        """Pushes to a watcher, and takes its pushes where both ends gossip."""
        first = await stream.recv_message()
        if first is None or first.status is None:
            return
        link = PeerLink(first.status.name, first.gossip, self._owner)
        self._owner.add_inbound(link)
        try:
            self._owner.take_push(link, first)
            await link.run(stream, pushes=True)
        finally:
            self._owner.remove_inbound(link)

    async def fetch_configuration(self, stream: server.Stream) -> None:
        """Answers FetchConfiguration."""
        request = await stream.recv_message()
        await stream.send_message(self._owner.reply_configuration(request))

    async def fetch_list(self, stream: server.Stream) -> None:
        """Answers FetchList."""
        request = await stream.recv_message()
        await stream.send_message(self._owner.reply_list(request))

    def __mapping__(self) -> dict[str, const.Handler]:
        """Returns the handlers by path, as grpclib asks for them."""
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
