"""Clients that do not behave, and a watch over the process that they connect to."""

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import socket
import struct

from grpclib import client, exceptions

from bench.process import Process
from wasabidrum.peers import peer_client
from wasabidrum.peers.message_bound import MAX_MESSAGE_BYTES

POLL_SECONDS = 0.05
# In /proc/net/tcp, whose numbers are in hexadecimal.
LISTENING = "0A"
# Less than the message that was announced, by so much.
SHORT_BYTES = 65_536
MESSAGE_PIECE_BYTES = 16_384
# So that answers that nobody reads are soon held by the process that has sent them.
UNREAD_WINDOW_BYTES = 4096


class ProcessWatch:
    """Samples what one process holds, until it is left.

    Attributes:
      held_bytes: The most memory that was resident, with what the kernel had received for it and
        it had not read.
      descriptors: The most descriptors that were open.
    """

    def __init__(self, process: Process, host: str, ports: collections.abc.Iterable[int]) -> None:
        """Creates a watch.

        Args:
          ports: All ports on which the process listens at its host.
        """
        self._process = process
        self._addresses = frozenset(table_address(host, port) for port in ports)
        self._sampling: asyncio.Task | None = None
        self.held_bytes = 0
        self.descriptors = 0

    async def __aenter__(self) -> "ProcessWatch":
        self._sampling = asyncio.ensure_future(self._run())
        return self

    async def __aexit__(self, *failure: object) -> None:
        self.sample()
        self._sampling.cancel()

    def sample(self) -> None:
        """Samples now; a process that has ended holds nothing."""
        if not self._process.alive:
            return
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            held = self._process.resident_bytes() + unread_bytes(self._addresses)
            self.held_bytes = max(self.held_bytes, held)
            count = len(os.listdir(f"/proc/{self._process.pid}/fd"))
            self.descriptors = max(self.descriptors, count)

    async def _run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(POLL_SECONDS)


def table_address(host: str, port: int) -> str:
    """Returns an address as /proc/net/tcp writes it."""
    (number,) = struct.unpack("=I", socket.inet_aton(host))
    return f"{number:08X}:{port:04X}"


def unread_bytes(addresses: frozenset[str]) -> int:
    """Returns what the kernel has received for connections to some addresses, in bytes."""
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] in addresses and fields[3] != LISTENING:
            total += int(fields[4].rpartition(":")[2], 16)
    return total


class Member(asyncio.Protocol):
    """One client of a crowd: sends, may leave answers unread, and stays connected.

    Attributes:
      received: What came back, as far as it is read.
      closed: Whether the connection has ended.
    """

    def __init__(self, parts: collections.abc.Iterator[bytes], reads: bool) -> None:
        self._parts = parts
        self._reads = reads
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self.received = b""
        self.closed = asyncio.Event()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See asyncio.Protocol."""
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        if not self._reads:
            transport.pause_reading()
        self._writable.set()

    def pause_writing(self) -> None:
        """See asyncio.Protocol."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """See asyncio.Protocol."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        self.received += data

    def connection_lost(self, error: Exception | None) -> None:
        """See asyncio.Protocol."""
        self._writable.set()
        self.closed.set()

    async def send(self) -> None:
        """Sends all parts, each once the connection takes more."""
        for part in self._parts:
            await self._writable.wait()
            if self.closed.is_set():
                return
            self._transport.write(part)
            await asyncio.sleep(0)
        await self._writable.wait()

    def leave(self) -> None:
        """Ends the connection if it is open."""
        if not self.closed.is_set():
            self._transport.abort()


class Crowd:
    """Clients that connect to one port and stay until the crowd is left."""

    def __init__(self, host: str, port: int) -> None:
        self._address = host, port
        self._tasks: list[asyncio.Task] = []
        # Those that have sent all, and stay.
        self._holding: set[asyncio.Task] = set()
        self.members: list[Member] = []

    async def __aenter__(self) -> "Crowd":
        return self

    async def __aexit__(self, *failure: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for member in self.members:
            member.leave()
        # The transports end in the next iteration of the event loop.
        await asyncio.sleep(0.05)

    def join(
        self, parts: collections.abc.Callable[[int], collections.abc.Iterator[bytes]], count: int
    ) -> None:
        """Lets clients connect and send, whom an answer may reach.

        Args:
          parts: Returns what a client sends, by its number.
        """
        self._start(parts, count, True)

    def join_unreading(
        self, parts: collections.abc.Callable[[int], collections.abc.Iterator[bytes]], count: int
    ) -> None:
        """Lets clients connect and send who read nothing."""
        self._start(parts, count, False)

    def join_messages(self, path: str, count: int) -> None:
        """Lets clients of gRPC connect, and send a message of legal size but for its end."""
        for _ in range(count):
            self._tasks.append(asyncio.ensure_future(self._hold_message(path)))

    async def wait_until_sent(self, seconds: float) -> None:
        """Waits until each client has sent all, is cut off, or the time is up."""
        ends_at = asyncio.get_running_loop().time() + seconds
        while not all(task.done() or task in self._holding for task in self._tasks):
            if asyncio.get_running_loop().time() >= ends_at:
                return
            await asyncio.sleep(POLL_SECONDS)

    def _start(self, parts: collections.abc.Callable, count: int, reads: bool) -> None:
        first = len(self._tasks)
        for number in range(first, first + count):
            self._tasks.append(asyncio.ensure_future(self._play(parts(number), reads)))

    async def _hold_message(self, path: str) -> None:
        channel = client.Channel(*self._address, codec=peer_client.CODEC)
        method = client.UnaryUnaryMethod(channel, path, bytes, bytes)
        sent = SHORT_BYTES
        with contextlib.suppress(OSError, exceptions.GRPCError, exceptions.StreamTerminatedError):
            try:
                async with method.open() as call:
                    await call.send_request()
                    stream = call._stream
                    await stream.send_data(struct.pack(">?I", False, MAX_MESSAGE_BYTES))
                    while sent < MAX_MESSAGE_BYTES:
                        await stream.send_data(bytes(MESSAGE_PIECE_BYTES))
                        sent += MESSAGE_PIECE_BYTES
                    self._holding.add(asyncio.current_task())
                    await asyncio.Event().wait()
            finally:
                channel.close()

    async def _play(self, parts: collections.abc.Iterator[bytes], reads: bool) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            sock = socket.socket()
            if not reads:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_WINDOW_BYTES)
            sock.setblocking(False)
            await loop.sock_connect(sock, self._address)
            _, member = await loop.create_connection(lambda: Member(parts, reads), sock=sock)
            self.members.append(member)
            await member.send()


def pieces_of(content: bytes, size: int) -> collections.abc.Iterator[bytes]:
    """Yields content in pieces."""
    for start in range(0, len(content), size):
        yield content[start : start + size]
