"""Tests of answers that are broken off, at each of the clients that read answers."""

import asyncio
import collections.abc
import unittest

from tornado import httpclient

from tests.fake_platform import reset

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..endpoints.http_plain_service import make_plain_service
from . import http_client
from .kept_connection import KeptConnection

HOST = "127.0.0.1"
SECONDS = 3.0
BODY = b"whole"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n"
LENGTHLESS_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
INTERIM_HEADS = (
    b"",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
)

Ask = collections.abc.Callable[[], collections.abc.Awaitable[tuple[int, bytes]]]


class BrokenAnswersTest(unittest.IsolatedAsyncioTestCase):
    """A server that sends what a test has set, and closes or resets the connection."""

    async def asyncSetUp(self) -> None:
        self.answer = b""
        self.resets = False
        # How many bytes come after a pause, and how long that is.
        self.held_back = 0
        self.pause = 0.0
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://{HOST}:{self.port}"
        self.client = http_client.make_client()
        self.addCleanup(self.server.close)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one request."""
        await reader.readuntil(b"\r\n\r\n")
        split = len(self.answer) - self.held_back
        writer.write(self.answer[:split])
        await writer.drain()
        await asyncio.sleep(self.pause)
        writer.write(self.answer[split:])
        await writer.drain()
        if self.resets:
            # What was sent has arrived by then; a reset would discard it.
            await asyncio.sleep(0.01)
            reset(writer)
        else:
            writer.close()

    async def fetch(self) -> tuple[int, bytes]:
        """Asks with a client that returns whole answers."""
        request = httpclient.HTTPRequest(self.url, request_timeout=SECONDS)
        response = await http_client.fetch(self.client, request, "server")
        return response.code, response.body

    async def fetch_bounded(self) -> tuple[int, bytes]:
        """The same with a bound on the body."""
        request = httpclient.HTTPRequest(self.url, request_timeout=SECONDS)
        response = await http_client.fetch(self.client, request, "server", 1000)
        return response.code, response.body

    async def stream(self) -> tuple[int, bytes]:
        """Asks with a client that reads answers while they arrive."""
        request = httpclient.HTTPRequest(self.url, request_timeout=SECONDS)
        stream = await http_client.open_stream(self.client, request, "server")
        status = stream.status
        return status, b"".join([part async for part in stream.chunks()])

    async def ask_kept(self) -> tuple[int, bytes]:
        """Asks on a connection that is kept."""
        return await KeptConnection(HOST, self.port).get("/", SECONDS)

    async def call_service(self) -> tuple[int, bytes]:
        """Calls a plain service, as its sidecar does."""
        service = make_plain_service(self.client, self.url)
        reply = await service.call("GET", "/", {}, b"", SECONDS)
        return reply.status, reply.body

    @property
    def clients(self) -> list[Ask]:
        """All ways of asking."""
        return [self.fetch, self.fetch_bounded, self.stream, self.ask_kept, self.call_service]

    async def check_broken(self, ask: Ask) -> None:
        """Checks that an answer is an error of which it is not known whether the request ran."""
        with self.subTest(ask=ask.__name__, answer=self.answer, resets=self.resets):
            with self.assertRaises(CodedError) as caught:
                await ask()
            self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    async def test_head_that_is_cut_anywhere(self) -> None:
        """Guards against an answer whose head has ended too early, passed on as whole."""
        for interim in INTERIM_HEADS:
            for length in (0, 3, 15, 16, 17, 30, 41, len(HEAD) - 3, len(HEAD) - 2, len(HEAD) - 1):
                self.answer = interim + HEAD[:length]
                for self.resets in (False, True):
                    await asyncio.gather(*(self.check_broken(ask) for ask in self.clients))

    async def test_head_that_pauses_before_it_is_cut(self) -> None:
        """Guards against the same where the server falls silent before it closes."""
        self.answer, self.held_back, self.pause = HEAD[:41], 5, 1.0
        await asyncio.gather(*(self.check_broken(ask) for ask in self.clients))

    async def test_body_without_a_length_that_is_reset(self) -> None:
        """Guards against a short or an empty body, passed on as whole."""
        self.resets = True
        for body in (b"", b"who"):
            self.answer = LENGTHLESS_HEAD + body
            await asyncio.gather(*(self.check_broken(ask) for ask in self.clients))

    async def test_body_without_a_length_that_is_closed(self) -> None:
        """Guards against whole answers that are taken for broken off."""
        self.answer = LENGTHLESS_HEAD + BODY
        for ask in (self.fetch, self.fetch_bounded, self.stream, self.call_service):
            self.assertEqual(await ask(), (200, BODY))

    async def test_answer_behind_an_interim_head(self) -> None:
        """Guards against an interim head that is taken for that of the answer."""
        for interim in INTERIM_HEADS:
            self.answer = interim + HEAD + BODY
            for ask in (self.fetch, self.fetch_bounded, self.stream, self.call_service):
                with self.subTest(ask=ask.__name__, interim=interim):
                    self.assertEqual(await ask(), (200, BODY))
