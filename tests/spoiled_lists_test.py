"""The origin sends lists of pieces that are spoiled, and is sound from then on."""

import asyncio

from tests.fake_engines import PIECE_BYTES, EngineFleet, digest_of_piece
from tests.paused_clock import PausedClockCase
from wasabidrum.platform import names

RECOVERY_SECONDS = 12.0


def with_wrong_bit(version: int, number: int) -> dict:
    """Returns what a list has with one wrong bit in the digest of a piece."""
    digest = digest_of_piece(version, number)
    return {"digests": {number: digest[:-1] + format(int(digest[-1], 16) ^ 1, "x")}}


class SpoiledListsTest(PausedClockCase):
    """Three engines of one region that are to get version 2."""

    entries = 1

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = EngineFleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        for _ in range(self.entries):
            await self.fleet.add_entry()
        for _ in range(3):
            await self.fleet.add_engine(1)
        await asyncio.sleep(3.0)

    async def check_loads(self, version: int = 2) -> None:
        """Checks that all engines serve a version in time, and nothing else."""
        self.fleet.origin.sent = 0
        await self.fleet.name_version(version)
        engines = self.fleet.engines
        async with asyncio.timeout(RECOVERY_SECONDS):
            while not all(engine.serves(version) for engine in engines):
                self.assertTrue({engine.version for engine in engines} <= {1, version})
                await asyncio.sleep(0.02)
        self.assertEqual([engine.wrong_loads for engine in engines], [0] * 3)

    async def test_two_lists_with_the_same_wrong_bit(self) -> None:
        """Guards against a wrong digest that is kept for as long as the version is wanted."""
        self.fleet.origin.spoiled_lists = [with_wrong_bit(2, 5)] * 2
        await self.check_loads()
        self.assertLess(self.fleet.origin.copies, 2.0)

    async def test_lists_with_different_wrong_bits(self) -> None:
        """Guards against a list that is replaced by another one as wrong."""
        self.fleet.origin.spoiled_lists = [with_wrong_bit(2, n) for n in (5, 9, 0)]
        await self.check_loads()

    async def test_spoiled_pieces_beside_a_spoiled_list(self) -> None:
        """Guards against a sound digest that is replaced because its piece was spoiled."""
        self.fleet.origin.corrupt_every = 4
        self.fleet.origin.spoiled_lists = [with_wrong_bit(2, 5)]
        await self.check_loads()

    async def test_lists_that_cannot_be_of_the_version(self) -> None:
        """Guards against an engine that loads the pieces of one version as another one."""
        self.fleet.origin.spoiled_lists = [
            {"version": 3},
            {"model": "m2"},
            {"digests": {5: "x" * 64}},
            {"version": 0},
        ]
        await self.check_loads()

    async def test_list_with_a_wrong_size_of_pieces(self) -> None:
        """Guards against pieces that are refused as too large for good."""
        self.fleet.origin.spoiled_lists = [{"chunkBytes": PIECE_BYTES // 2}]
        await self.check_loads()


class PublishedPiecesTest(PausedClockCase):
    """A configuration that changes the published size of pieces while sidecars run."""

    async def check_loads(self, entries: int) -> None:
        """Checks that an engine gets a version whose pieces have the size published last."""
        fleet = EngineFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        engine = fleet.configuration["services"][0]["engine"]
        engine["chunkBytes"] = 2 * PIECE_BYTES
        fleet.configuration["version"] = 2
        await fleet.store.put(names.CONFIGURATION_KEY, fleet.configuration)
        for _ in range(entries):
            await fleet.add_entry()
        engines = [await fleet.add_engine(1) for _ in range(2)]
        await asyncio.sleep(3.0)
        engine["chunkBytes"] = PIECE_BYTES
        fleet.configuration["version"] = 3
        await fleet.store.put(names.CONFIGURATION_KEY, fleet.configuration)
        await fleet.name_version(2)
        async with asyncio.timeout(RECOVERY_SECONDS):
            while not all(each.serves(2) for each in engines):
                await asyncio.sleep(0.02)

    async def test_size_that_changes_at_sidecars(self) -> None:
        """Guards against sidecars that refuse all lists by a size that is no longer published."""
        await self.check_loads(entries=0)

    async def test_size_that_changes_behind_entries(self) -> None:
        """Guards against the same where entries have the list."""
        await self.check_loads(entries=1)


class SpoiledListsAtSidecarsTest(SpoiledListsTest):
    """The same without entries: a sidecar reads the list for all."""

    entries = 0


class SpoiledListsAtTwoEntriesTest(SpoiledListsTest):
    """The same with two entries, one of which gets the list from the other."""

    entries = 2
