"""Suspended sidecars that others wait for: real sidecars, each with a fake engine."""

import asyncio

from tests.fake_engines import EngineFleet, FakeStagingEngine
from tests.paused_clock import PausedClockCase
from wasabidrum.weights.chunk_member import CHUNK_PORT_OFFSET

ENGINES = 4
# Covers twelve pieces of 4 KiB over loopback, the reads before them and the load order after.
WITHOUT_FAULT_SECONDS = 1.5
# Reading a list despite a silent peer takes 0.6 s, detecting the peer twice at most a second, and
# a turn to fetch a quarter; the rest allows for a busy machine. Without detection: 8.7 s in all.
NOTICED_SECONDS = 4.5


class SilentListener:
    """Replaces a suspended process: connections are accepted, and nothing is read from them."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self, host: str, port: int) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._hold, host, port)

    def stop(self) -> None:
        """Closes the listener and its connections, as when the process is killed."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _hold(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)


class HeldUpTest(PausedClockCase):
    """Four engines that start with version 1; version 2 is named."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = EngineFleet()
        await self.fleet.start()
        for _ in range(ENGINES):
            await self.fleet.add_engine(1)
        await asyncio.sleep(0.8)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def seconds_until(self, engines: list[FakeStagingEngine], version: int) -> float:
        """Returns the time until all these engines serve a version."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.timeout(30.0):
            while any(engine.version != version for engine in engines):
                await asyncio.sleep(0.02)
        return loop.time() - began

    async def test_suspended_sidecar_does_not_delay_others(self) -> None:
        """A sidecar is suspended before it has fetched its part of a version: connections to it are
        accepted and nothing responds. If all others waited for that part, and probed the suspended
        sidecar before each chunk of their own, no engine would have the version for several
        seconds, and requests would be refused once the bound for the old weights has passed."""
        silent = SilentListener()
        self.addCleanup(silent.stop)
        suspended, *others = self.fleet.engines
        await self.fleet.sidecars[0].stop()
        await silent.start(suspended.host, self.fleet.first_port + CHUNK_PORT_OFFSET)
        sent = self.fleet.origin.copies
        await self.fleet.name_version(2)
        seconds = await self.seconds_until(others, 2)
        self.assertLess(seconds, WITHOUT_FAULT_SECONDS + NOTICED_SECONDS)
        # Its part is fetched by one other sidecar, not by all that wait for it.
        self.assertLess(self.fleet.origin.copies - sent, 1.3)

    async def test_replaced_sidecar_gets_missed_version_from_peers(self) -> None:
        """A suspended sidecar is replaced while the origin is down. The others have excluded it
        from their fetches, but it has excluded none of them, and can get every piece from them."""
        silent = SilentListener()
        suspended, *others = self.fleet.engines
        await self.fleet.sidecars[0].stop()
        await silent.start(suspended.host, self.fleet.first_port + CHUNK_PORT_OFFSET)
        await self.fleet.name_version(2)
        await self.seconds_until(others, 2)
        silent.stop()
        self.fleet.origin.refuses_pieces = True
        self.fleet.sidecars[0] = await self.fleet.start_sidecar(suspended)
        seconds = await self.seconds_until([suspended], 2)
        self.assertLess(seconds, 2 * WITHOUT_FAULT_SECONDS + NOTICED_SECONDS)
