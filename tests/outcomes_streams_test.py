"""Tests of streams under failures: complete or ended by an error, with no token wrong."""

import asyncio
import unittest

from bench.outcomes_fleet import OutcomesFleet

ENGINES = ("worker-1", "worker-2")
THREE_ENGINES = (*ENGINES, "worker-3")
WARM_ROUNDS = 5
WARM_AT_ONCE = 8
LOST_STREAMS = 3
LONGEST_WAIT_SECONDS = 10.0
HONEST = ("whole", "failed", "refused", "unknown")


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Each token contains its version, a hash of its prompt and its index, so that missing,
    repeated and mixed tokens are detected."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(OutcomesFleet())
        await self.fleet.start_all([], list(ENGINES), entries=1)

    async def spoil_all(self, **faults: object) -> None:
        """Injects the same faults into the links to both sidecars."""
        for name in ENGINES:
            await self.fleet.inject_link_faults(name, **faults)

    async def test_cut_at_every_boundary(self) -> None:
        """The link to a sidecar is cut within the head, within or between tokens, or at the end.

        The caller could take a partial response for a complete one, or receive a token twice.
        """
        caller = self.fleet.caller()

        async def answers() -> bool:
            return await caller.generate("well", 2) == "whole"

        places = (0, 1, 16, 90, 300, 700, 900, *range(1000, 1420, 37), 1700, 2000, 2500, 3000)
        for place in places:
            for stream in (True, False):
                work = asyncio.ensure_future(caller.generate(f"cut {place}", 20, stream))
                await self.spoil_all(cut_after_bytes=place)
                await asyncio.sleep(0.05)
                await self.spoil_all()
                self.assertIn(await work, HONEST, caller.problems)
                # Each cut must happen while the endpoints are in service, and the next
                # request after it must complete.
                await self.fleet.wait_until(answers, 30.0, f"an answer after {place}")
        self.assertEqual(caller.problems, [])

    async def test_engine_killed_mid_stream(self) -> None:
        """An engine dies in the middle of a stream.

        The stream must resume where it stopped, at the other engine with the same version;
        if no such engine is left it must end in an error and not look complete.
        """
        caller = self.fleet.caller()
        first = asyncio.ensure_future(caller.generate("speech", 150))
        running = await self.fleet.wait_for_running_engine(ENGINES)
        await asyncio.sleep(0.5)
        await self.fleet.members[running].endpoint.kill()
        self.assertEqual(await first, "whole", caller.problems)
        second = asyncio.ensure_future(caller.generate("speech", 150))
        await asyncio.sleep(0.7)
        for name in ENGINES:
            await self.fleet.members[name].endpoint.kill()
        self.assertIn(await second, ("failed", "unknown", "refused"), caller.problems)

    async def test_no_engine_of_the_same_version_is_left(self) -> None:
        """The engine dies in mid-stream, and all others already run the next version.

        A resumed stream would mix the output of two versions.
        """
        caller = self.fleet.caller()
        work = asyncio.ensure_future(caller.generate("long", 1200))
        running = await self.fleet.wait_for_running_engine(ENGINES)
        root = await self.fleet.make_version(total_bytes=65_536, chunk_bytes=65_536, seed=2)
        roots = {"v1": self.fleet.root, "v2": root}
        await self.fleet.publish(self.fleet.make_files("v2", roots))

        async def switched() -> bool:
            ports = [self.fleet.members[name].endpoint_port for name in ENGINES]
            return all([(await self.fleet.counters(p))["active"] == "v2" for p in ports])

        await self.fleet.wait_until(switched, 10.0, "v2 in force")
        await asyncio.sleep(1.0)
        self.assertFalse(work.done())
        await self.fleet.members[running].endpoint.kill()
        self.assertEqual(await work, "failed", caller.problems)


class SuspectStreamTest(unittest.IsolatedAsyncioTestCase):
    """Streams in progress on an engine that died resume, but no two of them at one engine."""

    async def test_more_streams_lost_than_engines_left(self) -> None:
        """An engine's instance dies with three streams, and two engines are left.

        Each of the three may have caused the crash, so two of them never run at one engine. The
        third must wait until one of the others has ended and then resume; it must not end in
        an error while both engines have free slots.
        """
        fleet = await self.enterAsyncContext(OutcomesFleet())
        await fleet.start_all([], list(THREE_ENGINES), entries=1)
        members = [fleet.members[name] for name in THREE_ENGINES]
        caller = fleet.caller()
        for number in range(WARM_ROUNDS):
            warm = [caller.generate(f"warm {number} {n}", 5) for n in range(WARM_AT_ONCE)]
            await asyncio.gather(*warm)
        streams: list[asyncio.Task[str]] = []
        running = [0] * len(members)

        async def enough_run() -> bool:
            streams.append(asyncio.ensure_future(caller.generate(f"speech {len(streams)}", 300)))
            await asyncio.sleep(0.1)
            counters = [await fleet.counters(member.endpoint_port) for member in members]
            running[:] = [counter["running"] for counter in counters]
            return max(running) >= LOST_STREAMS

        await fleet.wait_until(enough_run, LONGEST_WAIT_SECONDS, "three streams at one engine")
        dying = members[running.index(max(running))]
        await dying.endpoint.kill()
        await dying.daemon.kill()
        became = await asyncio.gather(*streams)
        whole = ["whole"] * len(streams)
        self.assertEqual(became, whole, (running, caller.codes, caller.problems))


if __name__ == "__main__":
    unittest.main()
