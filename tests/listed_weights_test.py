"""Weights on the platform: real sidecars before engines that load whatever lies there."""

import asyncio
import unittest

from tests.listed_engines import EngineFleet, make_piece


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
