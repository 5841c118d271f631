"""The clock of tests that play all ends of their sockets."""

import asyncio
import time

from tests.paused_clock import PausedClockCase
from wasabidrum.core.boot_clock import boot_seconds

ROUND_TRIPS = 50


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Returns each byte that arrives."""
    while content := await reader.read(1):
        writer.write(content)
    writer.close()


class PausedClockTest(PausedClockCase):
    """Guards against tests that a busy machine turns red, or that wait for nothing."""

    async def test_work_takes_no_time(self) -> None:
        began, booted = self.loop.time(), boot_seconds()
        time.sleep(0.2)
        await asyncio.sleep(0.5)
        self.assertAlmostEqual(self.loop.time() - began, 0.5, places=3)
        self.assertAlmostEqual(boot_seconds() - booted, 0.5, places=3)

    async def test_what_was_sent_arrives_before_a_timer(self) -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        async with asyncio.timeout(0.001):
            for _ in range(ROUND_TRIPS):
                writer.write(b"x")
                await reader.readexactly(1)
        writer.close()
        server.close()

    async def test_hold_up_makes_timers_late(self) -> None:
        began = self.loop.time()
        timer = asyncio.ensure_future(asyncio.sleep(0.1))
        await asyncio.sleep(0)
        self.loop.hold_up(1.0)
        await timer
        self.assertAlmostEqual(self.loop.time() - began, 1.0, places=3)
