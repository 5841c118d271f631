"""Tests of a server that ends, against connections that its event loop has not seen yet."""

import asyncio
import pathlib
import socket
import ssl
import struct
import tempfile
import unittest
import unittest.mock

from tornado import netutil, web

from tests.certificates import Authority

from ..core.requests_in_progress import RequestsInProgress
from .ending_server import EndingServer

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
PART_OF_BODY = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx"
END_SECONDS = 3.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class AnswerHandler(web.RequestHandler):
    """Answers all requests."""

    def get(self) -> None:
        """Answers."""
        self.write("done")


class EndingServerCase(unittest.IsolatedAsyncioTestCase):
    """A server, and connections to it that the kernel has accepted."""

    def start(self, context: ssl.SSLContext | None = None) -> None:
        """Starts the server."""
        application = web.Application([(r"/", AnswerHandler)], log_function=lambda handler: None)
        self.server = EndingServer(application, ssl_options=context)
        self.server.add_sockets(netutil.bind_sockets(0, HOST))

    def connect(self) -> socket.socket:
        """Connects without a turn of the event loop."""
        sock = socket.create_connection((HOST, self.server.port), timeout=END_SECONDS)
        self.addCleanup(sock.close)
        return sock


class BusyServerTest(EndingServerCase):
    """A server that ends while a request is in progress."""

    async def test_half_a_request_is_refused_at_once(self) -> None:
        """Guards against a caller with half a request who is told that it is refused only when the
        requests of others have ended."""
        self.start()
        caller = self.connect()
        caller.sendall(REQUEST)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        self.assertIn(b"200 OK", await loop.sock_recv(caller, 999))
        self.server.stop_listening()
        requests = RequestsInProgress()
        with requests.track():
            ending = asyncio.ensure_future(self.server.end_connections(requests, END_SECONDS))
            await asyncio.sleep(0.1)
            caller.send(REQUEST[:9])
            async with asyncio.timeout(END_SECONDS / 2):
                self.assertIn(b" 503 ", await loop.sock_recv(caller, 999))
        caller.close()
        await ending


class CountedClosesTest(EndingServerCase):
    """What a server counts and logs of the connections that it closes."""

    async def test_closes_that_leave_a_caller_without_an_answer(self) -> None:
        """Guards against a connection that is closed with a part of a request, and no line tells
        of it."""
        application = web.Application([(r"/", AnswerHandler)], log_function=lambda handler: None)
        self.server = EndingServer(application, idle_connection_timeout=0.1, body_timeout=0.1)
        self.server.log = unittest.mock.Mock()
        self.server.add_sockets(netutil.bind_sockets(0, HOST))
        self.addCleanup(self.server.stop)
        loop = asyncio.get_running_loop()
        for sent in (b"", REQUEST[:9], PART_OF_BODY):
            caller = self.connect()
            caller.sendall(sent)
            caller.setblocking(False)
            async with asyncio.timeout(END_SECONDS):
                self.assertEqual(await loop.sock_recv(caller, 999), b"")
        self.assertEqual(
            self.server.count_closes(),
            {"idle_limit/unread": 1, "idle_limit/part": 1, "body_limit/part": 1},
        )
        causes = [call.kwargs["cause"] for call in self.server.log.write.call_args_list]
        self.assertEqual(causes, ["idle_limit", "body_limit"])


class TlsBacklogTest(EndingServerCase):
    """Connections that come while the server stops listening, with TLS."""

    async def test_peer_that_resets_in_the_backlog(self) -> None:
        """Guards against one peer that gives up and thereby ends the stop, and with it all other
        requests."""
        with tempfile.TemporaryDirectory() as folder:
            files = Authority("tests").write(pathlib.Path(folder), "server")
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(files["certificate"], files["key"])
        self.start(context)
        for sent in (b"", b"\x16\x03\x01"):
            peer = self.connect()
            peer.sendall(sent)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            peer.close()
        trusting = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        trusting.check_hostname, trusting.verify_mode = False, ssl.CERT_NONE
        caller = self.connect()
        caller.setblocking(False)
        opening = asyncio.ensure_future(
            asyncio.open_connection(sock=caller, ssl=trusting, server_hostname=HOST)
        )
        with self.assertLogs("tornado.general", "WARNING"):
            self.server.stop_listening()
        ending = asyncio.ensure_future(
            self.server.end_connections(RequestsInProgress(), END_SECONDS)
        )
        reader, writer = await opening
        writer.write(REQUEST)
        self.assertIn(b"200 OK", await reader.readline())
        writer.close()
        await ending


if __name__ == "__main__":
    unittest.main()
