"""Clients of gRPC that hold what they can."""

import asyncio
import contextlib
import functools
import socket
import struct
import tracemalloc
import unittest
from unittest import mock

from grpclib import client, const
from tornado import netutil

from ..observe.event import Event
from . import bounded_server, entry_messages, message_bound, peer_client
from .bounded_server import BoundedServer
from .entry_messages import Acknowledgement, EntryAddress, Meet

HOST = "127.0.0.1"
MAX_CONNECTIONS = 4
MAX_BYTES = 200_000
MESSAGE_BYTES = 90_000
SECONDS = 5.0
PATH = entry_messages.MEET_PATH
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes((0, 0, 0, 4, 0, 0, 0, 0, 0))
PING = bytes((0, 0, 8, 6, 0, 0, 0, 0, 0)) + bytes(8)


class BoundedServerTest(unittest.IsolatedAsyncioTestCase):
    """A server with little room, and clients who stay."""

    async def asyncSetUp(self) -> None:
        self.log = mock.Mock()
        self.server = BoundedServer([self], MAX_CONNECTIONS, MAX_BYTES, self.log)
        sockets = netutil.bind_sockets(0, HOST)
        self.port = sockets[0].getsockname()[1]
        await self.server.start(sockets[0])
        self.room = self.server._room
        self.holding: list[asyncio.Task] = []
        self.addAsyncCleanup(self.leave)

    async def leave(self) -> None:
        for task in self.holding:
            task.cancel()
        await asyncio.gather(*self.holding, return_exceptions=True)
        self.server.close()
        await self.server.wait_closed()

    def __mapping__(self):
        """Returns the handler of the one path, as grpclib requires."""
        unary = const.Cardinality.UNARY_UNARY
        return {PATH: const.Handler(self.serve, unary, Meet, Acknowledgement)}

    async def serve(self, stream) -> None:
        """Answers a whole message."""
        await stream.recv_message()
        await stream.send_message(Acknowledgement())

    async def ask(self) -> None:
        """Makes a usual call."""
        meet = Meet(EntryAddress(HOST, 1))
        await peer_client.call(HOST, self.port, PATH, meet, Acknowledgement, SECONDS)

    async def hold(self, sent: int) -> None:
        """Sends a part of a message, and stays."""
        async with peer_client.open_channel(HOST, self.port) as channel:
            method = client.UnaryUnaryMethod(channel, PATH, Meet, Acknowledgement)
            async with method.open() as call:
                await call.send_request()
                await call._stream.send_data(struct.pack(">?I", False, MESSAGE_BYTES))
                await call._stream.send_data(bytes(sent))
                await asyncio.Event().wait()

    async def wait_until(self, condition) -> None:
        async with asyncio.timeout(SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_parts_of_messages_give_way(self) -> None:
        """Guards against memory that is held by messages of legal size that have no end."""
        for _ in range(MAX_CONNECTIONS):
            self.holding.append(asyncio.ensure_future(self.hold(MESSAGE_BYTES - 1)))
        await self.wait_until(lambda: self.log.write.called)
        self.assertLessEqual(self.room.used, MAX_BYTES)
        self.assertEqual(self.log.write.call_args.args[0], Event.CONNECTION_GAVE_WAY)
        await self.ask()

    async def test_connections_that_are_not_used_give_way(self) -> None:
        """Guards against daemons that are not accepted while others stay connected."""
        sockets = [socket.create_connection((HOST, self.port)) for _ in range(MAX_CONNECTIONS)]
        for sock in sockets:
            self.addCleanup(sock.close)
        await asyncio.sleep(1.1)
        await self.ask()
        self.assertLessEqual(len(self.room.connections), MAX_CONNECTIONS)

    async def test_room_is_free_once_clients_have_left(self) -> None:
        """Guards against an account from which what was held is never taken."""
        for _ in range(2):
            self.holding.append(asyncio.ensure_future(self.hold(MESSAGE_BYTES - 1)))
        await self.wait_until(lambda: self.room.used >= 2 * (MESSAGE_BYTES - 1))
        for task in self.holding:
            task.cancel()
        await self.wait_until(lambda: not self.room.connections)
        self.assertEqual(self.room.used, 0)
        await self.ask()
        await self.wait_until(lambda: not self.room.connections)
        self.assertEqual(self.room.used, 0)

    async def test_message_beyond_the_room_is_refused(self) -> None:
        """Guards against a message that could never be received whole."""
        with mock.patch.object(self.room, "_max_bytes", MESSAGE_BYTES):
            holding = asyncio.ensure_future(self.hold(10))
            self.holding.append(holding)
            await self.wait_until(lambda: self.room.connections)
            await self.ask()

    @mock.patch.object(bounded_server, "MAX_UNSENT_BYTES", 65_536)
    async def test_answers_to_pings_that_nobody_reads(self) -> None:
        """Guards against answers of the library that grow while their client reads nothing."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (HOST, self.port))

        async def flood() -> None:
            await loop.sock_sendall(sock, PREFACE)
            while True:
                await loop.sock_sendall(sock, PING * 1000)

        with contextlib.suppress(OSError):
            async with asyncio.timeout(4 * SECONDS):
                await flood()
        events = [call.args[0] for call in self.log.write.call_args_list]
        self.assertEqual(events, [Event.ANSWERS_UNREAD])
        await self.ask()


class BoundedBufferTest(unittest.IsolatedAsyncioTestCase):
    """A stream whose message comes in many frames."""

    class Connection:
        """The connection of a client, which counts nothing."""

        def ack(self, stream: int, size: int) -> None:
            """Acknowledges."""

    async def test_frames_of_one_byte(self) -> None:
        """Guards against some hundred bytes of memory for each byte that is received."""
        buffer = message_bound.BoundedBuffer(functools.partial(self.Connection().ack, 1))
        tracemalloc.start()
        for _ in range(50_000):
            buffer.add(b"x", 1)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(held, 200_000)
        self.assertEqual(await buffer.read(50_000), b"x" * 50_000)


if __name__ == "__main__":
    unittest.main()
