"""The gRPC service through which entries talk to each other."""

import typing

from grpclib import const, server

from ..peers import entry_messages
from ..peers.entry_messages import Acknowledgement, ChangesReply, FetchChanges, Meet, SuspectsReport


class EntryServiceOwner(typing.Protocol):
    """Answers the requests that the service receives."""

    def handle_meet(self, message: Meet) -> Meet:
        """Records the entries that the caller knows, and returns those known here."""

    async def handle_fetch_changes(self, message: FetchChanges) -> ChangesReply:
        """Returns the store's changes after a revision, once there are any if asked to wait."""

    def handle_suspects(self, message: SuspectsReport) -> Acknowledgement:
        """Records requests that were in progress at an endpoint when it died, and their parts."""


class EntryService:
    """Implements the gRPC handlers."""

    __slots__ = ("_owner",)

    def __init__(self, owner: EntryServiceOwner) -> None:
        self._owner = owner

    async def meet(self, stream: server.Stream) -> None:
        """Handles Meet."""
        await stream.send_message(self._owner.handle_meet(await stream.recv_message()))

    async def changes(self, stream: server.Stream) -> None:
        """Handles Changes."""
        reply = await self._owner.handle_fetch_changes(await stream.recv_message())
        await stream.send_message(reply)

    async def suspects(self, stream: server.Stream) -> None:
        """Handles Suspects."""
        await stream.send_message(self._owner.handle_suspects(await stream.recv_message()))

    def __mapping__(self) -> dict[str, const.Handler]:
        """Returns the handlers by path, as grpclib requires."""
        unary = const.Cardinality.UNARY_UNARY
        return {
            entry_messages.MEET_PATH: const.Handler(self.meet, unary, Meet, Meet),
            entry_messages.CHANGES_PATH: const.Handler(
                self.changes, unary, FetchChanges, ChangesReply
            ),
            entry_messages.SUSPECTS_PATH: const.Handler(
                self.suspects, unary, SuspectsReport, Acknowledgement
            ),
        }
