"""Connections whose time is up while an iteration of the event loop is late, over real sockets."""

import asyncio
import socket

from tornado import netutil, web

from tests.paused_clock import PausedClockCase

from ..decisions.connection_end import LINGER_SECONDS
from .ending_server import IDLE_RESPONSE, EndingServer
from .served_connection import has_input

TIMEOUT_SECONDS = 1.0
# Callers may send until four fifths of the time have passed.
SENT_AFTER_SECONDS = 0.8
LATE_SECONDS = 0.28
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
POST_BUT_LAST_BYTE = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx"


class Handler(web.RequestHandler):
    """Answers everything."""

    def get(self) -> None:
        """Answers."""
        self.write("done")

    post = get


class ReadTimerTest(PausedClockCase):
    """What the callers of a server with short timeouts see."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        application = web.Application([("/", Handler)], log_function=lambda handler: None)
        server = self.server = EndingServer(
            application,
            idle_connection_timeout=TIMEOUT_SECONDS,
            body_timeout=TIMEOUT_SECONDS,
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        self.sock = socket.create_connection(sockets[0].getsockname())
        self.addCleanup(self.sock.close)
        self.sock.setblocking(False)

    async def receive(self) -> bytes:
        """Returns what comes next; nothing if the connection is closed."""
        async with asyncio.timeout(10.0):
            return await self.loop.sock_recv(self.sock, 9999)

    async def test_request_on_a_kept_connection(self) -> None:
        """Guards against a server that closes a kept connection as idle in the late iteration that
        has read the next request."""
        self.sock.send(GET)
        self.assertIn(b"200 OK", await self.receive())
        await asyncio.sleep(SENT_AFTER_SECONDS)
        self.sock.send(GET)
        self.loop.hold_up(LATE_SECONDS)
        self.assertIn(b"200 OK", await self.receive())

    async def test_rest_of_a_body(self) -> None:
        """Guards against a server that gives up a body in the late iteration that has read the
        rest of it."""
        self.sock.send(POST_BUT_LAST_BYTE)
        await asyncio.sleep(SENT_AFTER_SECONDS)
        self.sock.send(b"y")
        self.loop.hold_up(LATE_SECONDS)
        self.assertIn(b"200 OK", await self.receive())

    async def test_callers_that_are_late_get_word(self) -> None:
        """Guards against a caller with a part of a request, or whose request crosses the close of
        an idle connection, who gets no word when its time is up."""
        self.server.idle_response = IDLE_RESPONSE
        for sent, crossing in ((GET[:9], b""), (POST_BUT_LAST_BYTE, b"y"), (b"", GET)):
            with self.subTest(sent=sent):
                sock = socket.create_connection(self.sock.getpeername())
                self.addCleanup(sock.close)
                sock.setblocking(False)
                sock.send(sent)
                await asyncio.sleep(TIMEOUT_SECONDS)
                while not has_input(sock):
                    await asyncio.sleep(0)
                sock.send(crossing)
                await asyncio.sleep(LINGER_SECONDS * 1.5)
                async with asyncio.timeout(10.0):
                    self.assertIn(b" 408 ", await self.loop.sock_recv(sock, 9999))
                    self.assertEqual(await self.loop.sock_recv(sock, 9999), b"")

    async def test_callers_that_send_no_more(self) -> None:
        """Guards against connections that stay open for callers that are silent."""
        for sent in (b"", GET[:9], POST_BUT_LAST_BYTE):
            with self.subTest(sent=sent):
                sock = socket.create_connection(self.sock.getpeername())
                self.addCleanup(sock.close)
                sock.setblocking(False)
                sock.send(sent)
                began = self.loop.time()
                async with asyncio.timeout(10.0):
                    self.assertEqual(await self.loop.sock_recv(sock, 9999), b"")
                self.assertAlmostEqual(self.loop.time() - began, TIMEOUT_SECONDS, delta=0.1)
