"""Requests that may be served in some regions only, and where reports of them go."""

import unittest
from unittest import mock

from tests.fake_platform import (
    PlatformFleet,
    Reply,
    make_configuration,
    run_and_reset,
    stream_events,
)
from tests.paused_clock import PausedClockCase
from wasabidrum.core.instance import InstanceRole
from wasabidrum.core.part_report import PartReport
from wasabidrum.core.status import Status
from wasabidrum.gateway import endpoint_connection
from wasabidrum.gateway.daemon import Gateway
from wasabidrum.peers.peer_link import PeerLink
from wasabidrum.peers.peer_messages import Push
from wasabidrum.platform import names

SERVICE = "text"
PART = "bad0"


class HomeRegionsTest(PausedClockCase):
    """Two regions with an endpoint each, and an entry in the first."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self._version = 7
        self.rift = await self.fleet.add_endpoint("rift", SERVICE)
        self.nairobi = await self.fleet.add_endpoint("nairobi", SERVICE, "nbi-a")
        await self.publish(("nairobi",))
        self.gateway = await self.fleet.add_gateway("entry-0")
        await self.fleet.wait_until(lambda: self.gateway.ready)
        self._asked = 0

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def publish(
        self, route_regions: tuple[str, ...], workspace_regions: tuple[str, ...] = ()
    ) -> None:
        """Publishes a configuration, and waits until it is in force at all entries."""
        self._version += 1
        configuration = make_configuration(self._version, SERVICE, tenants=True)
        configuration["tenants"][0]["allowedRegions"] = workspace_regions
        for route in configuration["routes"]:
            route["allowedRegions"] = route_regions
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        version, entries = self._version, self.fleet.gateways
        await self.fleet.wait_until(lambda: all(e.state.version == version for e in entries))

    async def ask(self, kind: str = "safe") -> Reply:
        """Sends a request to the first entry."""
        self._asked += 1
        lines = (f"{names.AUTHORIZATION}: Bearer key-1", f"{names.PROMPT_PREFIX}: {PART}:100,c0:1")
        return await self.fleet.ask(0, SERVICE, kind, f"r{self._asked}", *lines)

    async def test_served_at_home_or_refused(self) -> None:
        """Guards against a request that is served by the nearest endpoint, or anywhere when none
        is left at home."""
        self.assertEqual((await self.ask()).body, b"nairobi")
        await self.publish(("nairobi",), ("rift",))
        reply = await self.ask()
        self.assertEqual((reply.status, reply.headers["retry-after"]), (503, "2.500"))
        self.assertIn(b"no_home_endpoint", reply.body)
        self.assertFalse(self.rift.received)
        await self.publish((), ())
        self.assertEqual((await self.ask()).body, b"rift")

    async def test_homes_change_while_a_request_waits_or_streams(self) -> None:
        """Guards against requests, retries and resumed streams that follow homes of the past."""
        connect = endpoint_connection.connect

        async def connect_late(*arguments):
            connection = await connect(*arguments)
            await self.publish(("rift",))
            return connection

        with mock.patch.object(endpoint_connection, "connect", connect_late):
            self.assertEqual((await self.ask()).body, b"rift")
        stream = stream_events(1, 5, cut_after=3)

        async def cut_after_change(*arguments):
            await self.publish(("nairobi",))
            await stream(*arguments)

        self.rift.handler, self.nairobi.handler = cut_after_change, stream_events(1, 5)
        self.assertTrue((await self.ask("streaming")).whole)
        self.assertEqual((len(self.rift.received), len(self.nairobi.received)), (2, 1))
        self.nairobi.handler = run_and_reset
        self.assertEqual((await self.ask()).status, 502)
        self.assertEqual(len(self.rift.received), 2)

    async def test_reports_stay_at_home(self) -> None:
        """Guards against digests of a request that reach entries in other regions, at once, when
        these start, or through an entry at home."""
        for data_centre in ("nbi-a", "rift-a"):
            await self.fleet.add_gateway(f"entry-{data_centre}", data_centre=data_centre)
        entries = self.fleet.gateways
        await self.fleet.wait_until(lambda: all(e.peers.count == 3 for e in entries), 20.0)
        self.nairobi.handler = run_and_reset
        for _ in range(2):
            await self.ask()
        await self.fleet.wait_until(lambda: knows(entries[1]))
        await self.fleet.restart_gateway(2)
        await self.fleet.wait_until(lambda: entries[2].peers._knows_deaths, 10.0)
        # Several exchanges with each of the others.
        await self.fleet.wait_until(lambda: entries[2].peers.count == 3, 20.0)
        self.assertEqual(len(entries[2].poison_guard) + len(entries[2].part_guard._parts), 0)
        await self.fleet.restart_gateway(1)
        await self.fleet.wait_until(lambda: knows(entries[1]), 20.0)
        await self.publish(())
        self.rift.handler = run_and_reset
        key = f"{names.AUTHORIZATION}: Bearer key-1"
        await self.fleet.ask(0, SERVICE, "unsafe", "without-homes", key)
        await self.fleet.wait_until(lambda: len(entries[2].poison_guard) == 1)

    async def test_sidecars_learn_parts_of_their_regions_only(self) -> None:
        """Guards against a status that tells a sidecar of parts before its region is known, or
        withholds them for good."""
        own = Status("own", InstanceRole.ENTRY, "1")
        parts = (PartReport("a", 0, 3, regions=("rift",)), PartReport("b", 0, 3))
        owner = mock.Mock(status=lambda: Status("own", InstanceRole.ENTRY, "1", parts=parts))
        for region, expected in (("rift", ["a", "b"]), ("nairobi", ["b"])):
            link = PeerLink("other", False, owner)
            self.assertEqual([part.part for part in link.next_push().status.parts], ["b"])
            link.merge_push(Push(status=Status("other", own.role, "1", region=region)))
            self.assertTrue(link._woken)
            sent = link.next_push().status
            names_sent = ["b"] if sent is None else [part.part for part in sent.parts]
            self.assertEqual(names_sent, expected)


def knows(gateway: Gateway) -> bool:
    """Returns whether an entry knows the request and the part that crash endpoints."""
    return len(gateway.poison_guard) == 1 and not gateway.part_guard.allows((PART,))


if __name__ == "__main__":
    unittest.main()
