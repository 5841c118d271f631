"""Bodies of requests that are held back until an engine asks for them (100 Continue)."""

import asyncio
import unittest
from unittest import mock

import msgspec

from standins.key_value_store import HOST
from tests.fake_platform import ReceivedRequest, stream_events
from tests.version_bound_test import BOUND_SECONDS, PAST_SECONDS, SERVICE, VersionBoundCase
from wasabidrum.core.instance import InstanceRole
from wasabidrum.core.load import Load
from wasabidrum.core.status import Status
from wasabidrum.gateway.attempt import BODY_REQUEST_TIMEOUT_SECONDS
from wasabidrum.gateway.attempts_in_progress import AttemptsInProgress
from wasabidrum.gateway.part_guard import PartGuard

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

    async def test_engine_that_asks_for_no_body_gets_it_once_it_is_known_to_run(self) -> None:
        """Guards against an engine of other software that never gets a whole request, or gets each
        of them late."""
        self.asks = False
        asking = self.ask("r1")
        await asyncio.sleep(2.0 * BODY_REQUEST_TIMEOUT_SECONDS)
        self.assertFalse(asking.done())
        self.report(Load(slots=4))
        first = await asking
        began = asyncio.get_running_loop().time()
        second = await self.ask("r2")
        self.assertEqual((first.status, second.status), (200, 200))
        self.assertLess(asyncio.get_running_loop().time() - began, BODY_REQUEST_TIMEOUT_SECONDS)

    async def test_engine_that_was_never_heard_of_gets_no_body_while_it_is_silent(self) -> None:
        """Guards against an entry that has just started, and sends its first request to an engine
        that is suspended: it does not know yet whether engines ask."""
        named_at = await self.name_version_and_wait(2)
        self.running.clear()
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: bool(self.received))
        await asyncio.sleep(2.0 * BODY_REQUEST_TIMEOUT_SECONDS)
        self.report(Load(slots=0))
        loop = asyncio.get_running_loop()
        await asyncio.sleep(named_at + BOUND_SECONDS + PAST_SECONDS - loop.time())
        self.running.set()
        reply = await asking
        await asyncio.sleep(0.1)
        self.assertFalse(self.received[0].endswith(HEAD_END + b"x"))
        self.assertEqual((reply.status, self.old.runs.total()), (503, 0))

    async def test_engine_that_asks_after_the_bound_gets_no_body_and_no_blame(self) -> None:
        """Guards against a body that goes out after the bound where no supervision has run since,
        and against an engine that is left out because its entry kept the body."""
        await self.ask("r0")
        self.running.clear()
        named_at = await self.name_version_and_wait(2)
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: len(self.received) == 2)
        loop = asyncio.get_running_loop()
        with mock.patch.object(AttemptsInProgress, "check"):
            await asyncio.sleep(named_at + BOUND_SECONDS + PAST_SECONDS - loop.time())
            self.running.set()
            reply = await asking
        self.assertEqual((reply.status, self.old.runs.total()), (503, 1))
        failures = self.gateway.placer.load_of(self.gateway.state.endpoints.get("old")).failures
        self.assertEqual(failures.value(loop.time()), 0.0)

    async def test_body_stays_if_its_part_is_suspected_meanwhile(self) -> None:
        """Guards against a request that reaches an engine after others with the same part have
        crashed theirs, because the engine asked late for its body."""
        await self.ask("r0")
        self.running.clear()
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: len(self.received) == 2)
        with mock.patch.object(PartGuard, "allows", return_value=False):
            self.running.set()
            reply = await asking
        self.assertEqual((reply.status, self.old.runs.total()), (503, 1))

    def report(self, load: Load) -> None:
        """Lets the engine's sidecar report its load."""
        placer = self.gateway.placer
        status = Status("side", InstanceRole.SIDECAR, "run", 1, "rift", "rift-a", HOST, 0, 0)
        status = msgspec.structs.replace(status, service=SERVICE, version="1", load=load)
        placer.record_load(status)

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
