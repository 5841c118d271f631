"""Engines that still hold replaced weights when the time bound for them has passed."""

import asyncio
import unittest

from tornado import httputil

from standins.key_value_store import StoreView
from tests.fake_engines import LAYERS, PIECES, SERVICE, EngineFleet
from tests.paused_clock import PausedClockCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.core.request_head import RequestHead
from wasabidrum.core.request_scope import RequestScope
from wasabidrum.core.route import Route, RouteKind, RouteTarget

BOUND_SECONDS = 3.0


class RetirementTest(PausedClockCase):
    """An engine with version 1 and one entry; version 2 is named but only partly available."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = EngineFleet()
        self.fleet.bounds = Bounds(version=BOUND_SECONDS)
        await self.fleet.start()
        self.engine = await self.fleet.add_engine(1)
        await self.fleet.name_version(1)
        await self.fleet.add_entry()
        await asyncio.sleep(1.0)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def wait_until(self, condition, seconds: float) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    def engines_that_can_take_a_request(self) -> int:
        """Returns how many engines have, as far as the entry knows, what a request needs."""
        headers = httputil.HTTPHeaders()
        head = RequestHead("POST", "/", "h", "r1", None, "", 10, 10, "", headers)
        target = RouteTarget(SERVICE, 1.0)
        route = Route("r", "h", "/", RouteKind.STREAM, 10.0, 0.5, 0, (target,))
        placer = self.fleet.entries[0].placer
        return placer.choose(RequestScope(route), SERVICE, head, frozenset(), 0, 10.0).known

    async def test_engine_serves_nothing_on_old_weights_after_bound(self) -> None:
        """Guards against requests that reach an engine after the bound and start on old weights."""
        self.fleet.origin.pieces_available = PIECES // 2
        await self.fleet.name_version(2)
        await self.wait_until(lambda: self.engine.version == 2, BOUND_SECONDS)
        self.assertLess(len(self.engine.layers), LAYERS)
        self.fleet.origin.pieces_available = PIECES
        await self.wait_until(lambda: len(self.engine.layers) == LAYERS, 8.0)
        self.assertEqual(self.engine.wrong_loads, 0)

    async def test_engine_without_any_new_layer_serves_nothing_on_old_weights(self) -> None:
        """Guards against old weights that serve on because nothing of the new ones has arrived."""
        self.fleet.origin.pieces_available = 0
        await self.fleet.name_version(2)
        await self.wait_until(lambda: len(self.engine.layers) < LAYERS, BOUND_SECONDS)
        self.assertEqual(self.engine.version, 1)
        self.fleet.origin.pieces_available = PIECES
        await self.wait_until(lambda: self.engine.version == 2, 8.0)
        await self.wait_until(lambda: len(self.engine.layers) == LAYERS, 8.0)
        self.assertEqual(self.engine.wrong_loads, 0)

    async def test_engine_that_no_entry_reaches_serves_nothing_on_old_weights(self) -> None:
        """Guards against old weights that serve on because no entry says when their time is over.

        Requests of entries that have gone may still be on their way.
        """
        self.fleet.origin.pieces_available = 0
        await self.fleet.end_entry(self.fleet.entries[0])
        await self.fleet.name_version(2)
        await self.wait_until(lambda: len(self.engine.layers) < LAYERS, BOUND_SECONDS + 0.5)

    async def test_sidecar_that_starts_without_the_store_keeps_what_entries_report(self) -> None:
        """Guards against old weights that serve on beside a sidecar that has started again: it
        reads from the store which model its engine runs after entries have told it, once, that
        they have stopped placing requests on the old weights."""
        self.fleet.origin.pieces_available = 0
        await self.fleet.sidecars.pop().stop()
        await self.fleet.name_version(2)
        await asyncio.sleep(BOUND_SECONDS + 0.5)
        view = StoreView(self.fleet.store)
        self.addCleanup(view.stop)
        view.fail("busy")
        self.fleet.sidecars.append(await self.fleet.start_sidecar(self.engine, view.port))
        await asyncio.sleep(3.0)
        self.assertEqual(len(self.engine.layers), LAYERS)
        view.recover()
        await self.wait_until(lambda: len(self.engine.layers) < LAYERS, 2.0)

    async def test_sidecar_that_starts_without_the_store_tells_of_no_incomplete_weights(
        self,
    ) -> None:
        """Guards against requests that all entries send to an engine with a part of its weights,
        which refuses each of them: the sidecar has started again, and reads from the store how
        many layers are complete."""
        await self.fleet.sidecars.pop().stop()
        self.fleet.origin.pieces_available = 0
        self.engine.staged.clear()
        self.engine.layers = range(1)
        await self.fleet.register(self.engine)
        view = StoreView(self.fleet.store)
        self.addCleanup(view.stop)
        view.fail("busy")
        self.fleet.sidecars.append(await self.fleet.start_sidecar(self.engine, view.port))
        await asyncio.sleep(3.0)
        self.assertEqual(self.engines_that_can_take_a_request(), 0)

    async def test_engine_that_completes_replaced_weights_after_the_bound_gets_no_request(
        self,
    ) -> None:
        """Guards against requests on replaced weights that an engine has just loaded: a datagram
        tells of them before anything names their model, to which the bound belongs."""
        self.fleet.origin.pieces_available = 0
        await self.fleet.name_version(2)
        engine = await self.fleet.add_engine(0)
        await asyncio.sleep(BOUND_SECONDS + 1.0)
        # The stream of the sidecar is slow, as behind weights on a full link.
        self.fleet.sidecars[1]._load_service.wake = lambda: None
        engine.set_version(1)
        for _ in range(100):
            self.assertEqual(self.engines_that_can_take_a_request(), 0)
            await asyncio.sleep(0.01)

    async def test_old_weights_stay_in_service_while_entries_may_place_on_them(self) -> None:
        """Guards against an engine that is taken out of service before the bound."""
        self.fleet.origin.pieces_available = PIECES // 2
        await self.fleet.name_version(2)
        await asyncio.sleep(BOUND_SECONDS - 1.5)
        self.assertEqual(self.engine.version, 1)


if __name__ == "__main__":
    unittest.main()
