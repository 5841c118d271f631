"""A version that is named while the link of an engine's instance is narrow."""

import asyncio
import random
import unittest
from unittest import mock

from tests.fake_callers import FakeCallers
from tests.fake_engines import LAYERS, PIECES, SERVICE, EngineFleet, FakeStagingEngine
from tests.fake_instances import NarrowLink, ServingEngine
from tests.fake_platform import make_configuration
from tests.paused_clock import PausedClockCase
from wasabidrum.config.deployment import Address
from wasabidrum.gateway.published_state import PublishedState
from wasabidrum.platform import names

SEEDS = range(2)
STREAMS_PER_SECOND = 12.0
PATIENCE_SECONDS = 3.2
BOUND_SECONDS = 8.0
NARROW_BEFORE_NAMING_SECONDS = 1.5
# Seven prompts of callers a second.
NARROW_BYTES_PER_SECOND = 12_000.0
WIDE_AFTER_NAMING_SECONDS = 10.0
# What is sent to the sidecar at once, before it can know that the link is narrow.
WEIGHTS_AFTER_NAMING_SECONDS = 4.6
WEIGHTS_BYTES = 42_000
# From the naming until the origin sends the version's pieces.
ORIGIN_AWAY_SECONDS = 10.2
DAY_SECONDS = 12.5


class NarrowLinkCase(PausedClockCase):
    """Three engines, of which one is behind a narrow link, their sidecars and one entry."""

    async def start(self, seed: int) -> None:
        """Starts the fleet with version 1 in force."""
        self.rng = random.Random(seed)
        self.fleet = EngineFleet()
        await self.fleet.start()
        self.engines: list[ServingEngine] = []
        self.links: list[NarrowLink] = []
        for _ in range(3):
            await self.add_engine()
        await self.publish_routes()
        await self.fleet.name_version(1)
        entry = await self.fleet.add_entry()
        async with asyncio.timeout(5.0):
            while not entry.ready:
                await asyncio.sleep(0.02)
        # As an entry knows that has sent requests before the link turns narrow.
        for listed in entry.state.endpoints.endpoints:
            entry.placer.load_of(listed).asks_for_body = False
        address = Address("127.0.0.100", self.fleet.first_port + 3)
        self.callers = FakeCallers(address, SERVICE, self.rng)
        self.named_at = 0.0

    async def stop(self) -> None:
        """Stops the fleet."""
        for link in self.links:
            link.stop()
        for engine in self.engines:
            engine.stop()
        await self.fleet.stop()

    async def add_engine(self) -> None:
        """Adds an engine that holds version 1 and serves requests through a link."""
        staging = await self.fleet.add_engine(1)
        # Bodies that are held back until an engine asks for them hardly ever arrive late.
        engine = ServingEngine(
            f"i-{staging.host}", lambda: served_version(staging), asks_for_bodies=False
        )
        await engine.start(staging.host)
        link = NarrowLink(staging.host)
        await link.start(engine.port)
        staging.requests_port = link.port
        await self.fleet.register(staging)
        self.engines.append(engine)
        self.links.append(link)

    async def publish_routes(self) -> None:
        """Publishes a route to the engines."""
        configuration = make_configuration(2, SERVICE)
        for route in configuration["routes"]:
            route.update(timeoutMs=6000, targetLatencyMs=800)
        published = self.fleet.configuration | {"version": 2, "routes": configuration["routes"]}
        await self.fleet.store.put(names.CONFIGURATION_KEY, published)

    async def name_version(self) -> None:
        """Names version 2, whose pieces the origin sends only after the bound."""
        self.links[0].bytes_per_second = NARROW_BYTES_PER_SECOND
        await asyncio.sleep(NARROW_BEFORE_NAMING_SECONDS)
        self.fleet.origin.pieces_available = 0
        await self.fleet.name_version(2)
        self.named_at = self.loop.time()
        await asyncio.sleep(WEIGHTS_AFTER_NAMING_SECONDS)
        self.links[0].send_weights(WEIGHTS_BYTES)
        await asyncio.sleep(WIDE_AFTER_NAMING_SECONDS - WEIGHTS_AFTER_NAMING_SECONDS)
        self.links[0].bytes_per_second = 0.0
        await asyncio.sleep(ORIGIN_AWAY_SECONDS - WIDE_AFTER_NAMING_SECONDS)
        self.fleet.origin.pieces_available = PIECES

    async def register_periodically(self) -> None:
        """Registers the present state of all engines, as they do themselves."""
        while True:
            for staging in self.fleet.engines:
                await self.fleet.register(staging)
            await asyncio.sleep(0.5)

    async def assert_none_begins_late(self) -> None:
        """Plays each seed's day; asserts that nothing begins on version 1 after the bound."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.start(seed)
                registering = asyncio.ensure_future(self.register_periodically())
                naming = asyncio.ensure_future(self.name_version())
                await self.callers.send_for(
                    DAY_SECONDS, STREAMS_PER_SECOND, lambda: PATIENCE_SECONDS
                )
                await self.callers.wait()
                await naming
                await asyncio.sleep(3.0)
                registering.cancel()
                await self.stop()
                bound = self.named_at + BOUND_SECONDS
                engine = self.engines[0]
                late = [at for at in engine.arrivals.values() if at > bound]
                self.assertGreater(len(late), 0)
                self.assertGreater(self.links[0].most_queued, WEIGHTS_BYTES)
                begun = [run for run in engine.runs if run.weights == 1 and run.began_at > bound]
                self.assertEqual(begun, [])
                self.assertEqual([e.wrong_loads for e in self.fleet.engines], [0] * 3)


class VersionBehindNarrowLinkTest(NarrowLinkCase):
    """The entry reports to all sidecars until when it places requests on version 1."""

    async def test_no_request_begins_on_replaced_weights_after_the_bound(self) -> None:
        """Guards against requests that were recalled in time and begin because they arrive late."""
        await self.assert_none_begins_late()


class EntryThatHasNotHeardTest(NarrowLinkCase):
    """Another entry is suspended before the naming, and its streams to the sidecars stay open."""

    async def start(self, seed: int) -> None:
        """Starts the fleet, and another entry that does not learn of version 2."""
        await super().start(seed)
        suspended = await self.fleet.add_entry()
        async with asyncio.timeout(5.0):
            while not suspended.ready:
                await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)
        apply = PublishedState.apply_change

        def apply_unless_suspended(state: PublishedState, *arguments) -> None:
            if state is not suspended.state:
                apply(state, *arguments)

        self.suspension = mock.patch.object(PublishedState, "apply_change", apply_unless_suspended)
        self.suspension.start()

    async def stop(self) -> None:
        """Stops the fleet."""
        await super().stop()
        self.suspension.stop()

    async def test_no_request_begins_on_replaced_weights_after_the_bound(self) -> None:
        """Guards against engines that keep replaced weights for as long as any one entry has not
        heard of the version, while what the others have recalled in time is still on its way."""
        await self.assert_none_begins_late()


def served_version(staging: FakeStagingEngine) -> int:
    """Returns the version that an engine serves; zero while it lacks some of the layers."""
    return staging.version if len(staging.layers) == LAYERS else 0


if __name__ == "__main__":
    unittest.main()
