"""A store that comes back from a copy some seconds old, and gives out revisions again."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from unittest import mock

from standins.key_value_store import StoreCopy
from tests.fake_engines import EngineFleet
from tests.fake_platform import FakeEndpoint, PlatformFleet, make_configuration
from tests.paused_clock import PausedClockCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.core.errors import CodedError
from wasabidrum.gateway.daemon import Gateway
from wasabidrum.gateway.entry_peers import EntryPeers
from wasabidrum.peers.entry_messages import FetchChanges
from wasabidrum.platform import names
from wasabidrum.platform.store_client import KeyPrefix, StoreClient

SERVICE = "tally"
MODEL = "m1"
ENTRIES = 3
READERS = 2
BOUNDS = Bounds(configuration=2.0, drain=2.0)
# Room for the time in which an entry applies what it has learned.
APPLY_SECONDS = 0.2
AWAY_SECONDS = 0.3
# Entries have ended the watch that they began before they knew the others.
MEETING_SECONDS = 3.0
BORN = 1_700_000_000_000
CENTRE = "rift-a"


class StoreRestoredCase(PausedClockCase):
    """Three entries of one data centre, of which two read the store, and two endpoints."""

    entries = ENTRIES

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.store = self.fleet.store
        self.version = 1
        await self.publish(self.version)
        self.first = await self.add("a")
        self.second = await self.add("b")
        for number in range(self.entries):
            await self.fleet.add_gateway(f"entry-{number}", bounds=BOUNDS)
        peers = [gateway.peers for gateway in self.fleet.gateways]
        await self.fleet.wait_until(lambda: all(p.count == self.entries for p in peers), 20.0)
        await asyncio.sleep(MEETING_SECONDS)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    @property
    def all(self) -> list[Gateway]:
        """All entries, the readers first."""
        return sorted(self.fleet.gateways, key=lambda gateway: gateway.peers.own_address)

    async def add(self, endpoint_id: str) -> FakeEndpoint:
        """Starts an endpoint and registers it."""
        endpoint = await self.fleet.add_endpoint(endpoint_id, SERVICE)
        await self.register(endpoint)
        return endpoint

    async def register(self, endpoint: FakeEndpoint, **facts: object) -> None:
        """Writes an endpoint's registration."""
        entry = endpoint.entry(**({"born": BORN, "zone": CENTRE} | facts))
        await self.store.put(names.ENDPOINT_PREFIX + endpoint.id, entry)

    async def publish(self, version: int) -> None:
        """Publishes a version of the configuration."""
        self.version = version
        await self.store.put(names.CONFIGURATION_KEY, make_configuration(version, SERVICE))

    async def name_version(self, version: int) -> None:
        """Names a version of weights."""
        value = {"model": MODEL, "version": version}
        await self.store.put(names.VERSION_PREFIX + MODEL, value)

    async def write_others(self, count: int) -> None:
        """Writes items that concern nobody, which only raises the store's revision."""
        for number in range(count):
            await self.store.put("other/key", {"number": number})

    async def restore(self, copy: StoreCopy, seconds: float = AWAY_SECONDS) -> None:
        """Lets the store go away for a moment, and come back from a copy."""
        self.store.fault = "reset"
        await asyncio.sleep(seconds)
        await self.store.restore(copy)
        self.store.fault = ""

    @contextlib.asynccontextmanager
    async def lost(self) -> AsyncIterator[None]:
        """Lets the store come back from a copy that lacks what is written within the context."""
        copy = self.store.copy()
        yield
        await asyncio.sleep(1.0)
        await self.restore(copy)

    @contextlib.contextmanager
    def no_answers(self, gateway: Gateway) -> Iterator[None]:
        """Lets an entry get no answer of the store within the context."""
        ended = asyncio.Event()

        async def wait(*args: object) -> None:
            await ended.wait()
            raise CodedError("peer_unreachable", "store: closed", 502)

        with mock.patch.object(gateway._follower, "_store", mock.Mock()) as store:
            store.watch = store.read = wait
            yield
        ended.set()

    @contextlib.contextmanager
    def cut_off(self, gateway: Gateway) -> Iterator[None]:
        """Lets an entry and the others not reach each other within the context."""
        cut = gateway.peers
        reach = EntryPeers._call

        async def call(peers: EntryPeers, address: tuple[str, int], *arguments: object) -> object:
            if peers is cut or address == cut.own_address:
                await asyncio.sleep(0.6)
                return None
            return await reach(peers, address, *arguments)

        with mock.patch.object(EntryPeers, "_call", call):
            yield

    def leaving_at(self, endpoint: FakeEndpoint) -> list[bool]:
        """Returns at each entry whether an endpoint gets no new requests."""
        listed = [gateway.state.endpoints.get(endpoint.id) for gateway in self.all]
        return [each is None or each.leaving for each in listed]

    def evacuated(self) -> list[bool]:
        """Returns at each entry whether the data centre of the endpoints is evacuated."""
        return [gateway.state.evacuations.is_evacuated(CENTRE) for gateway in self.all]

    def versions(self) -> list[int]:
        """Returns the configuration version in force at each entry."""
        return [gateway.state.version for gateway in self.all]


