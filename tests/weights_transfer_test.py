"""Tests of chunk transfer with real processes, while peers and links fail."""

import unittest

from bench.cluster import Cluster

from . import weights_fleet
from .weights_fleet import WeightsFleet

SIX = {f"worker-{i + 1}": ("rift-a", "nbi-a", "msa-a")[i % 3] for i in range(6)}
TEN = {f"worker-{i + 1}": ("rift-a", "nbi-a", "msa-a")[i % 3] for i in range(10)}


class WeightsTransferTest(unittest.IsolatedAsyncioTestCase):
    """Each test ends with the whole version active on all remaining engines and bounds the
    bytes that the origin sends."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.__aexit__)

    async def origin_readers(self, fleet: WeightsFleet) -> list[str]:
        """Returns the sidecars that have fetched from the origin, most bytes first."""
        drawn = {name: (await fleet.transfer_status(name))["from_origin"] for name in fleet.regions}
        return sorted((name for name in drawn if drawn[name]), key=lambda name: -drawn[name])

    async def test_one_copy_and_only_what_changed(self) -> None:
        """All sidecars fetch the same version at once, then one that differs in a few chunks.
        If each of them fetched from the origin, its link would carry six copies and the
        rollout would take six times as long."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start()
        await fleet.add_version("v1")
        await fleet.set_target("v1")
        await fleet.wait_until_live("v1")
        self.assertLess(await fleet.origin_copies(), 1.05)
        await fleet.add_version("v2", base_seed=1, changed_fraction=0.1)
        await fleet.set_target("v2")
        await fleet.wait_until_live("v2")
        self.assertLess(await fleet.origin_copies(), 1.3)
        # Going back to v1 is a new rollout; chunks evicted from memory are fetched again, once.
        await fleet.set_target("v1")
        await fleet.wait_until_live("v1")
        self.assertLess(await fleet.origin_copies(), 1.6)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_sidecar_dies_while_fetching_from_the_origin(self) -> None:
        """An instance is lost while it fetches its share from the origin. If its share were not
        reassigned, those chunks would never arrive and no replica would get the version."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT / 4)
        await fleet.add_version("v1")
        await fleet.set_target("v1")
        await fleet.wait_for_chunks("worker-1", 16)
        victim = (await self.origin_readers(fleet))[0]
        await fleet.kill(victim)
        left = [name for name in SIX if name != victim]
        await fleet.wait_until_live("v1", left)
        self.assertLess(await fleet.origin_copies(), 1.3)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_several_sidecars_die_together(self) -> None:
        """A network switch fails, and two instances are lost together during the transfer. The
        remaining sidecars must not each fetch from the origin what the dead ones would have
        forwarded."""
        fleet = WeightsFleet(self.cluster, TEN)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT / 4)
        await fleet.add_version("v1")
        await fleet.set_target("v1")
        await fleet.wait_for_chunks("worker-1", 16)
        victims = (await self.origin_readers(fleet))[:2]
        await fleet.kill(*victims)
        await fleet.wait_until_live("v1", [name for name in TEN if name not in victims])
        self.assertLess(await fleet.origin_copies(), 1.4)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_link_stalls_without_closing(self) -> None:
        """A link stops transferring bytes in the middle of chunks, without closing connections.
        A sidecar without a timeout would wait for ever, and its replica would not be updated."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT / 4, proxied=["worker-1", "worker-2"])
        await fleet.add_version("v1")
        await fleet.set_target("v1")
        await fleet.wait_for_chunks("worker-3", 12)
        for control in fleet.proxies.values():
            await self.cluster.put_link_faults(control, stall=True)
        others = [name for name in SIX if name not in fleet.proxies]
        await fleet.wait_until_live("v1", others)
        for control in fleet.proxies.values():
            await self.cluster.put_link_faults(control)
        await fleet.wait_until_live("v1")
        self.assertLess(await fleet.origin_copies(), 1.5)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_peer_always_sends_corrupted_bytes(self) -> None:
        """A peer's memory or link corrupts every chunk that it sends. Without verification, engines
        would load corrupt weights; without avoiding that peer afterwards, its children in the
        distribution tree would never finish."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start(proxied=["worker-1"])
        await self.cluster.put_link_faults(
            fleet.proxies["worker-1"], corrupt_every_bytes=weights_fleet.CHUNK_BYTES // 2
        )
        await fleet.add_version("v1")
        await fleet.set_target("v1")
        await fleet.wait_until_live("v1")
        told = [
            (await fleet.transfer_status(name))["corrupt"] for name in SIX if name != "worker-1"
        ]
        self.assertGreater(sum(told), 0)
        self.assertLess(await fleet.origin_copies(), 1.5)
        self.assertEqual(await fleet.bad_activations(), 0)
