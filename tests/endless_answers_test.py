"""Endpoints, or something at their addresses, that send bytes without end until cut off."""

import asyncio
import contextlib
import unittest

from tests.fake_platform import answer_ok, response_head
from tests.gateway_test import GatewayCase
from wasabidrum.platform import names
from wasabidrum.weights.chunk_member import CHUNK_PORT_OFFSET

BLOCK = b"x" * 65_536
STATUS = b"HTTP/1.1 200 OK\r\n"
# More than any bound lets through, so that a test without a bound ends.
MOST_BYTES = 24 * 1_048_576


class Flood:
    """Answers of one endpoint that have no end.

    Attributes:
      sent: The most bytes that one answer has brought to its reader.
      ended: Answers that their reader has cut off.
    """

    def __init__(self, start, block: bytes, pause: float = 0.0) -> None:
        self._start = start
        self._block = block
        self._pause = pause
        self.sent = 0
        self.ended = 0

    async def __call__(self, endpoint, request, writer) -> None:
        endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
        start = self._start(request, endpoint) if callable(self._start) else self._start
        writer.write(start)
        sent = 0
        try:
            while sent < MOST_BYTES:
                writer.write(self._block)
                await writer.drain()
                sent += len(self._block)
                self.sent = max(self.sent, sent)
                await asyncio.sleep(self._pause)
        except (ConnectionError, asyncio.CancelledError):
            self.ended += 1


def body_head(*lines: str):
    """Returns what makes the head of an answer with a body."""
    return lambda request, endpoint: response_head(request, endpoint, "200 OK", *lines)


FLOODS = {
    "bytes before a status line": lambda: Flood(b"", BLOCK),
    "empty lines": lambda: Flood(b"", b"\r\n" * 1000),
    "header line": lambda: Flood(STATUS + b"X-Own: ", BLOCK),
    "header lines": lambda: Flood(STATUS, b"X-Own: 1\r\n" * 1000),
    "interim answers": lambda: Flood(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    "body without a length": lambda: Flood(body_head(), BLOCK),
    "body of chunks": lambda: Flood(
        body_head("Transfer-Encoding: chunked"), b"10000\r\n" + BLOCK + b"\r\n"
    ),
    "body of small chunks": lambda: Flood(
        body_head("Transfer-Encoding: chunked"), b"1\r\nx\r\n" * 1000
    ),
    "extension of a chunk": lambda: Flood(body_head("Transfer-Encoding: chunked"), BLOCK),
    "body with a length": lambda: Flood(body_head(f"Content-Length: {10**12}"), BLOCK),
    "head that trickles": lambda: Flood(STATUS, b"X", pause=0.02),
}


class EndlessAnswersTest(GatewayCase):
    """Two endpoints, of which one or both flood whoever asks them."""

    async def ask_flooding(self, kind: str, flood: Flood):
        """Returns the id of a request whose first endpoint floods, that endpoint, and the reply."""
        flooding = []

        async def flood_first(endpoint, request, writer) -> None:
            if not flooding:
                flooding.append(endpoint)
                await flood(endpoint, request, writer)
            else:
                await answer_ok(endpoint, request, writer)

        self.asked = getattr(self, "asked", 0) + 1
        request = f"{kind}-{self.asked}"
        self.set_both(flood_first)
        reply = await self.fleet.ask(0, "tally", kind, request, body=request.encode())
        return request, flooding[0], reply

    async def test_request_that_may_be_repeated_is_answered_elsewhere(self) -> None:
        """Guards against an entry whose memory fills, or whose caller waits until its deadline."""
        for name, make_flood in FLOODS.items():
            with self.subTest(name=name):
                flood = make_flood()
                began = asyncio.get_running_loop().time()
                request, flooding, reply = await self.ask_flooding("safe", flood)
                self.assertEqual(reply.status, 200)
                self.assertNotEqual(reply.body, flooding.id.encode())
                self.assertEqual(self.runs(request), 2)
                self.assertLess(asyncio.get_running_loop().time() - began, 1.5)
                self.assertLess(flood.sent, MOST_BYTES)
                await self.assert_failure_counted(flooding.id)

    async def test_request_that_may_not_be_repeated_has_an_unknown_outcome(self) -> None:
        """Guards against a caller that is told that its request has not run."""
        for name, make_flood in FLOODS.items():
            with self.subTest(name=name):
                request, flooding, reply = await self.ask_flooding("unsafe", make_flood())
                self.assertEqual(reply.status, 502)
                self.assertIn(b'"outcome":"unknown"', reply.body)
                self.assertEqual(self.runs(request), 1)
                await self.assert_failure_counted(flooding.id)

    async def test_flood_does_not_count_as_a_crash(self) -> None:
        """Guards against a request that is blocked because two addresses sent bytes without end."""
        for name, make_flood in FLOODS.items():
            with self.subTest(name=name):
                self.set_both(make_flood())
                body = name.encode()
                reply = await self.fleet.ask(0, "tally", "safe", f"{name}-1", body=body)
                self.assertEqual(reply.status, 502)
                reply = await self.fleet.ask(0, "tally", "safe", f"{name}-2", body=body)
                self.assertNotIn(b"request_blocked", reply.body)
                await self.restart_endpoints()

    async def test_answer_in_parts_after_the_deadline_ends(self) -> None:
        """Guards against a stream that goes on for as long as its endpoint always has more."""
        stream = body_head("Content-Type: text/event-stream")
        flood = Flood(stream, b"id: 1\ndata: t\n\n", pause=0.002)
        self.set_both(flood)
        began = asyncio.get_running_loop().time()
        reply = await self.fleet.ask(0, "tally", "streaming", "r1", seconds=20.0)
        self.assertFalse(reply.whole)
        self.assertLess(asyncio.get_running_loop().time() - began, 2.5)

    async def test_bodies_of_requests_to_other_ports(self) -> None:
        """Guards against a caller of a port that takes no bodies, who fills the memory with one."""
        deployment = self.fleet.deployments[0]
        first = deployment.first_port
        for port in (deployment.readiness.port, first + 2, first + CHUNK_PORT_OFFSET):
            with self.subTest(port=port - first):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
                sent = 0
                with contextlib.suppress(ConnectionError):
                    while sent < MOST_BYTES:
                        writer.write(b"10000\r\n" + BLOCK + b"\r\n")
                        await writer.drain()
                        sent += len(BLOCK)
                writer.close()
                self.assertLess(sent, MOST_BYTES)

    async def assert_failure_counted(self, name: str) -> None:
        """Asserts that the flooding endpoint counts as failing, and makes it sound again."""
        loop = asyncio.get_running_loop()
        endpoint = self.gateway.state.endpoints.get(name)
        self.assertGreater(self.gateway.placer.load_of(endpoint).failures.value(loop.time()), 0.0)
        await self.restart_endpoints()

    async def restart_endpoints(self) -> None:
        """Lists both endpoints as started again, with no failures."""
        self.started = getattr(self, "started", 100) + 1
        listed = self.gateway.state.endpoints
        for endpoint in (self.a, self.b):
            await self.fleet.store.put(
                names.ENDPOINT_PREFIX + endpoint.id, endpoint.entry(born=self.started)
            )
        await self.fleet.wait_until(
            lambda: all(listed.get(name).started_at == self.started for name in "ab")
        )


if __name__ == "__main__":
    unittest.main()