class RevisionsGivenOutAgainTest(StoreRestoredCase):
    """Changes that get revisions which the entries know from before."""

    async def test_leaving_under_a_lower_revision_than_the_registration(self) -> None:
        """Guards against entries that take a leaving for old, and go on sending."""
        async with self.lost():
            await self.write_others(5)
            await self.register(self.first, slots=7)
        await asyncio.sleep(1.0)
        await self.register(self.first, state="draining")
        await asyncio.sleep(BOUNDS.drain - APPLY_SECONDS)
        self.assertEqual(self.leaving_at(self.first), [True] * self.entries)

    async def test_configuration_at_the_revision_held(self) -> None:
        """Guards against a watch that goes on after a revision which is given out again, and so
        misses all that was written up to it."""
        async with self.lost():
            await self.write_others(3)
        await self.write_others(2)
        await asyncio.sleep(1.0)
        await self.publish(7)
        await asyncio.sleep(BOUNDS.configuration - APPLY_SECONDS)
        self.assertEqual(self.versions(), [7] * self.entries)

    async def test_configuration_below_the_revision_held(self) -> None:
        """Guards against followers that learn of changes above their own revision only."""
        async with self.lost():
            await self.write_others(40)
        await asyncio.sleep(0.5)
        await self.publish(7)
        await asyncio.sleep(BOUNDS.configuration - APPLY_SECONDS)
        self.assertEqual(self.versions(), [7] * self.entries)

    async def test_revisions_have_passed_the_one_held(self) -> None:
        """Guards against entries that notice a restoration only by an answer with status 410."""
        copy = self.store.copy()
        await self.write_others(3)
        await asyncio.sleep(1.0)
        self.store.fault = "reset"
        await asyncio.sleep(AWAY_SECONDS)
        await self.store.restore(copy)
        await self.register(self.first, state="draining")
        await self.publish(7)
        await self.write_others(6)
        self.store.fault = ""
        await asyncio.sleep(BOUNDS.drain - APPLY_SECONDS)
        self.assertEqual(self.leaving_at(self.first), [True] * self.entries)
        self.assertEqual(self.versions(), [7] * self.entries)

    async def test_calls_while_the_counter_is_behind(self) -> None:
        """Guards against entries that read everything again and again until the store's counter
        has passed the revision that they hold."""
        async with self.lost():
            await self.write_others(40)
        await asyncio.sleep(1.5)
        before = self.store.reads[""]
        await asyncio.sleep(3.0)
        self.assertEqual(self.store.reads[""], before)

    async def test_two_restorations_within_a_second(self) -> None:
        """Guards against entries that follow the first of two restorations only."""
        copy = self.store.copy()
        await self.write_others(3)
        await asyncio.sleep(1.0)
        await self.restore(copy)
        await self.register(self.first, state="draining")
        await asyncio.sleep(0.3)
        await self.restore(copy)
        await self.register(self.first, state="draining", slots=7)
        await self.publish(9)
        await asyncio.sleep(BOUNDS.drain - APPLY_SECONDS)
        self.assertEqual(self.leaving_at(self.first), [True] * self.entries)
        self.assertEqual(self.versions(), [9] * self.entries)


