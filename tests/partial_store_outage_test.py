"""A store that fails some entries only, while weights are replaced.

The bound after which no request may begin on replaced weights is put off by outages of the store.
What one entry alone does not get from the store is no outage.
"""

import asyncio
import contextlib
import math
import unittest
from collections.abc import Iterator
from unittest import mock

from standins.key_value_store import StoreView
from tests.fake_platform import FakeEndpoint, PlatformFleet, kill_gateway, stream_events
from tests.paused_clock import PausedClockCase
from tests.version_bound_test import MODEL, SERVICE, make_engines_configuration
from wasabidrum.config.deployment import Bounds
from wasabidrum.decisions.store_outage import NO_OUTAGE
from wasabidrum.gateway.daemon import Gateway
from wasabidrum.gateway.entry_peers import EntryPeers
from wasabidrum.peers.entry_messages import ChangesReply
from wasabidrum.platform import names

BOUND_SECONDS = 8.0
SETTLING_SECONDS = 3.0
ENTRIES = 3
# The longest that entries need to know each other, and to end a watch.
MEETING_SECONDS = 6.0
DELAY_SECONDS = 0.1
OUTAGE_SECONDS = 7.0


class PartialOutageCase(PausedClockCase):
    """Entries that each have their own address of the store, and an engine with version 1."""

    entries = ENTRIES
    data_centres = ("rift-a",)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        store = self.fleet.store
        await store.put(names.CONFIGURATION_KEY, make_engines_configuration())
        self.engine: FakeEndpoint = await self.fleet.add_endpoint("old", SERVICE)
        self.engine.handler = stream_events(1, 5)
        models = [{"name": MODEL, "version": 1}]
        await store.put(f"{names.ENDPOINT_PREFIX}old", self.engine.entry(models=models))
        await self.name_version(1)
        self.views = [StoreView(store) for _ in range(self.entries)]
        for number, view in enumerate(self.views):
            bounds = Bounds(version=BOUND_SECONDS)
            centre = self.data_centres[number % len(self.data_centres)]
            await self.fleet.add_gateway(f"entry-{number}", view.port, bounds, centre)
        await self.fleet.wait_until(
            lambda: all(g.peers.count == self.entries for g in self.gateways), 20.0
        )
        await asyncio.sleep(MEETING_SECONDS)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()
        for view in self.views:
            view.stop()

    @property
    def gateways(self) -> list[Gateway]:
        """All entries."""
        return self.fleet.gateways

    async def name_version(self, version: int) -> float:
        """Names a version; returns when, by the event loop's clock."""
        value = {"model": MODEL, "version": version}
        await self.fleet.store.put(names.VERSION_PREFIX + MODEL, value)
        return self.loop.time()

    @contextlib.contextmanager
    def cut_off_from_entries(self, number: int, one_way: bool = False) -> Iterator[None]:
        """Lets an entry reach no other one within the context.

        Args:
          one_way: Whether the others still reach it.
        """
        cut = self.fleet.deployments[number].peers_listen
        own = self.gateways[number].peers
        reach = type(own)._call

        async def call(peers, address, *arguments):
            if peers is own or (address == (cut.host, cut.port) and not one_way):
                await asyncio.sleep(0.6)
                return None
            return await reach(peers, address, *arguments)

        with mock.patch.object(type(own), "_call", call):
            yield

    async def assert_bound_holds(self, named_at: float, version: int = 2) -> None:
        """Asserts that no entry has a request begin on an older version after the bound."""
        await asyncio.sleep(named_at + BOUND_SECONDS - self.loop.time())
        oldest = [gateway.state.oldest_to_place(MODEL, 0.0) for gateway in self.gateways]
        self.assertEqual(oldest, [version] * self.entries)
        for number in range(self.entries):
            reply = await self.fleet.ask(number, SERVICE, "streaming", f"r{number}")
            self.assertEqual((reply.status, self.engine.runs[f"r{number}"]), (503, 0))


