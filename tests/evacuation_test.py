"""Evacuated data centres: nothing is sent there, and what runs there goes on."""

import asyncio
import unittest
from unittest import mock

from tests.fake_platform import (
    FakeEndpoint,
    PlatformFleet,
    ReceivedRequest,
    Reply,
    make_configuration,
    run_and_reset,
    stream_events,
)
from tests.paused_clock import PausedClockCase
from wasabidrum.gateway import endpoint_connection
from wasabidrum.gateway.daemon import Gateway
from wasabidrum.platform import names

SERVICE = "text"
HERE, THERE = "rift-a", "nbi-a"


async def never_begin(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Accepts a request, and does not begin it."""
    await asyncio.sleep(3600)


class EvacuationTest(PausedClockCase):
    """One endpoint in each of two data centres, and an entry in the first."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, SERVICE))
        self.here = await self.fleet.add_endpoint("here", SERVICE, HERE)
        self.there = await self.fleet.add_endpoint("there", SERVICE, THERE)
        self.gateway = await self.fleet.add_gateway("entry-0")
        await self.fleet.wait_until(lambda: self.gateway.ready)
        self._asked = 0

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def evacuate(self, *data_centres: str) -> None:
        """Evacuates data centres, and waits until all entries know."""
        for name in data_centres:
            await self.fleet.store.put(names.EVACUATION_PREFIX + name, {})
        await self.wait_for(len(data_centres), *self.fleet.gateways)

    async def wait_for(self, count: int, *entries: Gateway) -> None:
        """Waits until entries know of some evacuated data centres, within the bound."""
        await self.fleet.wait_until(
            lambda: all(e.state.evacuations.count == count for e in entries), 5.0
        )

    async def ask(self, kind: str = "safe", entry: int = 0) -> Reply:
        """Sends a request to an entry."""
        self._asked += 1
        return await self.fleet.ask(entry, SERVICE, kind, f"r{self._asked}")

    async def test_every_entry_knows(self) -> None:
        """Guards against an entry that sends requests there because it follows another one, has
        started late, or cannot reach the store."""
        for number in (1, 2):
            await self.fleet.add_gateway(f"entry-{number}")
        gateways = self.fleet.gateways
        await self.fleet.wait_until(lambda: all(g.peers.count == 3 for g in gateways), 20.0)
        await asyncio.sleep(3.0)
        await self.evacuate(HERE)
        late = await self.fleet.add_gateway("entry-3", store_port=9)
        await self.fleet.wait_until(lambda: late.ready, 10.0)
        replies = [await self.ask(entry=number) for number in range(4)]
        self.assertEqual({reply.body for reply in replies}, {b"there"})
        await self.fleet.store.delete(names.EVACUATION_PREFIX + HERE)
        await self.wait_for(0, *gateways)
        self.assertEqual((await self.ask()).body, b"here")
        self.assertLess(self.loop.time() - self.gateway.state.evacuations.ended_at(HERE), 5.0)

    async def test_key_is_gone_from_a_new_snapshot(self) -> None:
        """Guards against a data centre that stays unused because a removal was never seen."""
        await self.evacuate(HERE)
        store = self.fleet.store
        del store.items[names.EVACUATION_PREFIX + HERE]
        store.revision += 1
        store.history_from = store.revision
        await self.wait_for(0, self.gateway)

    async def test_all_data_centres(self) -> None:
        """Guards against callers that wait for nothing, or are sent back after too long."""
        await self.fleet.store.put(names.EVACUATION_PREFIX + "typo", {})
        await self.evacuate(HERE, THERE)
        with mock.patch.object(endpoint_connection, "connect") as connect:
            replies = [await self.ask(kind) for kind in ("safe", "unsafe", "streaming")]
        connect.assert_not_called()
        for reply in replies:
            self.assertEqual((reply.status, reply.headers["retry-after"]), (503, "2.500"))
            self.assertIn(b"data_centre_evacuated", reply.body)

    async def test_evacuated_between_placement_and_sending(self) -> None:
        """Guards against a request that is sent late because its connection took long to open, and
        against a refusal without the reason where no other endpoint is left."""
        connect = endpoint_connection.connect
        for data_centres in ((HERE,), (HERE, THERE)):

            async def connect_late(*arguments, evacuated=data_centres):
                connection = await connect(*arguments)
                await self.evacuate(*evacuated)
                return connection

            with mock.patch.object(endpoint_connection, "connect", connect_late):
                reply = await self.ask()
            self.assertEqual(reply.status, 200 if len(data_centres) == 1 else 503)
        self.assertIn(b"data_centre_evacuated", reply.body)
        self.assertEqual((len(self.here.received), len(self.there.received)), (0, 1))

    async def test_retry_and_resumed_stream(self) -> None:
        """Guards against requests that fail elsewhere and are sent to an evacuated endpoint."""
        await self.evacuate(THERE)
        self.here.handler = run_and_reset
        self.assertEqual((await self.ask()).status, 502)
        self.here.handler = stream_events(1, 5, cut_after=3)
        self.assertFalse((await self.ask("streaming")).whole)
        self.assertFalse(self.there.received)

    async def test_running_stream_goes_on(self) -> None:
        """Guards against an answer that is cut because its data centre is evacuated."""
        self.here.handler = stream_events(1, 100)
        asking = asyncio.ensure_future(self.ask("streaming"))
        await asyncio.sleep(0.1)
        await self.evacuate(HERE)
        self.report_waiting(1)
        self.assertTrue((await asking).whole)
        self.assertFalse(self.there.received)

    async def test_waiting_stream_moves_if_another_endpoint_has_a_place(self) -> None:
        """Guards against callers that wait in the queue of a data centre that is about to end, and
        against work that is cut just before its first event."""
        self.here.handler = never_begin
        self.there.handler = stream_events(1, 5)
        asking = asyncio.ensure_future(self.ask("streaming"))
        await asyncio.sleep(0.1)
        await self.evacuate(HERE)
        await asyncio.sleep(0.3)
        self.assertFalse(self.there.received)
        self.report_waiting(1)
        self.assertTrue((await asking).whole)
        self.assertEqual((self.here.closed_early, len(self.there.received)), (1, 1))

    def report_waiting(self, waiting: int) -> None:
        """Lets the entry receive a report of requests that wait at its endpoint."""
        endpoint = self.gateway.state.endpoints.get("here")
        load = self.gateway.placer.load_of(endpoint)
        load.record_report(6, waiting, 1.0, self.loop.time())


if __name__ == "__main__":
    unittest.main()