class WhatTheCopyLacksTest(StoreRestoredCase):
    """Items that were written or removed after the copy was taken."""

    async def test_evacuation_that_the_copy_lacks(self) -> None:
        """Guards against a data centre that stays unused though the store has no such key."""
        copy = self.store.copy()
        await self.write_others(5)
        await self.store.put(names.EVACUATION_PREFIX + CENTRE, {})
        await asyncio.sleep(1.0)
        self.assertEqual(self.evacuated(), [True] * self.entries)
        await self.restore(copy)
        await asyncio.sleep(BOUNDS.drain)
        self.assertEqual(self.evacuated(), [False] * self.entries)

    async def test_evacuation_that_is_written_again(self) -> None:
        """Guards against entries that take the key for old, and go on sending there."""
        async with self.lost():
            await self.write_others(5)
            await self.store.put(names.EVACUATION_PREFIX + CENTRE, {})
            await asyncio.sleep(0.5)
            await self.store.delete(names.EVACUATION_PREFIX + CENTRE)
        await asyncio.sleep(0.5)
        await self.store.put(names.EVACUATION_PREFIX + CENTRE, {})
        await asyncio.sleep(BOUNDS.drain - APPLY_SECONDS)
        self.assertEqual(self.evacuated(), [True] * self.entries)

    async def test_registration_that_the_copy_lacks(self) -> None:
        """Guards against endpoints that stay listed though the store lists them no more."""
        async with self.lost():
            await self.write_others(5)
            third = await self.add("c")
        await asyncio.sleep(4.0)
        listed = [gateway.state.endpoints.get(third.id) for gateway in self.all]
        self.assertEqual(listed, [None] * self.entries)

    async def test_registration_that_is_written_again_in_time(self) -> None:
        """Guards against endpoints that get no requests until they have registered again."""
        async with self.lost():
            await self.write_others(5)
            third = await self.add("c")
        for _ in range(15):
            await asyncio.sleep(0.1)
            listed = [gateway.state.endpoints.get(third.id) for gateway in self.all]
            self.assertNotIn(None, listed)
        await self.register(third)
        await asyncio.sleep(4.0)
        listed = [gateway.state.endpoints.get(third.id) for gateway in self.all]
        self.assertNotIn(None, listed)

    async def test_leaving_that_the_copy_lacks(self) -> None:
        """Guards against new requests at an endpoint whose leaving the store has lost."""
        async with self.lost():
            await self.register(self.first, state="draining")
        for _ in range(20):
            await asyncio.sleep(0.2)
            self.assertEqual(self.leaving_at(self.first), [True] * self.entries)
        await self.register(self.first, born=BORN + 9_000)
        await asyncio.sleep(1.0)
        self.assertEqual(self.leaving_at(self.first), [False] * self.entries)

    async def test_removal_that_the_copy_lacks(self) -> None:
        """Guards against new requests at an endpoint that has left and is in the copy."""
        async with self.lost():
            await self.store.delete(names.ENDPOINT_PREFIX + self.first.id)
        for _ in range(10):
            await asyncio.sleep(0.2)
            self.assertEqual(self.leaving_at(self.first), [True] * self.entries)
        await self.register(self.first, slots=7)
        await asyncio.sleep(1.0)
        self.assertEqual(self.leaving_at(self.first), [False] * self.entries)

    async def test_removal_told_while_everything_is_read(self) -> None:
        """Guards against an endpoint that has left and is listed for good: a reader's own snapshot
        was read before the removal, of which another entry has told it meanwhile."""
        reader = self.all[0]
        store = reader._follower._store

        async def read_slowly(prefix: str) -> object:
            reading = await store.read(prefix)
            await asyncio.sleep(1.0)
            return reading

        slow_store = mock.Mock(watch=store.watch, read=read_slowly)
        async with self.lost():
            await self.write_others(30)
        with mock.patch.object(reader._follower, "_store", slow_store):
            await asyncio.sleep(0.4)
            await self.store.delete(names.ENDPOINT_PREFIX + self.first.id)
            # Until everything is read, and what a grace period may take after that.
            await asyncio.sleep(1.0 + 2 * BOUNDS.drain)
            self.assertEqual(self.leaving_at(self.first), [True] * self.entries)

    async def test_configuration_that_the_copy_lacks(self) -> None:
        """Guards against an accepted configuration, and a revoked key with it, that comes back."""
        async with self.lost():
            await self.publish(5)
        for _ in range(10):
            await asyncio.sleep(0.2)
            self.assertEqual(self.versions(), [5] * self.entries)
        await self.publish(7)
        await asyncio.sleep(BOUNDS.configuration - APPLY_SECONDS)
        self.assertEqual(self.versions(), [7] * self.entries)

    async def test_entry_that_starts_after_the_restoration(self) -> None:
        """Guards against an entry that puts the copy's configuration in force while the others
        have a newer one that was accepted."""
        async with self.lost():
            await self.publish(5)
        await asyncio.sleep(0.5)
        started = await self.fleet.restart_gateway(self.entries - 1)
        for _ in range(500):
            self.assertIn(started.state.version, (0, 5))
            await asyncio.sleep(0.002)
        self.assertEqual(started.state.version, 5)

    async def test_version_of_weights_at_an_entry_that_starts(self) -> None:
        """Guards against an entry that places requests on weights which the others have given up,
        because the copy lacks the version that replaced them."""
        await self.name_version(2)
        await asyncio.sleep(1.0)
        copy = self.store.copy()
        await self.name_version(3)
        await asyncio.sleep(BOUNDS.version + 1.0)
        oldest = [gateway.state.oldest_to_place(MODEL, 0.0) for gateway in self.all]
        self.assertEqual(oldest, [3] * self.entries)
        await self.restore(copy)
        await asyncio.sleep(0.5)
        started = await self.fleet.restart_gateway(self.entries - 1)
        await self.fleet.wait_until(lambda: started.ready)
        await asyncio.sleep(1.0)
        self.assertEqual(started.state.oldest_to_place(MODEL, 0.0), 3)

    async def test_entry_that_missed_the_configuration(self) -> None:
        """Guards against an entry that goes by the copy's configuration because it was cut off
        while the newer one was accepted."""
        copy = self.store.copy()
        with self.cut_off(self.all[0]), self.no_answers(self.all[0]):
            # The watch in progress is still answered.
            await asyncio.sleep(1.5)
            await self.publish(5)
            await asyncio.sleep(1.0)
            await self.restore(copy)
        await asyncio.sleep(BOUNDS.configuration)
        self.assertEqual(self.versions(), [5] * self.entries)


