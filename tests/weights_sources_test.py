"""Weight sources with real processes: the store, the origin, links or lists fail."""

import asyncio
import unittest

from bench.cluster import Cluster

from . import weights_fleet
from .weights_fleet import WeightsFleet

SIX = {f"worker-{i + 1}": ("rift-a", "nbi-a", "msa-a")[i % 3] for i in range(6)}


class WeightsSourcesTest(unittest.IsolatedAsyncioTestCase):
    """Each test ends with the whole version active on all remaining engines."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.__aexit__)

    async def test_the_store_is_busy_and_the_origin_goes_down(self) -> None:
        """The store answers 429 from the start, and the origin goes down once it has sent one
        copy to the fleet. No sidecar holds the whole version yet, so peers are the only source."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start(
            weights_fleet.SMALL_ORIGIN_MBIT, platform_options=("--store-holds",), store=True
        )
        await self.cluster.control("faults", {"store": "busy"})
        await fleet.add_version("v1")
        await fleet.set_target("v1")

        async def one_copy() -> bool:
            return await fleet.origin_copies() >= 1.0

        await self.cluster.wait_until(one_copy, 20.0, "one copy in the fleet")
        await self.cluster.control("faults", {"store": "busy", "origin": "down"})
        await fleet.wait_until_live("v1")
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_late_joiner_fetches_from_peers(self) -> None:
        """An instance is replaced after the rollout, while the origin is down. Its peers hold
        all chunks together, but each only a part of them because its chunk memory is small."""
        fleet = WeightsFleet(self.cluster, SIX)
        # Two sidecars of a region hold 1.25 copies together; neither holds a whole one.
        await fleet.start(chunk_memory_bytes=weights_fleet.VERSION_BYTES * 5 // 8)
        await fleet.add_version("v1")
        await fleet.set_target("v1")
        await fleet.wait_until_live("v1")
        await self.cluster.control("faults", {"origin": "down"})
        await fleet.kill("worker-4")
        await fleet.start_member("worker-4")
        await self.cluster.publish_instances()
        await fleet.wait_until_live("v1")
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_the_link_between_regions_fails_and_recovers(self) -> None:
        """The link between two regions fails during the transfer, and the origin is unreachable
        as well. Once the link recovers, each side must fetch its missing chunks from the other."""
        pair = {"worker-1": "rift-a", "worker-2": "nbi-a"}
        # Each region fetches its half at once; exchanging the halves takes some seconds.
        fleet = WeightsFleet(self.cluster, pair, between_regions_mbit=4.0)
        await fleet.start(proxied=pair)
        await fleet.add_version("v1")
        await fleet.set_target("v1")

        async def one_copy() -> bool:
            return await fleet.origin_copies() >= 1.0

        await self.cluster.wait_until(one_copy, 20.0, "one copy in the fleet")
        await self.cluster.control("faults", {"origin": "down"})
        drawn = await fleet.origin_copies()
        for control in fleet.proxies.values():
            await self.cluster.put_link_faults(control, refuse=True)
        await asyncio.sleep(1.0)
        self.assertFalse(await fleet.is_live("v1", ["worker-1"]))
        for control in fleet.proxies.values():
            await self.cluster.put_link_faults(control)
        await fleet.wait_until_live("v1")
        self.assertLess(await fleet.origin_copies() - drawn, 0.05)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_the_instance_list_is_out_of_date(self) -> None:
        """The platform's list still has two dead instances and lacks their replacements. Other
        sidecars must fetch what was assigned to the dead ones, and the replacements must get
        the version although no peer can find them in the list."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start()
        await fleet.kill("worker-1", "worker-5")
        for name in ("worker-1", "worker-5"):
            await fleet.start_member(name)
        await fleet.add_version("v1")
        await fleet.set_target("v1")
        await fleet.wait_until_live("v1")
        self.assertLess(await fleet.origin_copies(), 1.3)
        self.assertEqual(await fleet.bad_activations(), 0)
