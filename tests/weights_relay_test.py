"""Weights held at entries: real entries and sidecars, with fake engines."""

import asyncio
import unittest

from tests.fake_engines import PIECES, EngineFleet, digest_of_piece, make_piece
from tests.paused_clock import PausedClockCase
from wasabidrum.decisions.version_choice import STALL_TIMEOUT_SECONDS
from wasabidrum.platform import names
from wasabidrum.weights.listed_engines import RELAYS_SECONDS


class WeightsRelayTest(PausedClockCase):
    """Two entries and three engines of one region, which start with version 1."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = EngineFleet()
        await self.fleet.start()
        self.entries = [await self.fleet.add_entry() for _ in range(2)]
        for _ in range(3):
            await self.fleet.add_engine(1)
        await self.wait_until(self.entries_hold, 1)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()
        self.assertEqual([engine.wrong_loads for engine in self.fleet.engines], [0] * 3)

    async def wait_until(self, holds, version: int, seconds: float = 15.0) -> None:
        """Waits until a check holds for a version."""
        async with asyncio.timeout(seconds):
            while not holds(version):
                await asyncio.sleep(0.02)

    def entries_hold(self, version: int) -> bool:
        """Returns whether every entry holds its part of a version."""
        return all(entry._relay.held_version == version for entry in self.fleet.entries)

    def engines_serve(self, version: int) -> bool:
        """Returns whether every engine serves a version."""
        return all(engine.version == version for engine in self.fleet.engines)

    async def test_sidecars_take_a_version_from_entries_and_send_none(self) -> None:
        """If sidecars got a version from each other, each would send about one copy over the link
        on which it receives its own, and all engines would wait for the busiest link."""
        sent = self.fleet.origin.copies
        await self.fleet.name_version(2)
        await self.wait_until(self.engines_serve, 2)
        self.assertLess(self.fleet.origin.copies - sent, 1.2)
        counts = [sidecar._distributor.counts for sidecar in self.fleet.sidecars]
        self.assertEqual(sum(count.from_origin for count in counts), 0)

    async def test_engine_is_added_while_origin_and_peers_are_down(self) -> None:
        """If only the origin served the list of a version's pieces while no version is being rolled
        out, engines that replace others would stay empty until the origin is back."""
        self.fleet.origin.down = True
        for sidecar in self.fleet.sidecars:
            await sidecar.stop()
        added = await self.fleet.add_engine(0)
        await self.wait_until(self.engines_serve, 1)
        self.fleet.engines.remove(added)
        added.stop()

    async def test_entry_is_killed_during_distribution(self) -> None:
        """Pieces that a killed entry was to send come from the other entry."""
        await self.fleet.name_version(2)
        await asyncio.sleep(0.3)
        await self.fleet.end_entry(self.fleet.entries[0])
        await self.wait_until(self.engines_serve, 2)

    async def test_both_entries_are_killed_during_distribution(self) -> None:
        """Sidecars get the rest from each other and from the origin."""
        await self.fleet.name_version(2)
        await asyncio.sleep(0.3)
        for entry in list(self.fleet.entries):
            await self.fleet.end_entry(entry)
        await self.wait_until(self.engines_serve, 2)

    async def test_new_entry_gets_weights_without_origin(self) -> None:
        """Entries are replaced one by one while the origin is down."""
        self.fleet.origin.down = True
        await self.fleet.end_entry(self.fleet.entries[1])
        await self.fleet.add_entry()
        await self.wait_until(self.entries_hold, 1)

    async def test_origin_returns_after_outage_between_two_versions(self) -> None:
        """Guards against chunks that wait for a list which could have been read before the outage.

        Version 3 is named when half of version 2 is there, and the origin goes away soon after.
        """
        sent = self.fleet.origin.copies
        self.fleet.origin.pieces_available = PIECES // 2 + 2
        await self.fleet.name_version(2)
        await self.wait_until(lambda _: self.fleet.origin.copies - sent > 0.5, 2)
        await self.fleet.name_version(3)
        await asyncio.sleep(0.5)
        self.fleet.origin.down = True
        await asyncio.sleep(4.0)
        lists = self.fleet.origin.lists
        self.fleet.origin.down = False
        self.fleet.origin.pieces_available = PIECES
        await self.wait_until(self.entries_hold, 3)
        self.assertEqual(self.fleet.origin.lists, lists)

    async def test_origin_that_is_back_is_asked_at_once(self) -> None:
        """Guards against entries that pause between tries while the origin is back."""
        for version, seconds in ((2, 3.1), (3, 3.3), (4, 3.5)):
            self.fleet.origin.pieces_available = 0
            await self.fleet.name_version(version)
            await asyncio.sleep(seconds)
            self.fleet.origin.pieces_available = PIECES
            await self.wait_until(self.entries_hold, version, 0.3)

    async def test_chunks_that_lie_ready_travel_while_others_are_missing(self) -> None:
        """Guards against sidecars whose requests all wait for chunks that nobody has yet.

        The first five chunks were lost with an entry, and the origin is away.
        """
        for sidecar in self.fleet.sidecars:
            await sidecar.stop()
        await self.fleet.name_version(2)
        await self.wait_until(self.entries_hold, 2)
        self.fleet.origin.down = True
        lost = [digest_of_piece(2, number) for number in range(5)]
        for entry in self.fleet.entries:
            store = entry._relay._distributor.store
            for digest in lost:
                if store.get(digest) is not None:
                    store._drop(digest)
        self.fleet.sidecars = [await self.fleet.start_sidecar(e) for e in self.fleet.engines]
        ready = {number: make_piece(2, number) for number in range(5, PIECES)}
        async with asyncio.timeout(4.0):
            while any(not ready.items() <= e.staged.items() for e in self.fleet.engines):
                await asyncio.sleep(0.02)

    async def test_sidecar_that_planned_without_relays_turns_to_them(self) -> None:
        """Guards against sidecars that ask the origin, which is away, for what relays hold.

        Their relays connect to them later than they wait for these.
        """
        for sidecar in self.fleet.sidecars:
            await sidecar.stop()
        await self.fleet.name_version(2)
        await self.wait_until(self.entries_hold, 2)
        self.fleet.origin.refuses_pieces = True
        late = [entry._load_watcher for entry in self.fleet.entries]
        for watcher in late:
            watcher._sidecars_to_watch = list
            await watcher._links.close_all()
            watcher._linked_for = (-1, -1)
        self.fleet.sidecars = [await self.fleet.start_sidecar(e) for e in self.fleet.engines]
        await asyncio.sleep(4.0 * RELAYS_SECONDS)
        for watcher in late:
            del watcher._sidecars_to_watch
            watcher._linked_for = (-1, -1)
        await self.wait_until(self.engines_serve, 2, 4.0)

    async def test_sidecars_know_whether_their_relays_hold_a_version(self) -> None:
        """Guards against engines that stop for weights of which the origin still has a part."""
        listed = [sidecar._listed for sidecar in self.fleet.sidecars]
        self.fleet.origin.pieces_available = PIECES - 1
        await self.fleet.name_version(2)
        await asyncio.sleep(2.0)
        self.assertFalse(any(engines.relays_hold(2) for engines in listed))
        self.fleet.origin.pieces_available = PIECES
        await self.wait_until(self.entries_hold, 2)
        await self.wait_until(lambda v: all(e.relays_hold(v) for e in listed), 2, 0.5)

    async def test_sidecars_go_on_to_a_newer_version_when_the_older_one_stalls(self) -> None:
        """Guards against sidecars that go back at once to a version which nobody sends any more.

        Version 3 is named when less than half of version 2 is there, and the rest never comes.
        """
        self.fleet.origin.pieces_available = PIECES // 2 - 1
        await self.fleet.name_version(2)
        await asyncio.sleep(2.0 * STALL_TIMEOUT_SECONDS)
        self.fleet.origin.oldest = 3
        self.fleet.origin.pieces_available = PIECES
        await self.fleet.name_version(3)
        await self.wait_until(self.engines_serve, 3, 5.0)

    async def test_sidecars_do_not_read_members_from_the_store(self) -> None:
        """Guards against a store that every sidecar asks for pages while it lacks a version."""
        self.fleet.origin.pieces_available = 0
        before = self.fleet.store.reads[names.ENDPOINT_PREFIX]
        await self.fleet.name_version(2)
        await asyncio.sleep(6.0)
        self.assertEqual(self.fleet.store.reads[names.ENDPOINT_PREFIX], before)
        for entry in list(self.fleet.entries):
            await self.fleet.end_entry(entry)
        await asyncio.sleep(4.0)
        self.assertGreater(self.fleet.store.reads[names.ENDPOINT_PREFIX], before)

    async def test_fetching_is_spread_over_entries(self) -> None:
        """Each piece is fetched from the origin once, by either entry."""
        sent = self.fleet.origin.copies
        await self.fleet.name_version(2)
        await self.wait_until(self.entries_hold, 2)
        fetched = [entry._relay._distributor.counts.from_origin for entry in self.entries]
        self.assertTrue(all(fetched))
        self.assertLess(self.fleet.origin.copies - sent, 1.0 + 3.0 / PIECES)


if __name__ == "__main__":
    unittest.main()