class LateAnswersTest(StoreRestoredCase):
    """Answers of the time before that come after one of the time since."""

    async def test_reader_that_has_not_noticed_the_restoration(self) -> None:
        """Guards against a reader whose lost changes undo what its followers have read."""
        copy = self.store.copy()
        await self.write_others(40)
        await asyncio.sleep(1.0)
        with self.no_answers(self.all[0]):
            await self.restore(copy)
            await self.register(self.first, state="draining")
            await self.publish(7)
            await asyncio.sleep(BOUNDS.drain - APPLY_SECONDS)
            self.assertEqual(self.leaving_at(self.first), [True] * self.entries)
            self.assertEqual(self.versions(), [7] * self.entries)

    async def test_watch_answered_before_the_restoration(self) -> None:
        """Guards against an answer of the store that was under way during the restoration."""
        copy = self.store.copy()
        await self.write_others(5)
        await self.register(self.first, slots=7)
        await asyncio.sleep(1.0)
        reader = self.all[0]
        store = reader._follower._store
        late = await store.watch(KeyPrefix.ALL, copy.revision, 0.1)
        await self.restore(copy)
        await self.register(self.first, state="draining")
        await asyncio.sleep(1.0)

        async def answer_late(*args: object) -> object:
            await asyncio.sleep(0.1)
            return late

        with mock.patch.object(reader._follower, "_store", mock.Mock()) as paused:
            paused.watch, paused.read = answer_late, store.read
            await asyncio.sleep(3.0)
            self.assertEqual(self.leaving_at(self.first), [True] * self.entries)

    async def test_entry_cut_off_during_the_restoration(self) -> None:
        """Guards against an entry that brings the lost past back to the others."""
        copy = self.store.copy()
        await self.write_others(40)
        await asyncio.sleep(1.0)
        with self.cut_off(self.all[0]), self.no_answers(self.all[0]):
            await self.restore(copy)
            await self.register(self.first, state="draining")
            await asyncio.sleep(1.0)
        await asyncio.sleep(BOUNDS.drain)
        self.assertEqual(self.leaving_at(self.first), [True] * self.entries)


class EarlierReleaseTest(StoreRestoredCase):
    """An entry that does not state an epoch, as before there were any."""

    async def test_question_without_an_epoch_is_held(self) -> None:
        """Guards against followers of an earlier release that get all items again and again."""
        reader = self.all[0]
        question = FetchChanges(reader.state.revision, 0.5, True)
        began = self.loop.time()
        reply = await reader.peers.handle_fetch_changes(question)
        self.assertFalse(reply.whole)
        self.assertGreater(self.loop.time() - began, 0.2)


class SidecarsTest(PausedClockCase):
    """Sidecars that wait until a version of weights is named."""

    async def test_version_named_among_revisions_given_out_again(self) -> None:
        """Guards against sidecars that go on after a revision which the store has passed again,
        and never learn of the version that was named before it."""
        fleet = EngineFleet()
        await fleet.start()
        try:
            engine = await fleet.add_engine(1)
            store = fleet.store
            await asyncio.sleep(1.0)
            copy = store.copy()
            resumed = asyncio.Event()
            watch = StoreClient.watch

            async def watch_later(*args: object) -> object:
                await resumed.wait()
                return await watch(*args)

            with mock.patch.object(StoreClient, "watch", watch_later):
                await store.put("other/key", {})
                await fleet.name_version(1)
                await asyncio.sleep(0.5)
                await store.restore(copy)
                await fleet.name_version(2)
                for number in range(3):
                    await store.put("other/key", {"number": number})
                resumed.set()
                await asyncio.sleep(0.5)
            # Such a watch tells of the restoration when its wait of 20 s has ended.
            async with asyncio.timeout(30.0):
                while engine.version != 2:
                    await asyncio.sleep(0.05)
        finally:
            await fleet.stop()


class StoreWithoutEraTest(StoreRestoredCase):
    """A store that does not state its era."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.era = 0

    async def test_changes_come_through(self) -> None:
        """Guards against entries that wait for an era."""
        await self.register(self.first, state="draining")
        await self.publish(7)
        await asyncio.sleep(BOUNDS.drain - APPLY_SECONDS)
        self.assertEqual(self.leaving_at(self.first), [True] * self.entries)
        self.assertEqual(self.versions(), [7] * self.entries)
