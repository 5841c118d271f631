"""Tests of the kept connection against servers that answer badly."""

import asyncio
import collections.abc
import unittest

from ..core.errors import CodedError
from .kept_connection import KeptConnection

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
TIMEOUT_SECONDS = 0.3


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A server that writes given bytes for each request that it reads."""

    async def asyncSetUp(self) -> None:
        self.connections = 0
        self.requests = 0
        self.bodies: list[bytes] = []
        self.answer: collections.abc.Callable[[int], bytes] = lambda number: OK + b"a%d" % number
        self.close_after = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.connection = KeptConnection("127.0.0.1", port)

    async def asyncTearDown(self) -> None:
        self.connection.close()
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        self.connections += 1
        served = 0
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                lengths = [int(line[16:]) for line in head if line.startswith("Content-Length: ")]
                self.bodies.append(await reader.readexactly(sum(lengths)))
                self.requests += 1
                writer.write(self.answer(self.requests))
                served += 1
                if served == self.close_after:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def get(self) -> bytes:
        """Returns the body of one answer."""
        _, body = await self.connection.get("/report", TIMEOUT_SECONDS)
        return body

    async def test_requests_share_a_connection(self) -> None:
        """Guards against a handshake for each report, which the engine counts as a caller."""
        self.assertEqual([await self.get() for _ in range(5)], [b"a1", b"a2", b"a3", b"a4", b"a5"])
        self.assertEqual(self.connections, 1)

    async def test_server_closes_idle_connection(self) -> None:
        """Guards against a report that is lost because its connection was closed meanwhile."""
        self.close_after = 1
        self.assertEqual([await self.get() for _ in range(3)], [b"a1", b"a2", b"a3"])
        self.assertEqual(self.connections, 3)

    async def test_server_announces_that_it_closes(self) -> None:
        closing = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        self.answer = lambda number: closing + b"a%d" % number
        self.assertEqual([await self.get() for _ in range(2)], [b"a1", b"a2"])
        self.assertEqual(self.connections, 2)

    async def test_additional_answer_is_not_taken_for_the_next_one(self) -> None:
        """Guards against reports that are one behind for ever after an answer came twice."""
        self.answer = lambda number: (OK + b"a%d" % number) * (2 if number == 1 else 1)
        self.assertEqual([await self.get() for _ in range(3)], [b"a1", b"a2", b"a3"])
        self.assertEqual(self.connections, 2)

    async def test_connection_that_went_silent_is_replaced(self) -> None:
        """Guards against an engine that counts as lost because an old connection is silent."""
        await self.get()
        self.answer = lambda number: b"" if number == 2 else OK + b"a%d" % number
        _, body = await self.connection.get("/report", 1.0)
        self.assertEqual((body, self.connections), (b"a3", 2))

    async def test_additional_answer_that_comes_late(self) -> None:
        await self.get()
        self.connection.data_received(OK + b"a0")
        self.assertEqual(await self.get(), b"a2")
        self.assertEqual(self.connections, 2)

    async def test_bad_answers_are_errors(self) -> None:
        """Guards against a sidecar that stops reporting after bytes that are no answer."""
        for content in (
            b"HTTP/1.1 200 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            b"garbage\r\n\r\n",
            b"x" * 70_000,
            OK,
        ):
            self.answer = lambda number, content=content: content
            with self.assertRaises(CodedError, msg=content[:40]):
                await self.get()
        self.answer = lambda number: OK + b"ab"
        self.assertEqual(await self.get(), b"ab")

    async def test_bodies_that_are_sent(self) -> None:
        """Guards against a piece that is cut or lost on a connection that was closed meanwhile, and
        against an answer without a body that counts as bad."""
        self.answer = lambda number: b"HTTP/1.1 204 No Content\r\n\r\n"
        self.close_after = 2
        for size in (0, 10, 1_000_000):
            answer = await self.connection.request("PUT", "/piece", bytes(size), 5.0)
            self.assertEqual(answer, (204, b""))
        self.assertEqual([len(body) for body in self.bodies], [0, 10, 1_000_000])
        self.assertEqual(self.connections, 2)

    async def test_requests_at_the_same_time_take_turns(self) -> None:
        """Guards against answers that are taken for those to other requests."""
        answers = await asyncio.gather(*(self.get() for _ in range(5)))
        self.assertEqual(answers, [b"a1", b"a2", b"a3", b"a4", b"a5"])

    async def test_idle_connection_is_closed(self) -> None:
        """Guards against a place at the engine that is taken by nobody."""
        _, port = self.server.sockets[0].getsockname()
        self.connection = KeptConnection("127.0.0.1", port, idle_seconds=0.05)
        await self.get()
        self.assertTrue(self.connection.is_open)
        await asyncio.sleep(0.15)
        self.assertFalse(self.connection.is_open)
        self.assertEqual(await self.get(), b"a2")

    async def test_server_is_gone(self) -> None:
        await self.get()
        self.server.close()
        self.connection.close()
        with self.assertRaises(CodedError):
            await self.get()


if __name__ == "__main__":
    unittest.main()
