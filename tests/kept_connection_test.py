"""Callers that keep their connections to an entry."""

import asyncio

from tests import gateway_test
from tests.fake_platform import Reply, make_configuration, read_reply
from wasabidrum.platform import names

PUBLISHED_IDLE_SECONDS = 60.0


class KeptConnectionTest(gateway_test.GatewayCase):
    """What callers see of a second request."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        address = self.fleet.deployments[0].callers
        self.reader, self.writer = await asyncio.open_connection(address.host, address.port)
        self.addCleanup(self.writer.close)
        self.request_count = 0

    def send(self, method: str, path: str) -> None:
        """Sends a request on the one connection."""
        self.request_count += 1
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: tally.example\r\n"
            f"{names.REQUEST_ID}: r{self.request_count}\r\n\r\n".encode()
        )

    async def ask(self) -> Reply:
        """Sends a request and returns its answer."""
        self.send("GET", "/safe/a")
        async with asyncio.timeout(10.0):
            return await read_reply(self.reader)

    async def test_request_within_the_published_idle_limit(self) -> None:
        """Guards against an entry that closes idle connections sooner than its callers are told."""
        configuration = make_configuration(8, "tally")
        configuration["limits"]["idleTimeoutMs"] = PUBLISHED_IDLE_SECONDS * 1000.0
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        await self.fleet.wait_until(lambda: self.gateway.state.version == 8)
        self.assertEqual((await self.ask()).status, 200)
        await asyncio.sleep(0.8 * PUBLISHED_IDLE_SECONDS)
        self.assertEqual((await self.ask()).status, 200)

    async def test_head_request(self) -> None:
        """Guards against an entry that closes the connection on a request whose answer may have no
        body, or sends a body that the caller takes for the next answer."""
        self.send("HEAD", "/nothing")
        async with asyncio.timeout(10.0):
            head = await self.reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 404 "), head)
        self.assertEqual((await self.ask()).status, 200)

    async def test_head_request_that_is_forwarded(self) -> None:
        """Guards against the same for the answer of an endpoint."""
        for path in ("/safe/a", "/streaming/a"):
            with self.subTest(path=path):
                self.send("HEAD", path)
                async with asyncio.timeout(10.0):
                    head = await self.reader.readuntil(b"\r\n\r\n")
                self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)
                self.assertEqual((await self.ask()).status, 200)
