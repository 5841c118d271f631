"""One Watch stream, seen from either end: what was sent on it, and when it last received."""

import asyncio
import typing

import msgspec

from ..core.load import Load
from ..core.status import Status
from ..decisions.member_update import MemberUpdate
from .peer_messages import Push

GOSSIP_HEARTBEAT_SECONDS = 1.0
STATUS_HEARTBEAT_SECONDS = 0.75
MAX_UPDATES_PER_PUSH = 32


class MessageStream(typing.Protocol):
    """The methods that the client and server sides of a gRPC stream share."""

    async def send_message(self, message: Push) -> None:
        """Sends one message, waiting for the other end's flow control."""

    async def recv_message(self) -> Push | None:
        """Returns the next message, or None once the other end has closed the stream."""


class LinkOwner(typing.Protocol):
    """Supplies the status that a link sends, and handles the messages that it receives."""

    def status(self) -> Status:
        """Returns this process's current status, with a new sequence number."""

    def handle_push(self, link: "PeerLink", push: Push) -> None:
        """Handles a message received on a link."""


class GossipOwner(LinkOwner, typing.Protocol):
    """Supplies the instance list's digest and the member updates that gossip links also send."""

    @property
    def list_as_of(self) -> float:
        """The creation time of the instance list held here."""

    @property
    def list_digest(self) -> str:
        """The digest of that list."""

    def updates_after(self, cursor: int, limit: int) -> tuple[int, tuple[MemberUpdate, ...]]:
        """Returns the next cursor, and at most limit member updates from the cursor on."""


class PeerLink:
    """The state of one end of a Watch stream.

    Attributes:
      name: The name of the member at the other end.
      gossip: Whether both ends send heartbeats and member updates, or only the watched end.
      last_received_at: When the last message arrived, or when the link was created, by the event
        loop's clock.
      status: The other end's last complete status, or None before its first message.
    """

    __slots__ = ("name", "gossip", "last_received_at", "status", "_owner", "_waiter", "_woken")
    __slots__ += (
        "_sent_status",
        "_sent_load",
        "_sent_list",
        "_sent_revision",
        "_cursor",
        "_receiving",
        "_withheld",
    )

    def __init__(self, name: str, gossip: bool, owner: LinkOwner) -> None:
        """Creates a link.

        Args:
          owner: A GossipOwner if gossip is true.
        """
        self.name = name
        self.gossip = gossip
        self.last_received_at = asyncio.get_running_loop().time()
        self.status: Status | None = None
        self._owner = owner
        self._waiter: asyncio.Future[None] | None = None
        self._woken = False
        self._sent_status: Status | None = None
        self._sent_load: Load | None = None
        self._sent_list = ""
        self._sent_revision = 0
        self._cursor = 0
        self._receiving: asyncio.Task[None] | None = None
        # Whether the last status was sent without some of its parts.
        self._withheld = False

    def wake(self) -> None:
        """Makes the next push go out immediately."""
        self._woken = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def next_push(self) -> Push:
        """Returns a message with the fields that changed since the previous push."""
        status = self._without_other_regions(self._owner.status())
        stable = without_volatile_fields(status)
        status_to_send = None if stable == self._sent_status else status
        self._sent_status = stable
        load = None
        if status_to_send is None and status.load != self._sent_load:
            held = status.load
            load = (held.running, held.waiting, held.slots, held.tokens_per_second, held.pace)
        self._sent_load = status.load
        changed = status_to_send is None and status.revision != self._sent_revision
        self._sent_revision = status.revision
        updates: tuple[MemberUpdate, ...] = ()
        digest = ""
        if self.gossip:
            self._cursor, updates = self._owner.updates_after(self._cursor, MAX_UPDATES_PER_PUSH)
            digest = self._owner.list_digest
            digest = "" if digest == self._sent_list else digest
            self._sent_list = digest or self._sent_list
        return Push(
            sequence=status.sequence,
            gossip=self.gossip,
            status=status_to_send,
            load=load,
            uptime=status.uptime,
            list_as_of=self._owner.list_as_of if digest else 0.0,
            list_digest=digest,
            news=updates,
            revision=status.revision if changed else 0,
            config_digest=status.config_digest if changed else "",
        )

    def merge_push(self, push: Push) -> Status | None:
        """Merges a push into the other end's last status and returns the result.

        Returns:
          The other end's complete status, or None if it has not sent a full status yet.
        """
        if push.status is not None:
            if self._withheld and self.status is None:
                self.wake()
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

    def _without_other_regions(self, status: Status) -> Status:
        """Returns a status without the parts that the other end's region must not know."""
        region = self.status.region if self.status is not None else ""
        parts = tuple(part for part in status.parts if part.may_go_to(region))
        self._withheld = len(parts) < len(status.parts)
        return msgspec.structs.replace(status, parts=parts) if self._withheld else status

    async def push_periodically(self, stream: MessageStream) -> None:
        """Sends a push at a fixed interval, and immediately when woken."""
        interval = GOSSIP_HEARTBEAT_SECONDS if self.gossip else STATUS_HEARTBEAT_SECONDS
        while True:
            self._woken = False
            push = self.next_push()
            await stream.send_message(push)
            if len(push.news) < MAX_UPDATES_PER_PUSH:
                await self._wait(interval)

    async def push_when_woken(self, stream: MessageStream) -> None:
        """Sends a push only when woken."""
        while True:
            await self._wait(None)
            self._woken = False
            await stream.send_message(self.next_push())

    async def receive_until_end(self, stream: MessageStream) -> None:
        """Passes messages to the owner until the other end closes the stream.

        Raises:
          OSError, grpclib.exceptions.GRPCError, grpclib.exceptions.StreamTerminatedError:
            The stream broke.
        """
        while (push := await stream.recv_message()) is not None:
            self.last_received_at = asyncio.get_running_loop().time()
            self._owner.handle_push(self, push)

    async def run(self, stream: MessageStream, pushes: bool) -> None:
        """Receives and sends until either direction ends.

        Args:
          pushes: Whether to send at a fixed interval; otherwise this end sends only when woken.

        Raises:
          The error that broke the stream; none if end() or the other end closed it.
        """
        self._receiving = asyncio.ensure_future(self.receive_until_end(stream))
        tasks = [self._receiving]
        push = self.push_periodically if pushes else self.push_when_woken
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
        """Closes the stream from this end, for example because the other end is silent."""
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


def without_volatile_fields(status: Status) -> Status:
    """Returns a status with its volatile fields reset.

    These change often: a push carries them in fields of its own, or they alone are no reason to
    send a full status.
    """
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
        parts=tuple(
            msgspec.structs.replace(part, age=0.0, counted_ago=0.0) for part in status.parts
        ),
    )
