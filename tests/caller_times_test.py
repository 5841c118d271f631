"""For how long an entry waits for the heads and bodies of its callers."""

import asyncio
import socket
import unittest

from tests.fake_platform import make_configuration
from tests.gateway_test import GatewayCase
from wasabidrum.platform import names

HEADER_SECONDS = 0.5
PAUSE_SECONDS = 10.0
PIECES = 12


class CallerTimesTest(GatewayCase):
    """Callers who send slowly."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        configuration = make_configuration(8, "tally")
        configuration["limits"] = {"headerTimeoutMs": HEADER_SECONDS * 1000}
        for route in configuration["routes"]:
            route["timeoutMs"] = 1000 * PAUSE_SECONDS * (PIECES + 2)
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        await self.fleet.wait_until(lambda: self.gateway.state.version == 8)
        address = self.fleet.deployments[0].callers
        self.sock = socket.create_connection((address.host, address.port))
        self.addCleanup(self.sock.close)
        # Each piece reaches the entry when it is sent.
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.head = (
            "POST /safe/a HTTP/1.1\r\nHost: tally.example\r\n"
            f"{names.REQUEST_ID}: r1\r\n{names.DEADLINE}: 600000\r\n"
            f"Content-Length: {PIECES}\r\n\r\n"
        ).encode()

    async def receive(self) -> bytes:
        async with asyncio.timeout(3 * PAUSE_SECONDS):
            return await self.loop.sock_recv(self.sock, 9999)

    async def test_head_that_takes_longer_than_published(self) -> None:
        """Guards against a limit that is published and not in force: a head that stays incomplete
        held its connection for 30 s."""
        await asyncio.sleep(PAUSE_SECONDS)
        self.sock.send(self.head[:20])
        began = self.loop.time()
        self.assertIn(b" 408 ", await self.receive())
        self.assertAlmostEqual(self.loop.time() - began, HEADER_SECONDS, delta=0.2)
        self.assertEqual(await self.receive(), b"")
        await asyncio.sleep(1.0)
        closes = self.gateway._caller_server.count_closes()
        self.assertEqual(closes.get("head_limit/answered"), 1)

    async def test_head_in_time_after_a_long_pause(self) -> None:
        """Guards against a kept connection whose next head is cut, as the time for it counts from
        the request before."""
        for _ in range(2):
            await asyncio.sleep(PAUSE_SECONDS)
            self.sock.send(self.head[:20])
            await asyncio.sleep(HEADER_SECONDS * 0.6)
            self.sock.send(self.head[20:] + b"x" * PIECES)
            self.assertIn(b" 200 ", await self.receive())

    async def test_slow_upload_in_calm(self) -> None:
        """Guards against an honest caller on a slow link whose body is given up after 30 s."""
        self.sock.send(self.head)
        for _ in range(PIECES):
            await asyncio.sleep(PAUSE_SECONDS)
            self.sock.send(b"x")
        self.assertIn(b" 200 ", await self.receive())

    async def test_body_that_stands_still(self) -> None:
        """Guards against a connection that is held for ever by a body that does not go on."""
        self.sock.send(self.head + b"x")
        async with asyncio.timeout(10 * PAUSE_SECONDS):
            self.assertIn(b" 408 ", await self.loop.sock_recv(self.sock, 9999))


if __name__ == "__main__":
    unittest.main()
