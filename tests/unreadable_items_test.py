"""Items of the store that other writers have written, and that nobody can read or apply."""

import asyncio

from standins.key_value_store import StoreView
from tests.fake_engines import EngineFleet
from tests.fake_platform import UNREADABLE_ITEMS, PlatformFleet, make_configuration
from tests.paused_clock import PausedClockCase
from wasabidrum.platform import names

APPLY_SECONDS = 2.0
VERSION_SECONDS = 8.0


class UnreadableItemsTest(PausedClockCase):
    """An entry that reads the store, and one that is cut off from it and asks the first."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.view = StoreView(self.fleet.store)
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(3, "old"))
        self.old = await self.fleet.add_endpoint("a", "old")
        await self.fleet.add_gateway("entry-1")
        await self.fleet.add_gateway("entry-2", self.view.port)
        self.gateways = self.fleet.gateways
        await self.fleet.wait_until(lambda: all(g.ready for g in self.gateways))

    async def asyncTearDown(self) -> None:
        self.view.stop()
        await self.fleet.stop()

    async def check_applies_changes(self) -> None:
        """Checks that a configuration and an endpoint that are written now are used."""
        new = await self.fleet.add_endpoint("b", "new")
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, "new"))
        await asyncio.sleep(APPLY_SECONDS)
        for number, gateway in enumerate(self.gateways):
            self.assertEqual(gateway.state.version, 7, number)
            reply = await self.fleet.ask(number, "new", "safe", f"{number:08x}")
            self.assertEqual((reply.status, reply.body), (200, b"b"), number)
        self.assertEqual(len(new.runs), len(self.gateways))

    async def test_configuration_after_items_that_nobody_can_read(self) -> None:
        """Guards against one unreadable item that ends what an entry learns of the store."""
        for key, content in UNREADABLE_ITEMS.items():
            await self.fleet.store.put(key, content)
        await asyncio.sleep(APPLY_SECONDS)
        await self.check_applies_changes()

    async def test_entry_that_learns_of_unreadable_items_from_another(self) -> None:
        """Guards against an unreadable item that ends the exchange between entries."""
        self.view.fail("busy")
        await asyncio.sleep(APPLY_SECONDS)
        for key, content in UNREADABLE_ITEMS.items():
            await self.fleet.store.put(key, content)
        await asyncio.sleep(APPLY_SECONDS)
        await self.check_applies_changes()

    async def test_entry_that_starts_beside_unreadable_items(self) -> None:
        """Guards against an unreadable item in the first snapshot."""
        for key, content in UNREADABLE_ITEMS.items():
            await self.fleet.store.put(key, content)
        await self.fleet.restart_gateway(0)
        await asyncio.sleep(APPLY_SECONDS)
        await self.check_applies_changes()

    async def test_endpoint_with_a_port_that_is_none(self) -> None:
        """Guards against requests that are lost at an endpoint which no connection can reach."""
        for number, address in enumerate(("127.0.0.1:65536", "127.0.0.1:0", "..:80")):
            await self.fleet.store.put(
                f"{names.ENDPOINT_PREFIX}none-{number}", self.old.entry(address=address)
            )
        await asyncio.sleep(APPLY_SECONDS)
        asked = (self.fleet.ask(0, "old", "unsafe", f"{n:08x}", body=b"%d" % n) for n in range(20))
        replies = await asyncio.gather(*asked)
        self.assertEqual([reply.status for reply in replies], [200] * 20)

    async def test_item_that_cannot_be_applied(self) -> None:
        """Guards against an error behind the decoder that holds up all later changes."""

        def fail(endpoint: object, *arguments: object) -> None:
            if endpoint.id == "bad":
                raise OverflowError("too large")

        for gateway in self.gateways:
            gateway.state.on_endpoint = fail
        await self.fleet.add_endpoint("bad", "old")
        await asyncio.sleep(APPLY_SECONDS)
        await self.check_applies_changes()


class UnreadableItemsSidecarTest(PausedClockCase):
    """A sidecar that reads the store itself."""

    async def test_version_after_items_that_nobody_can_read(self) -> None:
        """Guards against an unreadable item that ends what a sidecar learns of members."""
        fleet = EngineFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        for key, content in UNREADABLE_ITEMS.items():
            await fleet.store.put(key, content)
        await fleet.name_version(2)
        engine = await fleet.add_engine(1)
        await asyncio.sleep(VERSION_SECONDS)
        self.assertEqual(engine.version, 2)
