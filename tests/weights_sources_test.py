"""Real processes: the version comes from whoever holds it when sources and lists fail."""

import asyncio
import unittest

from bench.cluster import Cluster

from . import weights_fleet
from .weights_fleet import WeightsFleet

SIX = {f"worker-{i + 1}": ("rift-a", "nbi-a", "msa-a")[i % 3] for i in range(6)}


class WeightsSourcesTest(unittest.IsolatedAsyncioTestCase):
    """Every test ends with the version whole on all who stay, and the origin's bytes counted."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.__aexit__)

    async def test_the_store_is_busy_and_the_origin_goes_away(self) -> None:
        """The store answers 429 from the start, and the origin's line breaks once the fleet
        holds one copy between all. Nobody has the whole yet, and nobody else can be asked."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start(
            weights_fleet.SMALL_ORIGIN_MBIT, platform_options=("--store-holds",), store=True
        )
        await self.cluster.control("faults", {"store": "busy"})
        await fleet.make("v1")
        await fleet.want("v1")

        async def one_copy() -> bool:
            return await fleet.origin_copies() >= 1.0

        await self.cluster.wait_until(one_copy, 20.0, "one copy in the fleet")
        await self.cluster.control("faults", {"store": "busy", "origin": "down"})
        await fleet.wait_live("v1")
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_late_joiner_is_fed_by_peers(self) -> None:
        """An instance is replaced hours after the burst, while the origin is down. Its peers
        hold every chunk, each only a part because their memory is small."""
        fleet = WeightsFleet(self.cluster, SIX)
        # Two sidecars of a region hold 1.25 copies together, none holds a whole one.
        await fleet.start(chunk_memory_bytes=weights_fleet.VERSION_BYTES * 5 // 8)
        await fleet.make("v1")
        await fleet.want("v1")
        await fleet.wait_live("v1")
        await self.cluster.control("faults", {"origin": "down"})
        await fleet.kill("worker-4")
        await fleet.start_one("worker-4")
        await self.cluster.publish_instances()
        await fleet.wait_live("v1")
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_regions_lose_each_other_and_come_back(self) -> None:
        """The link between two regions breaks mid-way and the origin is out of reach as well.
        When the link is back each side must get from the other what it still lacks."""
        pair = {"worker-1": "rift-a", "worker-2": "nbi-a"}
        # Each draws its half at once, and the exchange of the halves takes some seconds.
        fleet = WeightsFleet(self.cluster, pair, between_regions_mbit=4.0)
        await fleet.start(proxied=pair)
        await fleet.make("v1")
        await fleet.want("v1")

        async def one_copy() -> bool:
            return await fleet.origin_copies() >= 1.0

        await self.cluster.wait_until(one_copy, 20.0, "one copy in the fleet")
        await self.cluster.control("faults", {"origin": "down"})
        drawn = await fleet.origin_copies()
        for control in fleet.proxies.values():
            await self.cluster.put_link_faults(control, refuse=True)
        await asyncio.sleep(1.0)
        self.assertFalse(await fleet.live("v1", ["worker-1"]))
        for control in fleet.proxies.values():
            await self.cluster.put_link_faults(control)
        await fleet.wait_live("v1")
        self.assertLess(await fleet.origin_copies() - drawn, 0.05)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_the_list_shows_the_dead_and_hides_the_new(self) -> None:
        """The platform's list lags: it names two instances that are gone and not the ones
        that took their place. Work planned for the dead must be done by others, and the new
        ones must get the version although nobody can find them."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start()
        await fleet.kill("worker-1", "worker-5")
        for name in ("worker-1", "worker-5"):
            await fleet.start_one(name)
        await fleet.make("v1")
        await fleet.want("v1")
        await fleet.wait_live("v1")
        self.assertLess(await fleet.origin_copies(), 1.3)
        self.assertEqual(await fleet.bad_activations(), 0)
