"""Requests that hold too much together, and who gives way."""

import asyncio
import socket
import unittest
from unittest import mock

from tornado import netutil, web

from ..decisions.giving_way import SMALL_BYTES
from ..observe.event import Event
from . import ending_server
from .ending_server import EndingServer
from .request_room import LARGE_FRACTION, RequestRoom
from .watched_request import WatchedRequest

HOST = "127.0.0.1"
ROOM_BYTES = 400_000
BODY_BYTES = 150_000
SECONDS = 5.0
LARGE_BYTES = 16_000_000


class LengthHandler(web.RequestHandler):
    """Answers with the length of the body that it got."""

    def initialize(self, bodies: list[int]) -> None:
        """Stores where the lengths are noted."""
        self._bodies = bodies

    async def post(self) -> None:
        """Answers once it may."""
        self._bodies.append(len(self.request.body))
        self.write(str(len(self.request.body)))


class RequestRoomTest(unittest.IsolatedAsyncioTestCase):
    """A server with room for two large bodies that are not whole."""

    async def asyncSetUp(self) -> None:
        self.bodies: list[int] = []
        routes = [(r"/", LengthHandler, {"bodies": self.bodies})]
        self.server = EndingServer(web.Application(routes, log_function=lambda handler: None))
        self.server.room = self.room = RequestRoom(ROOM_BYTES, ROOM_BYTES)
        self.server.whole_copies = 1
        self.server.log = mock.Mock()
        self.server.add_sockets(netutil.bind_sockets(0, HOST))
        self.addCleanup(self.server.stop)
        self.writers: list[asyncio.StreamWriter] = []

    async def asyncTearDown(self) -> None:
        for writer in self.writers:
            writer.close()
        async with asyncio.timeout(SECONDS):
            while self.server.connection_count:
                await asyncio.sleep(0.01)
        self.assertEqual((self.room.unfinished, self.room.whole), (0, 0))

    async def send(self, sent: int, length: int = BODY_BYTES) -> asyncio.StreamReader:
        """Connects, and sends a part of a body."""
        reader, writer = await asyncio.open_connection(HOST, self.server.port)
        self.writers.append(writer)
        head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n"
        writer.write(head.encode() + bytes(sent))
        await writer.drain()
        return reader

    async def wait_for_held(self, least: int) -> None:
        async with asyncio.timeout(SECONDS):
            while self.room.unfinished < least:
                await asyncio.sleep(0.01)

    async def read_head(self, reader: asyncio.StreamReader) -> bytes:
        async with asyncio.timeout(SECONDS):
            return await reader.readuntil(b"\r\n\r\n")

    async def test_body_that_stands_still_gives_way(self) -> None:
        """Guards against room that is kept by clients who do not go on, and against a request that
        runs although it was refused as one that does not."""
        still = [await self.send(BODY_BYTES - 1) for _ in range(2)]
        await self.wait_for_held(2 * (BODY_BYTES - 1))
        await asyncio.sleep(1.1)
        fresh = await self.send(BODY_BYTES)
        self.assertIn(b" 200 ", await self.read_head(fresh))
        answered = [reader for reader in still if reader._buffer]
        self.assertEqual(len(answered), 1)
        head = await self.read_head(answered[0])
        self.assertIn(b" 503 ", head)
        self.assertIn(b"Retry-After: 1", head)
        self.writers[still.index(answered[0])].write(b"x")
        await asyncio.sleep(0.1)
        self.assertEqual(self.bodies, [BODY_BYTES])
        events = [call.args[0] for call in self.server.log.write.call_args_list]
        self.assertIn(Event.REQUEST_GAVE_WAY, events)

    async def test_slow_body_in_calm_is_served(self) -> None:
        """Guards against an honest client who is refused although there is room for all."""
        reader = await self.send(1)
        for _ in range(8):
            await asyncio.sleep(0.2)
            self.writers[0].write(bytes((BODY_BYTES - 1) // 8))
        self.writers[0].write(bytes((BODY_BYTES - 1) % 8))
        self.assertIn(b" 200 ", await self.read_head(reader))
        self.assertEqual(self.bodies, [BODY_BYTES])

    async def test_small_request_is_served_beside_large_ones(self) -> None:
        """Guards against callers of a usual size who are refused under large bodies, also within
        the first second of those."""
        for _ in range(2):
            await self.send(BODY_BYTES - 1)
        await self.wait_for_held(2 * (BODY_BYTES - 1))
        for _ in range(3):
            reader = await self.send(SMALL_BYTES - 500, SMALL_BYTES - 500)
            self.assertIn(b" 200 ", await self.read_head(reader))

    async def test_whole_requests_beyond_the_room_are_refused(self) -> None:
        """Guards against memory that whole bodies take while they wait for their answers."""
        size = int(ROOM_BYTES * LARGE_FRACTION)
        self.assertTrue(self.room.admit_whole(size))
        reader = await self.send(BODY_BYTES)
        self.assertIn(b" 503 ", await self.read_head(reader))
        self.assertEqual(self.bodies, [])
        reader = await self.send(100, 100)
        self.assertIn(b" 200 ", await self.read_head(reader))
        self.room.release_whole(size)


class UnreadAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A client that reads nothing of a large answer."""

    @mock.patch.object(ending_server, "SWEEP_SECONDS", 0.05)
    @mock.patch.object(ending_server, "UNREAD_SECONDS", 0.3)
    async def test_connection_is_closed(self) -> None:
        """Guards against connections and answers that are held for ever at ports whose handlers
        wait for nobody."""

        class LargeHandler(web.RequestHandler):
            def get(self) -> None:
                self.write(bytes(LARGE_BYTES))

        application = web.Application([(r"/", LargeHandler)], log_function=lambda handler: None)
        server = EndingServer(application)
        server.log = mock.Mock()
        server.add_sockets(netutil.bind_sockets(0, HOST))
        self.addCleanup(server.stop)
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((HOST, server.port))
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(SECONDS):
            while not server.log.write.called:
                await asyncio.sleep(0.01)
        self.assertEqual(server.log.write.call_args_list[0].args[0], Event.ANSWERS_UNREAD)
        self.assertEqual(server.connection_count, 0)


class SmallPiecesTest(unittest.TestCase):
    """A body that comes a few bytes at a time."""

    def test_pieces_are_joined(self) -> None:
        """Guards against some dozen bytes of memory for each byte that is received, as delegates
        keep an object for each piece."""
        delegate, connection = mock.Mock(), mock.Mock(_response_start_line=None)
        request = WatchedRequest(delegate, connection, mock.Mock(), lambda: True)
        for _ in range(20_000):
            request.data_received(b"xy")
        request.finish()
        pieces = [call.args[0] for call in delegate.data_received.call_args_list]
        self.assertEqual(b"".join(pieces), b"xy" * 20_000)
        self.assertLess(len(pieces), 5)


if __name__ == "__main__":
    unittest.main()
