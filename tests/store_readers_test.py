"""Entries of one data centre that follow the store through two of them, and faults of these."""

import asyncio
import base64
import contextlib
import json
import random
import unittest
from unittest import mock

from tests.fake_platform import PlatformFleet, make_configuration
from tests.paused_clock import PausedClockCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.core.boot_clock import boot_seconds
from wasabidrum.gateway.daemon import Gateway
from wasabidrum.platform import names
from wasabidrum.wire import http_client

ENTRIES = 5
READERS = 2
BOUNDS = Bounds(configuration=3.0)
# Room for the time in which an entry applies what it has learned.
APPLY_SECONDS = 0.2
UNREACHABLE = "http://127.0.0.1:9"


class StoreReadersTest(PausedClockCase):
    """Five entries, of which two read the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.version = 7
        await self.publish()
        await self.fleet.add_endpoint("a", "tally")
        await self.fleet.add_endpoint("b", "tally")
        for number in range(ENTRIES):
            await self.fleet.add_gateway(f"entry-{number}", bounds=BOUNDS)
        await self.fleet.wait_until(lambda: all(g.peers.count == ENTRIES for g in self.all), 20.0)
        # Until each entry has ended the watch that it began before it knew the others.
        await asyncio.sleep(3.0)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    @property
    def all(self) -> list[Gateway]:
        """All entries, the readers first."""
        return sorted(self.fleet.gateways, key=lambda gateway: gateway.peers.own_address)

    async def publish(self) -> None:
        """Publishes the next version of the configuration."""
        self.version += 2
        configuration = make_configuration(self.version, "tally", tenants=True)
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)

    async def publish_and_wait(self, entries: list[Gateway], seconds: float) -> None:
        """Publishes a version; waits until it is in force at some entries, within a time."""
        await self.publish()
        await self.fleet.wait_until(
            lambda: all(gateway.state.version == self.version for gateway in entries), seconds
        )

    async def test_calls_do_not_grow_with_the_entries(self) -> None:
        """Guards against a store that is asked by every entry, and links that carry each change
        once for each."""
        before = self.fleet.store.calls
        for _ in range(5):
            await asyncio.sleep(2.0)
            await self.publish_and_wait(self.all, APPLY_SECONDS + 0.25)
        # A watch of 1.2 s each, and one more for each change.
        self.assertLessEqual(self.fleet.store.calls - before, READERS * (10.0 / 1.2 + 5 + 2))
        self.assertTrue(all(gateway.ready for gateway in self.all))

    async def test_reader_is_cut_off_from_the_store(self) -> None:
        """Guards against followers that learn of a change as late as their reader does."""
        self.all[0]._follower._store._url = UNREACHABLE
        await asyncio.sleep(0.1)
        await self.publish_and_wait(self.all[1:], BOUNDS.configuration - APPLY_SECONDS)

    async def test_both_readers_are_cut_off_from_the_store(self) -> None:
        """Guards against followers that depend on readers without evidence."""
        for reader in self.all[:READERS]:
            reader._follower._store._url = UNREACHABLE
        await asyncio.sleep(0.1)
        await self.publish_and_wait(self.all, BOUNDS.configuration - APPLY_SECONDS)
        await asyncio.sleep(6.0)
        self.assertTrue(all(gateway.ready for gateway in self.all))

    async def test_reader_waits_for_an_answer_that_does_not_come(self) -> None:
        """Guards against followers that wait with a reader whose link to the store is full."""
        reader = self.all[0]._follower
        with mock.patch.object(reader, "_store", mock.Mock()) as stuck:
            stuck.watch = lambda *args: asyncio.sleep(60.0)
            # The watch in progress ends before the one that hangs.
            await asyncio.sleep(1.25)
            await self.publish_and_wait(self.all[1:], BOUNDS.configuration - APPLY_SECONDS)

    async def test_reader_is_suspended(self) -> None:
        """Guards against followers that wait for a reader which answers nothing."""
        reader = self.all[0].peers

        async def hang(message: object) -> None:
            await asyncio.sleep(60.0)

        with mock.patch.object(reader, "handle_fetch_changes", hang):
            # The questions in progress are still answered.
            await self.publish_and_wait(self.all[1:], BOUNDS.configuration - APPLY_SECONDS)
            await self.publish_and_wait(self.all[1:], BOUNDS.configuration - APPLY_SECONDS)
            # The reader is left out by now.
            await self.publish_and_wait(self.all[1:], 2.0 * APPLY_SECONDS + 0.25)

    async def test_followers_place_on_old_weights_for_as_long_as_their_readers(self) -> None:
        """Guards against followers that date a naming by their last answer before it, and refuse
        callers a second or two before their readers do."""
        for version in (1, 2):
            # In the middle of a watch, whose answer is the readers' evidence.
            await asyncio.sleep(2.9)
            named = {"model": "m1", "version": version}
            await self.fleet.store.put(f"{names.VERSION_PREFIX}m1", named)
        await asyncio.sleep(0.5)
        seconds = [gateway.state.placing_limits()[-1].seconds for gateway in self.all]
        self.assertLess(max(seconds) - min(seconds), APPLY_SECONDS, seconds)

    async def test_slow_store_does_not_turn_followers_away(self) -> None:
        """Guards against readers that count as late because they pause after a change."""
        with contextlib.ExitStack() as stack:
            for gateway in self.all:
                store = gateway._follower._store

                async def slow_watch(*args, watch=store.watch):
                    reading = await watch(*args)
                    await asyncio.sleep(0.15)
                    return reading

                stack.enter_context(mock.patch.object(gateway._follower, "_store", mock.Mock()))
                gateway._follower._store.watch = slow_watch
            await asyncio.sleep(3.0)
            before = self.fleet.store.calls
            for _ in range(3):
                await self.publish()
                await asyncio.sleep(3.0)
            self.assertLessEqual(self.fleet.store.calls - before, READERS * (9.0 / 1.2 + 3))

    async def test_both_readers_are_suspended(self) -> None:
        """Guards against followers that wait for one silent reader after the other."""

        async def hang(message: object) -> None:
            await asyncio.sleep(60.0)

        with contextlib.ExitStack() as stack:
            for gateway in self.all[:READERS]:
                peers = gateway.peers
                stack.enter_context(mock.patch.object(peers, "handle_fetch_changes", hang))
            # For longer than silent readers are left out.
            for _ in range(8):
                await self.publish_and_wait(self.all, BOUNDS.configuration - 2 * APPLY_SECONDS)
                await asyncio.sleep(0.37)

    async def test_reader_dies(self) -> None:
        """Guards against followers that lose the store with their reader."""
        reader = self.all[0]
        for server in reader._servers:
            server.stop()
        await reader.tasks.cancel_all()
        await reader.peers.stop()
        alive = self.all[1:]
        self.fleet.gateways.remove(reader)
        await self.publish_and_wait(alive, BOUNDS.configuration - APPLY_SECONDS)

    async def test_no_key_is_accepted_after_the_store_is_gone(self) -> None:
        """Guards against evidence that grows younger by being passed from entry to entry."""
        self.fleet.store.fault = "hang"
        gone_at = boot_seconds()
        await asyncio.sleep(BOUNDS.revocation)
        for gateway in self.all:
            self.assertLessEqual(gateway.state.lease.confirmed_at, gone_at)
            self.assertFalse(gateway.state.lease.is_valid(boot_seconds()))
        self.fleet.store.fault = ""
        await self.fleet.wait_until(lambda: all(g.ready for g in self.all), 8.0)

    async def test_endpoints_that_lapse_in_an_outage_stay_for_their_grace(self) -> None:
        """Guards against followers that drop all endpoints when the store is back."""
        item = self.fleet.store.items["servers/a"]
        self.fleet.store.fault = "hang"
        await asyncio.sleep(4.0)
        self.fleet.store.items.pop("servers/a")
        self.fleet.store.revision += 1
        deleted = {"key": "servers/a", "revision": self.fleet.store.revision, "deleted": True}
        await self.fleet.store._tell(deleted)
        self.fleet.store.fault = ""
        await asyncio.sleep(1.0)
        for gateway in self.all:
            self.assertIsNotNone(gateway.state.endpoints.get("a"))
        content = json.loads(base64.b64decode(item["value"]))
        await self.fleet.store.put("servers/a", content)
        await asyncio.sleep(3.0)
        for gateway in self.all:
            self.assertIsNotNone(gateway.state.endpoints.get("a"))

    @contextlib.asynccontextmanager
    async def cut_off_from_store(self, entries: list[Gateway]):
        """Cuts some entries off from the store in the block, and lets them settle afterwards."""
        urls = [entry._follower._store._url for entry in entries]
        for entry in entries:
            entry._follower._store._url = UNREACHABLE
        yield
        for entry, url in zip(entries, urls, strict=True):
            entry._follower._store._url = url
        await asyncio.sleep(BOUNDS.settling + 1.0)

    async def check_leaves_in_time(self, cut: list[Gateway], phase: float) -> None:
        """Checks that an endpoint that leaves is unlisted in time at all entries not cut off.

        Args:
          phase: How long before some entries are cut off, which is a moment before it leaves.
        """
        endpoint = await self.fleet.add_endpoint("c", "tally")
        await asyncio.sleep(1.0 + phase)
        in_touch = [entry for entry in self.all if entry not in cut]
        async with self.cut_off_from_store(cut):
            # The watch in progress is cut as well.
            for entry in cut:
                entry._follower._store._client.close()
                entry._follower._store._client = http_client.make_client()
            await asyncio.sleep(0.1)
            await self.fleet.store.delete(names.ENDPOINT_PREFIX + endpoint.id)
            await asyncio.sleep(BOUNDS.drain - APPLY_SECONDS)
            late = [e.log.name for e in in_touch if e.state.endpoints.get(endpoint.id) is not None]
            self.assertEqual(late, [], f"phase {phase}")

    async def test_endpoint_leaves_while_a_reader_is_cut_off(self) -> None:
        """Guards against followers that take their reader's failed calls for an outage."""
        for phase in range(6):
            await self.check_leaves_in_time(self.all[: phase % READERS + 1][-1:], phase * 0.2)

    async def test_endpoint_leaves_while_both_readers_are_cut_off(self) -> None:
        """Guards against the same where all readers report failures and the store is sound."""
        for phase in range(6):
            await self.check_leaves_in_time(self.all[:READERS], phase * 0.2)

    async def test_large_configuration_is_passed_on_whole(self) -> None:
        """Guards against changes that are lost or mixed up because they are sent compressed."""
        self.version += 2
        configuration = make_configuration(self.version, "tally", tenants=True)
        route = configuration["routes"][0]
        configuration["routes"] += [route | {"prefix": f"/x{n}/"} for n in range(900)]
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        await self.fleet.wait_until(
            lambda: all(len(g.state.configuration.routes) > 900 for g in self.all), 1.0
        )

    async def test_faults_of_readers_in_a_row(self) -> None:
        """Any reader is cut off, hangs or comes back at any time: changes are in force in time at
        each entry that reaches the store, and no evidence is younger than the store's answer."""
        rng = random.Random(5)
        url = self.all[0]._follower._store._url
        cut: set[int] = set()
        for _ in range(12):
            number = rng.randrange(ENTRIES)
            if number in cut:
                cut.remove(number)
                self.all[number]._follower._store._url = url
            elif len(cut) < ENTRIES - 1:
                cut.add(number)
                self.all[number]._follower._store._url = UNREACHABLE
            await asyncio.sleep(rng.random() * 3.0)
            reaching = [g for place, g in enumerate(self.all) if place not in cut]
            await self.publish_and_wait(reaching, BOUNDS.configuration - APPLY_SECONDS)
            for gateway in self.all:
                self.assertLessEqual(gateway.state.lease.confirmed_at, boot_seconds())


if __name__ == "__main__":
    unittest.main()
