"""Callers that come back to an entry whose engines have too much work."""

import asyncio
import random

from tests.fake_platform import PlatformFleet, make_configuration, stream_events
from tests.paused_clock import PausedClockCase
from wasabidrum.decisions.stated_waits import MIN_SAMPLES
from wasabidrum.platform import names

MODEL = "m1"
SERVICE = "text"
SLOTS = 4
# Callers that were refused a moment ago.
REFUSED = 40
# Prompt tokens that wait at the engine, so that it has less than room for a request.
UNREAD_TOKENS = 2000


class ReturningCallersTest(PausedClockCase):
    """One entry and one engine."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        configuration = make_configuration(7, SERVICE)
        for route in configuration["routes"]:
            route.update(timeoutMs=6000, targetLatencyMs=600)
        engine = {"slots": SLOTS, "models": [{"name": MODEL}], "step_ms": 50, "stride": 2}
        configuration["services"] = [{"name": SERVICE, "engine": engine}]
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        self.engine = await self.fleet.add_endpoint("engine", SERVICE)
        self.engine.handler = stream_events(1, 2)
        entry = self.engine.entry(models=[{"name": MODEL, "version": 1}])
        await self.fleet.store.put(names.ENDPOINT_PREFIX + self.engine.id, entry)
        self.gateway = await self.fleet.add_gateway("entry-1")
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("engine") is not None)
        await self.fleet.wait_until(lambda: endpoints.get("engine").weights == 1)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def ask(self, number: int, deadline_ms: int) -> int:
        """Sends a request; returns the status."""
        request_id = f"r{number}"
        reply = await self.fleet.ask(
            0, SERVICE, "streaming", request_id, deadline_ms=deadline_ms, seconds=8.0
        )
        return reply.status

    async def test_they_make_way_for_new_ones_under_overload_only(self) -> None:
        """Guards against returns that are not told from new callers on their way to an engine."""
        rng = random.Random(2)
        for number in range(2 * MIN_SAMPLES):
            self.assertEqual(await self.ask(number, rng.randrange(5100, 6000)), 200)
        self.assertEqual(await self.ask(100, 3600), 200)
        # The engine is quicker than its figures say; the corrections of that decay.
        await asyncio.sleep(8.0)
        for _ in range(REFUSED):
            self.gateway.placer.record_refusal(SERVICE)
        # An idle engine takes them even then.
        self.assertEqual(await self.ask(101, 3600), 200)
        await asyncio.sleep(8.0)
        for _ in range(REFUSED):
            self.gateway.placer.record_refusal(SERVICE)
        load = self.gateway.placer.load_of(self.gateway.state.endpoints.get("engine"))
        load.unread_tokens += UNREAD_TOKENS
        self.assertEqual(await self.ask(102, 3600), 503)
        self.assertEqual(await self.ask(103, 5500), 200)
        # Half a minute later nobody is being refused any more.
        await asyncio.sleep(30.0)
        self.assertEqual(await self.ask(104, 3600), 200)