class PartialOutageTest(PartialOutageCase):
    """One entry's calls fail while the others' are answered."""

    async def test_calls_that_hang_at_one_entry_put_nothing_off(self) -> None:
        """Guards against an entry whose calls hang, so that they are older when they fail than the
        answers that others have had meanwhile."""
        self.views[0].fail("hang")
        await asyncio.sleep(6.0)
        named_at: list[float] = []
        for step in range(280):
            if step % 53 == 0:
                named_at.append(await self.name_version(len(named_at) + 2))
            await asyncio.sleep(0.25)
            overdue = sum(at + BOUND_SECONDS <= self.loop.time() for at in named_at)
            oldest = [gateway.state.oldest_to_place(MODEL, 0.0) for gateway in self.gateways]
            self.assertGreaterEqual(min(oldest), overdue + 1, oldest)

    async def test_calls_refused_to_one_entry_put_nothing_off(self) -> None:
        """Guards against an entry that the store turns away while it serves the others."""
        self.views[0].fail("busy")
        await asyncio.sleep(6.0)
        named_at = await self.name_version(2)
        await asyncio.sleep(4.0)
        self.views[0].recover()
        await self.assert_bound_holds(named_at)

    async def test_failed_call_beside_an_entry_that_reaches_nobody_puts_nothing_off(self) -> None:
        """Guards against an entry that takes over from another one for how long calls have failed
        there, though its own were answered meanwhile."""
        self.views[0].fail("busy")
        with self.cut_off_from_entries(0, one_way=True):
            await asyncio.sleep(7.0)
            named_at = await self.name_version(2)
            await asyncio.sleep(3.0)
            self.views[1].fail("busy")
            await asyncio.sleep(1.5)
            self.views[1].recover()
            await asyncio.sleep(1.0)
        self.views[0].recover()
        await self.assert_bound_holds(named_at)

    async def test_entry_cut_off_from_store_and_entries_puts_nothing_off_when_back(self) -> None:
        """Guards against an outage that only an entry which reached nobody has seen."""
        self.views[0].fail("busy")
        with self.cut_off_from_entries(0):
            await asyncio.sleep(6.0)
            named_at = await self.name_version(2)
            await asyncio.sleep(4.0)
        self.views[0].recover()
        await self.assert_bound_holds(named_at)

    async def test_outage_at_all_entries_puts_the_bound_off(self) -> None:
        """Guards against entries that refuse all callers after a real outage, in which no engine
        can have learned of the version."""
        for view in self.views:
            view.fail("busy")
        named_at = await self.name_version(2)
        await asyncio.sleep(7.0)
        for view in self.views:
            view.recover()
        await asyncio.sleep(named_at + BOUND_SECONDS + 1.0 - self.loop.time())
        for number in range(self.entries):
            reply = await self.fleet.ask(number, SERVICE, "streaming", f"r{number}")
            self.assertEqual((reply.status, self.engine.runs[f"r{number}"]), (200, 1))
        await asyncio.sleep(named_at + 7.0 + 3.0 + BOUND_SECONDS - self.loop.time())
        for gateway in self.gateways:
            self.assertEqual(gateway.state.oldest_to_place(MODEL, 0.0), 2)


class TwoOutagesTest(PartialOutageCase):
    """The store is away for all entries twice, with a moment between."""

    async def test_second_outage_does_not_undo_the_first(self) -> None:
        """Guards against entries that refuse all callers in a second outage because, without the
        first one, the bound would have passed before it began."""
        named_at = await self.name_version(2)
        for ends_at in (6.0, 15.5):
            for view in self.views:
                view.fail("busy")
            await asyncio.sleep(named_at + ends_at - self.loop.time())
            for view in self.views:
                view.recover()
            await asyncio.sleep(3.5)
        for number in range(self.entries):
            reply = await self.fleet.ask(number, SERVICE, "streaming", f"r{number}")
            self.assertEqual((reply.status, self.engine.runs[f"r{number}"]), (200, 1))
        last_ended_at = named_at + 15.5
        await asyncio.sleep(last_ended_at + SETTLING_SECONDS + BOUND_SECONDS - self.loop.time())
        for gateway in self.gateways:
            self.assertEqual(gateway.state.oldest_to_place(MODEL, 0.0), 2)


class MissedNamingTest(PartialOutageCase):
    """Two versions are named close together, and an entry learns only of the newer one."""

    async def test_entry_that_restarts_enforces_the_version_between(self) -> None:
        """Guards against an entry that starts after two namings and counts for the oldest weights
        only from the second."""
        named_at = await self.name_version(2)
        await asyncio.sleep(2.0)
        await self.name_version(3)
        await asyncio.sleep(2.0)
        await self.fleet.restart_gateway(2)
        await self.assert_bound_holds(named_at)

    async def test_entry_that_was_turned_away_enforces_the_version_between(self) -> None:
        """Guards against an entry that hears of the newer version only, from another entry."""
        self.views[0].fail("busy")
        with self.cut_off_from_entries(0):
            await asyncio.sleep(2.0)
            named_at = await self.name_version(2)
            await asyncio.sleep(2.0)
            await self.name_version(3)
            await asyncio.sleep(1.0)
        await asyncio.sleep(1.0)
        self.views[0].recover()
        await self.assert_bound_holds(named_at)


