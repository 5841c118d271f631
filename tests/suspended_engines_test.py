"""Engines that are suspended around a naming, with requests that they have read and not begun."""

import asyncio
import random
import unittest

from tests.fake_callers import FakeCallers
from tests.fake_instances import ServingEngine
from tests.fake_platform import PlatformFleet
from tests.paused_clock import PausedClockCase
from tests.version_bound_test import MODEL, SERVICE, make_engines_configuration
from wasabidrum.config.deployment import Address
from wasabidrum.platform import names

ENGINES = 3
SEEDS = range(4)
STREAMS_PER_SECOND = 16.0
DAY_SECONDS = 14.0
TARGET_MS = 800
PAUSE_MS = 400
# Callers leave a stream after the longest of two seconds, four targets and eight pauses.
PATIENCE_SECONDS = 3.2
NAMED_AT_SECONDS = 3.0
# From when two engines are to be suspended until each has requests to be suspended with.
LONGEST_WAIT_SECONDS = 3.0
# How long after its caller has left an engine may still begin a request.
GONE_SECONDS = 0.5


class SuspendedEnginesTest(PausedClockCase):
    """Three engines, of which two are suspended at a time, and one entry.

    The third engine has no room for what waits at the others.
    """

    async def start(self, seed: int) -> None:
        """Starts the fleet with version 1 in force."""
        self.rng = random.Random(seed)
        self.weights = dict.fromkeys(range(ENGINES), 1)
        self.fleet = PlatformFleet()
        await self.fleet.start()
        configuration = make_engines_configuration()
        for route in configuration["routes"]:
            route.update(targetLatencyMs=TARGET_MS, gapTargetMs=PAUSE_MS)
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        self.engines = [
            ServingEngine(f"e{number}", lambda number=number: self.weights[number])
            for number in range(ENGINES)
        ]
        for number, engine in enumerate(self.engines):
            await engine.start("127.0.0.1")
            await self.register(number)
        await self.name_version(1)
        gateway = await self.fleet.add_gateway("entry-1")
        await self.fleet.wait_until(lambda: gateway.ready)
        callers = self.fleet.deployments[0].callers
        self.callers = FakeCallers(Address(callers.host, callers.port), SERVICE, self.rng)
        # How many requests had been read and not begun at each suspension.
        self.unbegun: list[int] = []

    async def stop(self) -> None:
        """Stops the fleet."""
        for engine in self.engines:
            engine.stop()
        await self.fleet.stop()

    async def register(self, number: int) -> None:
        """Registers an engine with the version that it serves."""
        engine, version = self.engines[number], self.weights[number]
        await self.fleet.store.put(
            names.ENDPOINT_PREFIX + engine.id,
            {
                "service": SERVICE,
                "address": f"127.0.0.1:{engine.port}",
                "zone": "rift-a",
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
                "models": [{"name": MODEL, "version": version}],
            },
        )

    async def name_version(self, version: int) -> None:
        """Names a version."""
        value = {"model": MODEL, "version": version}
        await self.fleet.store.put(names.VERSION_PREFIX + MODEL, value)

    async def suspend_two(self, after: float, seconds: float) -> None:
        """Suspends two engines, each with requests that it has read and not begun."""
        await asyncio.sleep(after)
        async with asyncio.timeout(LONGEST_WAIT_SECONDS):
            while len(waiting := [engine for engine in self.engines if engine.waiting]) < 2:
                await asyncio.sleep(0.01)
        suspended = waiting[:2]
        for engine in suspended:
            self.unbegun.append(len(engine.waiting))
            engine.suspend()
        await asyncio.sleep(seconds)
        for engine in suspended:
            engine.wake()

    async def name_and_switch(self) -> None:
        """Names version 2, to which the engines switch one by one a few seconds later."""
        await asyncio.sleep(NAMED_AT_SECONDS)
        await self.name_version(2)
        await asyncio.sleep(4.0)
        for number in reversed(range(ENGINES)):
            await asyncio.sleep(1.0)
            self.weights[number] = 2
            await self.register(number)

    async def play(self, seed: int) -> None:
        """Plays a day in which two engines are suspended twice, across a naming."""
        await self.start(seed)
        suspensions = asyncio.gather(
            self.suspend_two(2.0, self.rng.uniform(4.2, 4.8)),
            self.suspend_two(9.0, self.rng.uniform(4.2, 4.8)),
            self.name_and_switch(),
        )
        await self.callers.send_for(DAY_SECONDS, STREAMS_PER_SECOND, lambda: PATIENCE_SECONDS)
        await suspensions
        await self.callers.wait()
        await self.stop()
        self.assertGreater(min(self.unbegun), 0)
        self.assertEqual(len(self.unbegun), 4)

    def begun_for_nobody(self) -> list[str]:
        """Returns the requests that began after their callers had left, and how much later."""
        found = []
        for run in (run for engine in self.engines for run in engine.runs):
            left_at = self.callers.streams[run.request_id].left_at
            if left_at is not None and run.began_at > left_at + GONE_SECONDS:
                found.append(f"{run.request_id}: {run.began_at - left_at:.2f} s")
        return found

    async def test_waking_engine_works_for_no_caller_that_has_left(self) -> None:
        """Guards against engines that begin, on waking, what callers have stopped waiting for."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.play(seed)
                self.assertEqual(self.begun_for_nobody(), [])


if __name__ == "__main__":
    unittest.main()
