"""Tests of a server that ends, against connections that its event loop has not seen yet."""

import asyncio
import pathlib
import select
import socket
import ssl
import struct
import tempfile
import unittest
import unittest.mock

from tornado import iostream, netutil, web

from tests.certificates import Authority

from ..core.requests_in_progress import RequestsInProgress
from ..decisions.connection_end import FIRST_REQUEST_SECONDS, LINGER_SECONDS
from .ending_server import IDLE_RESPONSE, EndingServer
from .served_connection import has_event

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
PART_OF_BODY = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx"
END_SECONDS = 3.0
PAUSE_SECONDS = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class AnswerHandler(web.RequestHandler):
    """Answers all requests."""

    def get(self) -> None:
        """Answers."""
        self.write("done")


class StreamHandler(web.RequestHandler):
    """Answers with a body whose length is not stated."""

    async def get(self) -> None:
        """Answers."""
        self.write("some")
        await self.flush()


class CutHandler(web.RequestHandler):
    """Closes the connection in the middle of an answer."""

    async def get(self) -> None:
        """Begins to answer."""
        self.write("some")
        await self.flush()
        await asyncio.sleep(PAUSE_SECONDS * 2)
        self.request.connection.close()


def make_context() -> ssl.SSLContext:
    """Returns the TLS context of a server."""
    with tempfile.TemporaryDirectory() as folder:
        files = Authority("tests").write(pathlib.Path(folder), "server")
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(files["certificate"], files["key"])
        return context


class EndingServerCase(unittest.IsolatedAsyncioTestCase):
    """A server, and connections to it that the kernel has accepted."""

    def start(
        self,
        context: ssl.SSLContext | None = None,
        handler: type[web.RequestHandler] = AnswerHandler,
        idle_seconds: float = END_SECONDS,
    ) -> None:
        """Starts the server."""
        application = web.Application([(r"/", handler)], log_function=lambda handler: None)
        self.server = EndingServer(
            application, ssl_options=context, idle_connection_timeout=idle_seconds
        )
        self.server.idle_response = IDLE_RESPONSE
        self.server.add_sockets(netutil.bind_sockets(0, HOST))
        self.addCleanup(self.server.stop)

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
        self.start(make_context())
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


async def wait_until_closed(caller: socket.socket) -> None:
    """Waits until a caller's connection is closed by the server, and the kernel knows."""
    while not has_event(caller, select.POLLRDHUP):
        await asyncio.sleep(0)


class IdleConnectionsTest(EndingServerCase):
    """Connections that wait for a request when the server ends."""

    async def ask(self, request: bytes = REQUEST) -> socket.socket:
        """Returns a connection on which a request was answered, and the answer was read."""
        caller = self.connect()
        caller.sendall(request)
        caller.setblocking(False)
        self.assertIn(b"200 OK", await asyncio.get_running_loop().sock_recv(caller, 999))
        await asyncio.sleep(PAUSE_SECONDS)
        return caller

    async def end(self) -> float:
        """Ends the server, and returns how many seconds that took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.server.stop_listening()
        await self.server.end_connections(RequestsInProgress(), END_SECONDS)
        return loop.time() - began

    async def test_answer_that_ends_with_its_connection(self) -> None:
        """Guards against a caller that reads the response for idle connections as the end of an
        answer that has no length."""
        self.start(handler=StreamHandler)
        caller = await self.ask(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        reader, writer = await asyncio.open_connection(sock=caller)
        _, rest = await asyncio.gather(self.end(), reader.read())
        writer.close()
        self.assertNotIn(b"408", rest)

    async def test_caller_that_reads_nothing(self) -> None:
        """Guards against an end that waits for a caller who takes no byte of the response for idle
        connections."""
        self.start()
        await self.ask()
        full = unittest.mock.patch.object(iostream.IOStream, "write_to_fd", return_value=0)
        with full:
            self.assertLess(await self.end(), END_SECONDS / 2)

    async def test_handshake_that_does_not_come(self) -> None:
        """Guards against an end that waits for a caller who begins no TLS handshake."""
        self.start(make_context())
        self.connect()
        await asyncio.sleep(FIRST_REQUEST_SECONDS)
        self.assertLess(await self.end(), END_SECONDS / 2)

    async def test_request_that_crosses_the_idle_limit(self) -> None:
        """Guards against a caller whose request is on its way when its connection is closed for
        having been idle, and who gets no word."""
        self.start(idle_seconds=PAUSE_SECONDS * 2)
        caller = await self.ask()
        await wait_until_closed(caller)
        caller.send(REQUEST)
        answer = await asyncio.get_running_loop().sock_recv(caller, 999)
        self.assertIn(b" 408 ", answer)

    async def test_body_that_follows_a_late_head(self) -> None:
        """Guards against a reset under a request that crosses the close, while its caller still
        sends."""
        self.start()
        caller = await self.ask()
        ending = asyncio.ensure_future(self.end())
        await wait_until_closed(caller)
        for part in (PART_OF_BODY[:-1], b"xy"):
            await asyncio.sleep(LINGER_SECONDS * 0.7)
            caller.send(part)
        await asyncio.sleep(PAUSE_SECONDS)
        reset = has_event(caller, select.POLLHUP | select.POLLERR)
        await ending
        self.assertFalse(reset)

    async def test_connection_on_which_nothing_was_asked(self) -> None:
        """Guards against a count that tells of an answer where there was no request."""
        self.start()
        self.connect()
        await asyncio.sleep(FIRST_REQUEST_SECONDS)
        await self.end()
        self.assertEqual(self.server.count_closes(), {"server_ends/unread": 1})

    async def test_head_that_is_completed_after_its_refusal(self) -> None:
        """Guards against a request that was refused in part and counts as one that crossed the
        close of an idle connection."""
        self.start()
        caller = self.connect()
        caller.send(REQUEST[:9])
        await asyncio.sleep(PAUSE_SECONDS)
        ending = asyncio.ensure_future(self.end())
        await wait_until_closed(caller)
        caller.send(REQUEST[9:])
        await ending
        self.assertEqual((self.server.counts.partial, self.server.counts.crossed), (1, 0))

    async def test_answer_that_is_cut(self) -> None:
        """Guards against a close under an answer that is counted as one between requests."""
        self.start(handler=CutHandler)
        reader, writer = await asyncio.open_connection(sock=await self.ask())
        await reader.read()
        writer.close()
        await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual(self.server.count_closes(), {"other/answering": 1})


if __name__ == "__main__":
    unittest.main()