class ManyRestartsTest(PartialOutageCase):
    """All entries but one are killed at the same moment, and start again together."""

    entries = 8

    async def test_entries_that_restart_together_learn_when_a_version_was_named(self) -> None:
        """Guards against entries that refuse callers seconds before the bound, because they have
        taken the answer of others that have just started as well for all that is known."""
        named_at = await self.name_version(2)
        await asyncio.sleep(2.0)
        for number in range(self.entries - 1):
            await kill_gateway(self.gateways[number])
        for number in range(self.entries - 1):
            await self.fleet.restart_gateway(number)
        await asyncio.sleep(named_at + BOUND_SECONDS - 1.5 - self.loop.time())
        for number in range(self.entries):
            reply = await self.fleet.ask(number, SERVICE, "streaming", f"r{number}")
            self.assertEqual((reply.status, self.engine.runs[f"r{number}"]), (200, 1))
        await asyncio.sleep(1.5)
        for gateway in self.gateways:
            self.assertEqual(gateway.state.oldest_to_place(MODEL, 0.0), 2)


class IgnorantEntriesTest(PartialOutageCase):
    """The store turns one entry away while the others are started again."""

    async def test_entries_that_have_just_started_confirm_no_outage(self) -> None:
        """Guards against an outage that is confirmed by entries which were not running in it."""
        others = range(1, self.entries)
        for number in others:
            await kill_gateway(self.gateways[number])
        self.views[0].fail("busy")
        await asyncio.sleep(1.0)
        named_at = await self.name_version(2)
        await asyncio.sleep(5.0)
        for number in others:
            await self.fleet.restart_gateway(number)
        await asyncio.sleep(1.0)
        self.views[0].recover()
        await self.assert_bound_holds(named_at)


class DistantEntriesTest(PartialOutageCase):
    """Requests between entries arrive a tenth of a second after they were sent."""

    async def test_outage_at_all_entries_is_not_forgotten_by_exchanges(self) -> None:
        """Guards against spans that become shorter each time that entries tell each other."""
        reach = EntryPeers._call

        async def call(peers, *arguments):
            await asyncio.sleep(DELAY_SECONDS)
            return await reach(peers, *arguments)

        with mock.patch.object(EntryPeers, "_call", call):
            for view in self.views:
                view.fail("busy")
            await self.name_version(2)
            await asyncio.sleep(OUTAGE_SECONDS)
            for view in self.views:
                view.recover()
            # One second for the margin of placing, and one for the time between calls.
            await asyncio.sleep(SETTLING_SECONDS + BOUND_SECONDS - 2.0)
            oldest = [gateway.state.oldest_to_place(MODEL, 0.0) for gateway in self.gateways]
            self.assertEqual(oldest, [1] * self.entries)
            for number in range(self.entries):
                reply = await self.fleet.ask(number, SERVICE, "streaming", f"r{number}")
                self.assertEqual((reply.status, self.engine.runs[f"r{number}"]), (200, 1))
            await asyncio.sleep(3.0)
            for gateway in self.gateways:
                self.assertEqual(gateway.state.oldest_to_place(MODEL, 0.0), 2)


class FullLinksTest(PartialOutageCase):
    """Two data centres, of which one is near the store."""

    entries = 4
    data_centres = ("rift-a", "nbi-a")

    async def test_calls_that_fail_in_a_whole_data_centre_put_nothing_off(self) -> None:
        """Guards against entries behind a full link, which confirm each other while nothing gets
        through to tell them that the store answers others."""
        far = {
            gateway.peers.own_address
            for gateway, deployment in zip(self.gateways, self.fleet.deployments, strict=True)
            if deployment.data_centre == "nbi-a"
        }
        reach = EntryPeers._call

        async def call(peers, address, *arguments):
            if (peers.own_address in far) != (address in far):
                await asyncio.sleep(0.6)
                return None
            return await reach(peers, address, *arguments)

        named_at = await self.name_version(2)
        await asyncio.sleep(1.0)
        with mock.patch.object(EntryPeers, "_call", call):
            for gateway, view in zip(self.gateways, self.views, strict=True):
                if gateway.peers.own_address in far:
                    view.fail("busy")
            await asyncio.sleep(6.0)
            for view in self.views:
                view.recover()
            await self.assert_bound_holds(named_at)


