"""Callers that read slowly or not at all, and requests that engines' memory does not hold."""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from tests.fake_platform import answer_ok, make_configuration, response_head
from tests.gateway_test import GatewayCase
from wasabidrum.decisions.buffer_budget import BufferBudget
from wasabidrum.gateway import exchange
from wasabidrum.platform import names

EVENT_BYTES = 8192
MIB = 1_048_576
# The kernel takes up to about ten megabytes of an answer that is not read.
UNREAD_BYTES = 15 * MIB


def stream_of(size: int):
    """Returns a handler that streams events of some bytes in all, as fast as they are read."""

    async def handler(endpoint, request, writer) -> None:
        more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
        writer.write(response_head(request, endpoint, "200 OK", *more))
        with contextlib.suppress(ConnectionError):
            for number in range(1, size // EVENT_BYTES + 1):
                event = b"id: %d\ndata: " % number
                event += b"x" * (EVENT_BYTES - len(event) - 2) + b"\n\n"
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    return handler


def whole_answer(size: int):
    """Returns a handler that answers with a body of some bytes."""

    async def handler(endpoint, request, writer) -> None:
        writer.write(response_head(request, endpoint, "200 OK", f"Content-Length: {size}"))
        writer.write(b"x" * size)
        await writer.drain()

    return handler


class SlowCallersTest(GatewayCase):
    """Two endpoints that answer at full speed."""

    def open_unread(self, kind: str, request_id: str) -> socket.socket:
        """Sends a request whose answer is not read."""
        address = self.fleet.deployments[0].callers
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((address.host, address.port))
        sock.sendall(
            f"POST /{kind}/a HTTP/1.1\r\nHost: tally.example\r\n"
            f"{names.REQUEST_ID}: {request_id}\r\n"
            f"{names.DEADLINE}: 20000\r\nContent-Length: 0\r\n\r\n".encode()
        )
        sock.setblocking(False)
        self.addCleanup(sock.close)
        return sock

    async def test_endpoint_does_not_wait_for_a_caller_that_does_not_read(self) -> None:
        """Guards against an answer that is cut off because its caller reads slowly."""
        self.set_both(stream_of(UNREAD_BYTES))
        self.open_unread("streaming", "r1")
        await self.fleet.wait_until(lambda: self.gateway.buffers.used > MIB, 1.0)

    async def test_callers_that_do_not_read_stop_no_others(self) -> None:
        """Guards against memory that grows with what endpoints send, against answers that wait for
        another's caller, and against endpoints that count as silent for their callers."""
        self.gateway.buffers = BufferBudget(64 * MIB)
        self.set_both(stream_of(UNREAD_BYTES))
        for number in range(6):
            self.open_unread("streaming", f"slow-{number}")
        await self.fleet.wait_until(lambda: self.a.runs.total() + self.b.runs.total() == 6)
        await asyncio.sleep(0.8)
        self.assertLess(self.gateway.buffers.used, 8 * MIB)
        self.set_both(answer_ok)
        reply = await self.fleet.ask(0, "tally", "safe", "r1")
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.a.closed_early + self.b.closed_early, 0)

    async def test_new_requests_are_refused_before_memory_is_used_up(self) -> None:
        """Guards against a process that is killed for its memory, and against one that goes on
        refusing when callers have gone."""
        self.gateway.buffers = BufferBudget(48 * MIB)
        self.set_both(whole_answer(10 * MIB))
        sockets = []
        for number in range(8):
            sockets.append(self.open_unread("safe", f"slow-{number}"))
            await asyncio.sleep(0.2)
        self.assertLess(self.gateway.buffers.used, 48 * MIB)
        reply = await self.fleet.ask(0, "tally", "safe", "r1", body=b"x" * 50_000)
        self.assertEqual(reply.status, 503)
        self.assertIn(b"memory_short", reply.body)
        self.assertIn("retry-after", reply.headers)
        self.assertEqual(self.runs("r1"), 0)
        for sock in sockets:
            sock.close()
        await asyncio.sleep(0.5)
        self.assertEqual(self.gateway.buffers.used, 0)
        reply = await self.fleet.ask(0, "tally", "safe", "r2")
        self.assertEqual(reply.status, 200)

    @mock.patch.object(exchange, "CALLER_STALL_SECONDS", 2.0)
    @mock.patch.object(exchange, "MIN_CALLER_BYTES_PER_SECOND", 8 * MIB)
    async def test_caller_that_never_reads_loses_its_connection(self) -> None:
        """Guards against memory that is held for ever."""
        for kind, handler in (
            ("safe", whole_answer(UNREAD_BYTES)),
            ("streaming", stream_of(UNREAD_BYTES)),
        ):
            with self.subTest(kind=kind):
                self.set_both(handler)
                self.open_unread(kind, f"{kind}-1")
                await asyncio.sleep(0.5)
                self.assertGreater(self.gateway.buffers.used, 0)
                await asyncio.sleep(6.0)
                self.assertEqual(self.gateway.buffers.used, 0)


class EngineMemoryTest(GatewayCase):
    """Engines whose memory holds ten thousand tokens."""

    async def test_request_that_never_fits_is_refused_at_once(self) -> None:
        """Guards against a request that waits until its deadline, and reaches an engine in vain."""
        configuration = make_configuration(8, "tally")
        configuration["services"][0]["engine"] = {"kvCapacityTokens": 10_000}
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        await self.fleet.wait_until(lambda: self.gateway.state.version == 8)
        began = asyncio.get_running_loop().time()
        usage = f"{names.TOKEN_USAGE}: 9000,1001"
        reply = await self.fleet.ask(0, "tally", "streaming", "r1", usage)
        self.assertEqual(reply.status, 503)
        self.assertIn(b"exceeds_engine_memory", reply.body)
        self.assertIn("retry-after", reply.headers)
        self.assertLess(asyncio.get_running_loop().time() - began, 0.3)
        reply = await self.fleet.ask(0, "tally", "streaming", "r2", usage.replace("1001", "1000"))
        self.assertNotIn(b"exceeds_engine_memory", reply.body)


if __name__ == "__main__":
    unittest.main()
