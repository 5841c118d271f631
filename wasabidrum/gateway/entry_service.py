"""The gRPC service that entries offer each other."""

import typing

from grpclib import const, server

from ..peers import entry_messages
from ..peers.entry_messages import ChangesReply, FetchChanges, Meet, TellSuspects, Told


class EntryServiceOwner(typing.Protocol):
    """What the service answers from."""

    def reply_meet(self, message: Meet) -> Meet:
        """Takes who called, and says who is known."""

    def reply_changes(self, message: FetchChanges) -> ChangesReply:
        """Says what changed after a revision."""

    def take_suspects(self, message: TellSuspects) -> None:
        """Takes requests that were there when an endpoint died."""


class EntryService:
    """Implements the handlers."""

    __slots__ = ("_owner",)

    def __init__(self, owner: EntryServiceOwner) -> None:
        self._owner = owner

    async def meet(self, stream: server.Stream) -> None:
        """Answers Meet."""
        await stream.send_message(self._owner.reply_meet(await stream.recv_message()))

    async def changes(self, stream: server.Stream) -> None:
        """Answers Changes."""
        await stream.send_message(self._owner.reply_changes(await stream.recv_message()))

    async def suspects(self, stream: server.Stream) -> None:
        """Answers Suspects."""
        self._owner.take_suspects(await stream.recv_message())
        await stream.send_message(Told())

    def __mapping__(self) -> dict[str, const.Handler]:
        """Returns the handlers by path, as grpclib asks for them."""
        unary = const.Cardinality.UNARY_UNARY
        return {
            entry_messages.MEET_PATH: const.Handler(self.meet, unary, Meet, Meet),
            entry_messages.CHANGES_PATH: const.Handler(
                self.changes, unary, FetchChanges, ChangesReply
            ),
            entry_messages.SUSPECTS_PATH: const.Handler(self.suspects, unary, TellSuspects, Told),
        }
