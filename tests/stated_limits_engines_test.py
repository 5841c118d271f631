"""Engines of which some state limits, and callers of several entries for whom others have room."""

import asyncio
import random

from tests.fake_callers import FakeCallers
from tests.fake_instances import ServingEngine
from tests.fake_platform import PlatformFleet
from tests.paused_clock import PausedClockCase
from tests.stated_limits_test import ALLOWED_EXTRA, ALLOWED_FACTOR
from tests.version_bound_test import MODEL, SERVICE, make_engines_configuration
from wasabidrum.config.deployment import Address
from wasabidrum.platform import names

ENTRIES = 3
ENGINES = 6
LIMITED = 2
LIMIT = 1.5
STREAMS_PER_SECOND = 20.0
SECONDS = 12.0
PATIENCE_SECONDS = 3.2
# Until entries that have started together know each other.
SETTLING_SECONDS = 12.0
TARGET_MS = 800


class LimitedEnginesTest(PausedClockCase):
    """Six engines, of which two state a limit that is far below what they usually get."""

    async def test_callers_go_to_engines_that_have_room(self) -> None:
        """Guards against callers who are refused because some engines are limited."""
        fleet = PlatformFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        configuration = make_engines_configuration()
        for route in configuration["routes"]:
            route.update(targetLatencyMs=TARGET_MS)
        await fleet.store.put(names.CONFIGURATION_KEY, configuration)
        engines = [ServingEngine(f"e{number}", lambda: 1) for number in range(ENGINES)]
        for engine in engines:
            await engine.start("127.0.0.1")
            self.addCleanup(engine.stop)
            await fleet.store.put(
                names.ENDPOINT_PREFIX + engine.id,
                {
                    "service": SERVICE,
                    "address": f"127.0.0.1:{engine.port}",
                    "zone": "rift-a",
                    "state": "ready",
                    "slots": 16,
                    "models": [{"name": MODEL, "version": 1}],
                },
            )
        await fleet.store.put(names.VERSION_PREFIX + MODEL, {"model": MODEL, "version": 1})
        for number in range(ENTRIES):
            await fleet.add_gateway(f"entry-{number}")
        await fleet.wait_until(lambda: all(g.ready for g in fleet.gateways), 10.0)
        await asyncio.sleep(SETTLING_SECONDS)
        for engine in engines[:LIMITED]:
            engine.limit = LIMIT
        callers = [
            FakeCallers(Address(d.callers.host, d.callers.port), SERVICE, random.Random(number))
            for number, d in enumerate(fleet.deployments)
        ]
        rate = STREAMS_PER_SECOND / ENTRIES
        await asyncio.gather(
            *(c.send_for(SECONDS, rate, lambda: PATIENCE_SECONDS) for c in callers)
        )
        for each in callers:
            await each.wait()
        statuses = {stream.status for each in callers for stream in each.streams.values()}
        self.assertEqual(statuses, {200})
        allowed = ALLOWED_FACTOR * LIMIT * SECONDS + ALLOWED_EXTRA
        for engine in engines[:LIMITED]:
            self.assertLessEqual(len(engine.runs), allowed)
