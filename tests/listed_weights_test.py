"""Weights on the platform: real sidecars before engines that load whatever lies there."""

import asyncio
import unittest

from tests.listed_engines import MODEL, EngineFleet, make_piece
from wasabidrum.decisions.chunk_plan import rank_names
from wasabidrum.platform import names


class ListedWeightsTest(unittest.IsolatedAsyncioTestCase):
    """Three engines that begin with version 1."""

    async def asyncSetUp(self) -> None:
        self.fleet = EngineFleet()
        await self.fleet.start()
        for _ in range(3):
            await self.fleet.add_engine(1)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()
        self.assertEqual([engine.wrong_loads for engine in self.fleet.engines if engine], [0] * 3)

    async def wait_for(self, version: int, seconds: float = 15.0) -> None:
        """Waits until every engine answers with a version."""
        async with asyncio.timeout(seconds):
            while any(engine.version != version for engine in self.fleet.engines):
                await asyncio.sleep(0.02)

    async def test_a_named_version_reaches_all_and_leaves_the_origin_about_once(self) -> None:
        await asyncio.sleep(0.8)
        sent = self.fleet.origin.copies
        await self.fleet.name_version(2)
        await self.wait_for(2)
        self.assertLess(self.fleet.origin.copies - sent, 1.6)

    async def test_one_sidecar_of_a_region_reads_a_versions_list_for_all(self) -> None:
        """A version is named and every sidecar reads its list from the origin at once. The
        origin's link carries the same list dozens of times before the first piece, and the
        version is late by that."""
        await asyncio.sleep(0.8)
        lists = self.fleet.origin.lists
        await self.fleet.name_version(2)
        await self.wait_for(2)
        self.assertEqual(self.fleet.origin.lists - lists, 1)

    async def test_sidecars_that_start_together_read_the_configuration_once(self) -> None:
        """All instances lose power and start again. A configuration of a thousand routes, read
        by every sidecar over a link that they share, fills it for ten seconds: reads time out
        and begin anew, and no caller is served meanwhile."""
        for sidecar in self.fleet.sidecars:
            await sidecar.stop()
        reads = self.fleet.store.reads[names.CONFIGURATION_KEY]
        self.fleet.sidecars = [await self.fleet.start_sidecar(e) for e in self.fleet.engines]
        await self.fleet.name_version(2)
        await self.wait_for(2)
        self.assertEqual(self.fleet.store.reads[names.CONFIGURATION_KEY] - reads, 1)

    async def test_where_the_one_that_reads_first_is_gone_the_others_read_for_themselves(
        self,
    ) -> None:
        """The sidecar that others ask for a version's list is killed. Waiting for it, they
        would hold the version back until it is started again."""
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

    async def test_an_engine_that_is_leaving_draws_nothing(self) -> None:
        """A version is named while engines are replaced. The others leave one that is leaving
        out of their plans; were it to draw its part, that part would leave the origin to nobody
        who is asked for it, and be missing everywhere once the origin is gone."""
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

    async def test_what_an_engine_that_leaves_has_drawn_is_still_had_from_it(self) -> None:
        """An engine begins to leave after its sidecar has drawn its part, and the origin goes
        away. Nobody else has that part. Left alone because it is leaving, its sidecar would
        take it along, and all engines would miss the version until the origin is back."""
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

    async def test_a_piece_that_turned_bad_where_it_lies_is_put_anew(self) -> None:
        """A piece is put into an engine's staging area and turns bad there. The engine takes
        it as it is, and would answer from spoilt weights."""
        for engine in self.fleet.engines:
            engine.rot_after = 5
        await self.fleet.name_version(2)
        await self.wait_for(2)

    async def test_spoilt_pieces_of_the_origin_are_not_taken(self) -> None:
        self.fleet.origin.spoil_every = 4
        await self.fleet.name_version(2)
        await self.wait_for(2)

    async def test_an_engine_that_comes_back_empty_is_given_its_weights_again(self) -> None:
        """An engine crashes and holds nothing after its start, while the origin is gone. Its
        sidecar and its peers have every piece; without them it would stay idle until the
        origin is back."""
        await self.fleet.name_version(2)
        await self.wait_for(2)
        self.fleet.origin.down = True
        engine = self.fleet.engines[0]
        engine.version = 0
        engine.staged = {}
        await self.wait_for(2)

    async def test_a_newer_version_named_on_the_way_wins_and_nothing_mixes(self) -> None:
        await self.fleet.name_version(2)
        await asyncio.sleep(0.25)
        await self.fleet.name_version(3)
        await self.wait_for(3)
        for engine in self.fleet.engines:
            self.assertEqual(engine.staged[0], make_piece(3, 0))

    async def test_an_engine_that_is_added_empty_is_given_weights_by_its_peers(self) -> None:
        """A new engine holds nothing, and the origin's link is busy. Its peers give it what
        they found staged beside them when they started."""
        await asyncio.sleep(1.0)
        sent = self.fleet.origin.copies
        added = await self.fleet.add_engine(0)
        await self.wait_for(1)
        self.assertEqual(added.wrong_loads, 0)
        self.fleet.engines.remove(added)
        self.assertLess(self.fleet.origin.copies - sent, 0.1)
        added.stop()