class ResetAfterOutageTest(PartialOutageCase):
    """Three data centres with one entry each; the store is away for all of them."""

    data_centres = ("rift-a", "nbi-a", "msa-a")

    async def test_failed_call_elsewhere_does_not_undo_an_outage(self) -> None:
        """Guards against entries that refuse all callers after a real outage because one call of
        an entry in another data centre fails once more."""
        for view in self.views:
            view.fail("busy")
        named_at = await self.name_version(2)
        await asyncio.sleep(OUTAGE_SECONDS)
        for view in self.views:
            view.recover()
        await asyncio.sleep(2.0)
        self.views[2].fail("busy")
        await asyncio.sleep(1.0)
        self.views[2].recover()
        await asyncio.sleep(named_at + OUTAGE_SECONDS + BOUND_SECONDS - self.loop.time())
        for number in range(self.entries):
            reply = await self.fleet.ask(number, SERVICE, "streaming", f"r{number}")
            self.assertEqual((reply.status, self.engine.runs[f"r{number}"]), (200, 1))
        await asyncio.sleep(SETTLING_SECONDS)
        for gateway in self.gateways:
            self.assertEqual(gateway.state.oldest_to_place(MODEL, 0.0), 2)


class AbsentDataCentreTest(PartialOutageCase):
    """Three data centres with one entry each, of which one is not running for some seconds."""

    data_centres = ("rift-a", "nbi-a", "msa-a")

    async def test_entries_that_are_turned_away_while_the_third_restarts_put_nothing_off(
        self,
    ) -> None:
        """Guards against two entries that the store turns away, and that confirm an outage to each
        other because the third, which it would have served, was killed."""
        for view in self.views[1:]:
            view.fail("busy")
        await kill_gateway(self.gateways[0])
        await asyncio.sleep(2.0)
        named_at = await self.name_version(2)
        await asyncio.sleep(5.0)
        for view in self.views:
            view.recover()
        await self.fleet.restart_gateway(0)
        await self.assert_bound_holds(named_at)


class LateReplyTest(PartialOutageCase):
    """Two entries in different data centres, of which one is turned away by the store."""

    entries = 2
    data_centres = ("rift-a", "nbi-a")

    async def test_reply_that_lay_unread_confirms_no_outage(self) -> None:
        """Guards against a reply of which only a part counts: that the other entry's calls failed,
        too, and not that the store has answered others meanwhile."""
        state, peers = self.gateways[0].state, self.gateways[0].peers
        other = self.gateways[1].peers.own_address

        async def call(asking, address, path, message, *arguments):
            if asking is not peers or not getattr(message, "hold", 0.0):
                return await unreached(asking, address, path, message, *arguments)
            # It was made at once, and is read when this process runs again.
            reply = ChangesReply(
                state.revision,
                0.0,
                False,
                failures=(6.0, 0.0),
                answer_gaps=((math.inf, 7.0), (1.0, -math.inf)),
            )
            await asyncio.sleep(1.0)
            return reply

        named_at = await self.name_version(2)
        await asyncio.sleep(0.5)
        with self.cut_off_from_entries(0):
            self.views[0].fail("busy")
            await asyncio.sleep(5.8)
            unreached = EntryPeers._call
            with mock.patch.object(EntryPeers, "_call", call):
                await peers.fetch_changes(other, 1.2)
            self.assertIs(state.outages.latest, NO_OUTAGE)
            self.views[0].recover()
            await self.assert_bound_holds(named_at)


class FollowersTest(PartialOutageCase):
    """Five entries of one data centre, three of which follow the two that read the store."""

    entries = 5

    async def test_failure_that_a_reader_told_of_long_ago_puts_nothing_off(self) -> None:
        """Guards against followers that remember a reader's failed call until a call of their own
        fails, and take all of the time between for an outage."""
        for view in self.readers():
            view.fail("busy")
            await asyncio.sleep(0.8)
            view.recover()
            await asyncio.sleep(3.0)
        await asyncio.sleep(20.0)
        named_at = await self.name_version(2)
        await asyncio.sleep(3.0)
        number = next(n for n, view in enumerate(self.views) if view not in self.readers())
        state = self.gateways[number].state
        failed_at = state.store_failed_at
        self.views[number].fail("busy")
        with self.cut_off_from_entries(number):
            await self.fleet.wait_until(lambda: state.store_failed_at > failed_at, 5.0)
            self.views[number].recover()
            await asyncio.sleep(1.0)
        await self.assert_bound_holds(named_at)

    def readers(self) -> list[StoreView]:
        """The views of the entries that read the store."""
        pairs = zip(self.gateways, self.views, strict=True)
        ranked = sorted(pairs, key=lambda pair: pair[0].peers.own_address)
        return [view for _, view in ranked[:2]]


if __name__ == "__main__":
    unittest.main()
