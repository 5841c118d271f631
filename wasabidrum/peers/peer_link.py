"""One Watch stream, seen from either end: what was sent on it, and when it was last heard."""

import asyncio
import typing

import msgspec

from ..core.load import Load
from ..core.status import Status
from ..decisions.member_update import MemberUpdate
from .peer_messages import Push

GOSSIP_BEAT_SECONDS = 1.0
STATUS_BEAT_SECONDS = 0.75
NEWS_PER_PUSH = 32


class MessageStream(typing.Protocol):
    """The part of a gRPC stream that both of its ends have."""

    async def send_message(self, message: Push) -> None:
        """Sends one message, waiting for the other end's flow control."""

    async def recv_message(self) -> Push | None:
        """Returns the next message, or None once the other end has ended the stream."""


class LinkOwner(typing.Protocol):
    """Whom a link tells of, and whom it tells."""

    def status(self) -> Status:
        """Returns this process's account of itself, with a new sequence."""

    def take_push(self, link: "PeerLink", push: Push) -> None:
        """Takes a message that arrived on a link."""


class GossipOwner(LinkOwner, typing.Protocol):
    """What a link tells besides where both ends push, as the one that watches asks."""

    @property
    def list_as_of(self) -> float:
        """When the instance list held here was made."""

    @property
    def list_digest(self) -> str:
        """The digest of that list."""

    def news_after(self, cursor: int, limit: int) -> tuple[int, tuple[MemberUpdate, ...]]:
        """Returns news after a place in the log, and the place after them."""


class PeerLink:
    """What one end of a stream knows.

    Attributes:
      name: The member at the other end; empty at the watched end until its first message.
      gossip: Whether both ends push.
      heard_at: When the last message arrived, or when the link was made.
      status: The other end's last whole status.
    """

    __slots__ = ("name", "gossip", "heard_at", "status", "_owner", "_waiter", "_woken")
    __slots__ += ("_told", "_told_load", "_told_list", "_told_revision", "_cursor", "_receiving")

    def __init__(self, name: str, gossip: bool, owner: LinkOwner) -> None:
        """Takes whom it tells of: a GossipOwner where both ends push."""
        self.name = name
        self.gossip = gossip
        self.heard_at = asyncio.get_running_loop().time()
        self.status: Status | None = None
        self._owner = owner
        self._waiter: asyncio.Future[None] | None = None
        self._woken = False
        self._told: Status | None = None
        self._told_load: Load | None = None
        self._told_list = ""
        self._told_revision = 0
        self._cursor = 0
        self._receiving: asyncio.Task[None] | None = None

    def wake(self) -> None:
        """Has the next push go out at once."""
        self._woken = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def next_push(self) -> Push:
        """Returns what the other end does not know yet."""
        status = self._owner.status()
        kept = without_details(status)
        told_status = None if kept == self._told else status
        self._told = kept
        load = None
        if told_status is None and status.load != self._told_load:
            held = status.load
            load = (held.running, held.waiting, held.slots, held.tokens_per_second, held.pace)
        self._told_load = status.load
        changed = told_status is None and status.revision != self._told_revision
        self._told_revision = status.revision
        news: tuple[MemberUpdate, ...] = ()
        digest = ""
        if self.gossip:
            self._cursor, news = self._owner.news_after(self._cursor, NEWS_PER_PUSH)
            digest = self._owner.list_digest
            digest = "" if digest == self._told_list else digest
            self._told_list = digest or self._told_list
        return Push(
            sequence=status.sequence,
            gossip=self.gossip,
            status=told_status,
            load=load,
            uptime=status.uptime,
            list_as_of=self._owner.list_as_of if digest else 0.0,
            list_digest=digest,
            news=news,
            revision=status.revision if changed else 0,
            config_digest=status.config_digest if changed else "",
        )

    def whole_status(self, push: Push) -> Status | None:
        """Returns the other end's account after a message, or None before its first."""
        if push.status is not None:
            self.status = push.status
        elif self.status is not None:
            held = self.status
            changed = push.revision != 0
            self.status = msgspec.structs.replace(
                held,
                sequence=push.sequence,
                load=Load(*push.load) if push.load is not None else held.load,
                uptime=push.uptime,
                revision=push.revision if changed else held.revision,
                config_digest=push.config_digest if changed else held.config_digest,
            )
        return self.status

    async def push_for_ever(self, stream: MessageStream) -> None:
        """Sends at a steady beat, and at once when woken."""
        beat = GOSSIP_BEAT_SECONDS if self.gossip else STATUS_BEAT_SECONDS
        while True:
            self._woken = False
            push = self.next_push()
            await stream.send_message(push)
            if len(push.news) < NEWS_PER_PUSH:
                await self._wait(beat)

    async def push_when_woken(self, stream: MessageStream) -> None:
        """Sends when woken only."""
        while True:
            await self._wait(None)
            self._woken = False
            await stream.send_message(self.next_push())

    async def receive_until_end(self, stream: MessageStream) -> None:
        """Takes messages until the other end ends the stream.

        Raises:
          OSError, grpclib.exceptions.GRPCError, grpclib.exceptions.StreamTerminatedError:
            The stream broke.
        """
        while (push := await stream.recv_message()) is not None:
            self.heard_at = asyncio.get_running_loop().time()
            self._owner.take_push(self, push)

    async def run(self, stream: MessageStream, pushes: bool) -> None:
        """Receives and pushes until either way ends; where this end does not beat, when woken.

        Raises:
          The error that ended the stream; none where it was ended by end() or by the other.
        """
        self._receiving = asyncio.ensure_future(self.receive_until_end(stream))
        tasks = [self._receiving]
        push = self.push_for_ever if pushes else self.push_when_woken
        tasks.append(asyncio.ensure_future(push(stream)))
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if not task.cancelled():
                    task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def end(self) -> None:
        """Ends the stream from this end, as when the other is silent."""
        if self._receiving is not None:
            self._receiving.cancel()

    async def _wait(self, seconds: float | None) -> None:
        if self._woken:
            return
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(seconds, self.wake) if seconds is not None else None
        try:
            await self._waiter
        finally:
            if timer is not None:
                timer.cancel()
            self._waiter = None


def without_details(status: Status) -> Status:
    """Returns a status without what changes often and is told by itself, or not at all."""
    return msgspec.structs.replace(
        status,
        sequence=0,
        load=Load(),
        uptime=0.0,
        chunks_held=0,
        chunks_wanted=0,
        revision=0,
        config_digest="",
        wanted_seconds=0.0,
        placing_limits=tuple(
            msgspec.structs.replace(limit, seconds=0.0) for limit in status.placing_limits
        ),
    )
