"""An entry, an engine and its sidecar with lowered limits, beside a crowd."""

import asyncio
import contextlib
import unittest

from bench.caller import Caller
from bench.cluster import Cluster, Member
from bench.fleet_files import make_base
from tests.crowds.crowd import Crowd, ProcessWatch

MEGABYTE = 1_000_000
MEMORY_MB = 128
DESCRIPTORS = 300
LIMITS = {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS, "chunk_memory_bytes": 4_000_000}
MAX_BODY_BYTES = 4_194_304
ATTEMPTS = 12
SENDING_SECONDS = 8.0
START_SECONDS = 20.0


class OwnCase(unittest.IsolatedAsyncioTestCase):
    """One entry, one engine and one service with their sidecars."""

    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(Cluster())
        await self.cluster.start_platform()
        self.sidecar = await self.cluster.start_sidecar("worker-1", "rift-a", **LIMITS)
        await self.cluster.start_sidecar("tally-1", "rift-a", "service", **LIMITS)
        self.entry = await self.cluster.start_entry("entry-1", "rift-a", **LIMITS)
        await self.cluster.publish_instances()
        root = await self.cluster.make_version(total_bytes=300_000, chunk_bytes=65_536)
        base = make_base({"v1": root}, "v1", {"worker-1": "rift-a"}, {"tally-1": "rift-a"})
        await self.cluster.publish(base | {"limits": {"body_bytes": MAX_BODY_BYTES}})
        self.caller = Caller([self.entry.caller_port], seed=1)

        async def answers() -> bool:
            return await self.caller.generate("hello", 3) == "whole"

        await self.cluster.wait_until(answers, START_SECONDS, "the first whole answer")

    def watch(self, member: Member) -> ProcessWatch:
        """Returns a watch over a daemon."""
        ports = [port for port in self.ports_of(member) if port]
        return ProcessWatch(member.daemon, "127.0.0.1", ports)

    def ports_of(self, member: Member) -> tuple[int, int, int]:
        """Returns the ports of a daemon; zero where there is none."""
        return member.caller_port, member.http_port, member.peer_port

    async def ask(self) -> str:
        """Asks for text until it is served; returns the last outcome."""
        outcome = ""
        for _ in range(ATTEMPTS):
            try:
                async with asyncio.timeout(SENDING_SECONDS):
                    outcome = await self.caller.generate("hello", 3)
            except (OSError, TimeoutError) as error:
                outcome = type(error).__name__
            if outcome == "whole":
                break
            await asyncio.sleep(1.0)
        return outcome

    async def assert_unharmed(self, member: Member, watch: ProcessWatch) -> None:
        """Asserts that a daemon lives within its limits, and that callers are served."""
        served = await self.ask()
        watch.sample()
        self.assertTrue(member.daemon.alive)
        self.assertLess(watch.held_bytes, MEMORY_MB * MEGABYTE)
        self.assertLessEqual(watch.descriptors, DESCRIPTORS)
        self.assertEqual(served, "whole")

    @contextlib.asynccontextmanager
    async def beside_crowd(self, member: Member, port: int):
        """Yields a crowd at a port; checks the daemon beside the crowd and after it."""
        async with self.watch(member) as watch:
            async with Crowd("127.0.0.1", port) as crowd:
                yield crowd
                await crowd.wait_until_sent(SENDING_SECONDS)
                await self.assert_unharmed(member, watch)
            await self.assert_unharmed(member, watch)
