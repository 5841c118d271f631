"""Weight distribution on the platform: real sidecars, with fake engines that load whatever is
staged."""

import asyncio

from tests.fake_engines import MODEL, PIECES, EngineFleet, make_piece
from tests.paused_clock import PausedClockCase
from wasabidrum.decisions.chunk_plan import rank_names
from wasabidrum.platform import names


class ListedWeightsTest(PausedClockCase):
    """Three engines that start with version 1."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = EngineFleet()
        await self.fleet.start()
        for _ in range(3):
            await self.fleet.add_engine(1)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()
        self.assertEqual([engine.wrong_loads for engine in self.fleet.engines if engine], [0] * 3)

    async def wait_for(self, version: int, seconds: float = 15.0) -> None:
        """Waits until every engine serves a version."""
        async with asyncio.timeout(seconds):
            while any(engine.version != version for engine in self.fleet.engines):
                await asyncio.sleep(0.02)

    async def test_named_version_reaches_all_with_about_one_copy_from_origin(self) -> None:
        await asyncio.sleep(0.8)
        sent = self.fleet.origin.copies
        await self.fleet.name_version(2)
        await self.wait_for(2)
        self.assertLess(self.fleet.origin.copies - sent, 1.6)

    async def test_one_sidecar_per_region_reads_piece_list_for_all(self) -> None:
        """A version is named. If every sidecar read its list of pieces from the origin at once, the
        origin's link would carry the same list dozens of times before the first piece, and the
        version would be delayed by that."""
        await asyncio.sleep(0.8)
        lists = self.fleet.origin.lists
        await self.fleet.name_version(2)
        await self.wait_for(2)
        self.assertEqual(self.fleet.origin.lists - lists, 1)

    async def test_sidecars_that_start_together_read_configuration_once(self) -> None:
        """All instances lose power and restart. If every sidecar read a configuration of a thousand
        routes over a shared link, the link would be full for ten seconds: reads would time out and
        restart, and no caller would be served meanwhile."""
        for sidecar in self.fleet.sidecars:
            await sidecar.stop()
        reads = self.fleet.store.reads[names.CONFIGURATION_KEY]
        self.fleet.sidecars = [await self.fleet.start_sidecar(e) for e in self.fleet.engines]
        await self.fleet.name_version(2)
        await self.wait_for(2)
        self.assertEqual(self.fleet.store.reads[names.CONFIGURATION_KEY] - reads, 1)

    async def test_others_read_piece_list_when_its_reader_is_down(
        self,
    ) -> None:
        """The sidecar that others ask for a version's list is killed. If they kept waiting for it,
        the version would be delayed until it is restarted."""
        await asyncio.sleep(0.8)
        subject = f"{MODEL}/2"
        first = rank_names(subject, [engine.host for engine in self.fleet.engines])[0]
        place = [engine.host for engine in self.fleet.engines].index(first)
        await self.fleet.sidecars[place].stop()
        await self.fleet.name_version(2)
        others = [e for e in self.fleet.engines if e.host != first]
        async with asyncio.timeout(15.0):
            while any(engine.version != 2 for engine in others):
                await asyncio.sleep(0.02)

    async def test_sidecar_of_draining_engine_fetches_nothing(self) -> None:
        """A version is named while engines are replaced. Sidecars leave a draining peer out of
        their plans. If its sidecar fetched a part from the origin, no other would ask it for that
        part, and the part would be missing everywhere once the origin is down."""
        await asyncio.sleep(0.8)
        leaving, *others = self.fleet.engines
        leaving.state = "draining"
        await self.fleet.register(leaving)
        sent = self.fleet.origin.copies
        await self.fleet.name_version(2)
        async with asyncio.timeout(15.0):
            while any(engine.version != 2 for engine in others):
                await asyncio.sleep(0.02)
        self.assertEqual(leaving.version, 1)
        self.assertLess(self.fleet.origin.copies - sent, 1.1)

    async def test_pieces_are_still_fetched_from_draining_engine(self) -> None:
        """An engine starts to drain after its sidecar has fetched a part that no other has, and the
        origin goes down. If the others did not ask that sidecar because it is draining, the part
        would be lost with it, and no engine would have the version until the origin is back."""
        await asyncio.sleep(0.8)
        leaving, *others = self.fleet.engines
        others_before = list(self.fleet.sidecars[1:])
        for sidecar in others_before:
            await sidecar.stop()
        await self.fleet.name_version(2)
        async with asyncio.timeout(15.0):
            while leaving.version != 2:
                await asyncio.sleep(0.02)
        self.fleet.origin.refuses_pieces = True
        leaving.state = "draining"
        await self.fleet.register(leaving)
        self.fleet.sidecars[1:] = [await self.fleet.start_sidecar(e) for e in others]
        async with asyncio.timeout(15.0):
            while any(engine.version != 2 for engine in others):
                await asyncio.sleep(0.02)

    async def test_corrupted_staged_piece_is_replaced(self) -> None:
        """A piece is corrupted after it was put into an engine's staging area. The engine would
        load it unchecked, and serve from corrupt weights."""
        for engine in self.fleet.engines:
            engine.corrupt_after = 5
        await self.fleet.name_version(2)
        await self.wait_for(2)

    async def test_corrupt_pieces_from_origin_are_rejected(self) -> None:
        self.fleet.origin.corrupt_every = 4
        await self.fleet.name_version(2)
        await self.wait_for(2)

    async def test_restarted_empty_engine_gets_its_weights_again(self) -> None:
        """An engine crashes and holds nothing after its restart, while the origin is down. Its
        sidecar and its peers have every piece; if they did not supply it, the engine would stay
        idle until the origin is back."""
        await self.fleet.name_version(2)
        await self.wait_for(2)
        self.fleet.origin.down = True
        engine = self.fleet.engines[0]
        engine.version = 0
        engine.staged = {}
        await self.wait_for(2)

    async def test_newer_version_named_during_distribution_replaces_it_completely(self) -> None:
        await self.fleet.name_version(2)
        await asyncio.sleep(0.25)
        await self.fleet.name_version(3)
        await self.wait_for(3)
        for engine in self.fleet.engines:
            self.assertEqual(engine.staged[0], make_piece(3, 0))

    async def test_chunks_travel_while_an_added_engine_starts(self) -> None:
        """Guards against a link that is idle for as long as an added engine takes to start."""
        await asyncio.sleep(1.0)
        sent = self.fleet.origin.copies
        added = self.fleet.make_engine()
        sidecar = await self.fleet.start_sidecar(added)
        self.fleet.sidecars.append(sidecar)
        await asyncio.sleep(0.9)
        self.assertEqual(sidecar._distributor.store.count, PIECES)
        added.listen()
        self.fleet.engines.append(added)
        await self.fleet.register(added)
        await self.wait_for(1, 1.5)
        self.assertEqual((self.fleet.origin.copies, added.wrong_loads), (sent, 0))
        self.fleet.engines.remove(added)
        added.stop()

    async def test_added_empty_engine_gets_weights_from_peers(self) -> None:
        """A new engine holds nothing, and the origin's link is busy. Its peers send it the pieces
        that they found staged when they started."""
        await asyncio.sleep(1.0)
        sent = self.fleet.origin.copies
        added = await self.fleet.add_engine(0)
        await self.wait_for(1)
        self.assertEqual(added.wrong_loads, 0)
        self.fleet.engines.remove(added)
        self.assertLess(self.fleet.origin.copies - sent, 0.1)
        added.stop()
