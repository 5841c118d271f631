"""Bodies of requests that are held back until an engine asks for them (100 Continue)."""

import asyncio
import unittest

from tests.fake_platform import ReceivedRequest, stream_events
from tests.version_bound_test import BOUND_SECONDS, PAST_SECONDS, VersionBoundCase
from wasabidrum.gateway.attempt import BODY_REQUEST_TIMEOUT_SECONDS

HEAD_END = b"\r\n\r\n"


class HeldBodyTest(VersionBoundCase):
    """An engine whose connections the test serves itself."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # What each connection has brought, and whether the engine runs or is suspended.
        self.received: list[bytearray] = []
        self.running = asyncio.Event()
        self.running.set()
        self.asks = True
        self.old._serve = self.serve
        await self.old.stop()
        await self.old.start()
        await self.register(self.old, 1)
        port = self.old.port
        listed = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: listed.get("old").port == port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads a head and a body of one byte, and streams five events."""
        content = bytearray()
        self.received.append(content)
        try:
            await self.running.wait()
            content += await reader.readuntil(HEAD_END)
            if self.asks:
                writer.write(b"HTTP/1.1 100 Continue" + HEAD_END)
            content += await reader.readexactly(1)
            lines = content.decode().split("\r\n")
            names_and_values = (line.split(": ", 1) for line in lines if ": " in line)
            headers = {name.lower(): value for name, value in names_and_values}
            request = ReceivedRequest("POST", "/", headers, b"x")
            await stream_events(1, 5)(self.old, request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            # Its entry has recalled it.
            return
        finally:
            writer.close()

    async def test_suspended_engine_is_left_with_a_request_that_it_cannot_run(self) -> None:
        """Guards against a request that lies in the socket of a suspended engine, is recalled at
        the bound, and is read and run when the engine wakes; and against a caller who is not told
        that it has not run."""
        await self.ask("r0")
        named_at = await self.name_version_and_wait(2)
        self.running.clear()
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: len(self.received) == 2)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(named_at + BOUND_SECONDS + PAST_SECONDS - loop.time())
        self.running.set()
        reply = await asking
        await asyncio.sleep(0.1)
        self.assertFalse(self.received[1].endswith(HEAD_END + b"x"))
        self.assertEqual((reply.status, self.old.runs.total()), (503, 1))

    async def test_engine_that_asks_for_no_body_gets_it_after_a_moment(self) -> None:
        """Guards against an engine of other software that never gets a whole request, or gets each
        of them late."""
        self.asks = False
        loop = asyncio.get_running_loop()
        began = loop.time()
        first = await self.ask("r1")
        between = loop.time()
        second = await self.ask("r2")
        self.assertEqual((first.status, second.status), (200, 200))
        self.assertGreaterEqual(between - began, BODY_REQUEST_TIMEOUT_SECONDS)
        self.assertLess(loop.time() - between, BODY_REQUEST_TIMEOUT_SECONDS)

    async def test_engine_that_asks_gets_no_body_before(self) -> None:
        """Guards against a body that is sent on account of time to an engine that asks, but stands
        still."""
        await self.ask("r0")
        self.running.clear()
        asking = self.ask("r1")
        await asyncio.sleep(3.0 * BODY_REQUEST_TIMEOUT_SECONDS)
        self.running.set()
        reply = await asking
        self.assertEqual((reply.status, self.old.runs.total()), (200, 2))


if __name__ == "__main__":
    unittest.main()
