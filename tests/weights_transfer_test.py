"""Real processes: chunks reach everyone while peers, links and the origin fail."""

import unittest

from bench.cluster import Cluster

from . import weights_fleet
from .weights_fleet import WeightsFleet

SIX = {f"worker-{i + 1}": ("rift-a", "nbi-a", "msa-a")[i % 3] for i in range(6)}
TEN = {f"worker-{i + 1}": ("rift-a", "nbi-a", "msa-a")[i % 3] for i in range(10)}


class WeightsTransferTest(unittest.IsolatedAsyncioTestCase):
    """Every test ends with the version whole on all who stay, and the origin's bytes counted."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.__aexit__)

    async def drawers(self, fleet: WeightsFleet) -> list[str]:
        """Returns the sidecars that have drawn from the origin, the busiest first."""
        drawn = {name: (await fleet.weights(name))["from_origin"] for name in fleet.regions}
        return sorted((name for name in drawn if drawn[name]), key=lambda name: -drawn[name])

    async def test_one_copy_and_only_what_changed(self) -> None:
        """Everyone wants the same version at once, then one that differs in a few chunks.
        Were each to ask the origin, its link would carry six copies and the burst would
        take six times as long."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start()
        await fleet.make("v1")
        await fleet.want("v1")
        await fleet.wait_live("v1")
        self.assertLess(await fleet.origin_copies(), 1.05)
        await fleet.make("v2", base_seed=1, changed_fraction=0.1)
        await fleet.want("v2")
        await fleet.wait_live("v2")
        self.assertLess(await fleet.origin_copies(), 1.3)
        # Back to the first is another version; what left the memories comes once again.
        await fleet.want("v1")
        await fleet.wait_live("v1")
        self.assertLess(await fleet.origin_copies(), 1.6)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_one_who_draws_from_the_origin_dies_at_half(self) -> None:
        """An instance is lost while it draws its part from the origin. Without repair the
        chunks that only it was to bring never come, and no replica gets the version."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT / 4)
        await fleet.make("v1")
        await fleet.want("v1")
        await fleet.wait_held("worker-1", 16)
        victim = (await self.drawers(fleet))[0]
        await fleet.kill(victim)
        left = [name for name in SIX if name != victim]
        await fleet.wait_live("v1", left)
        self.assertLess(await fleet.origin_copies(), 1.3)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_several_die_together(self) -> None:
        """A switch fails and takes instances of all regions with it, mid-way. The rest must
        not each turn to the origin for what the dead were to pass on."""
        fleet = WeightsFleet(self.cluster, TEN)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT / 4)
        await fleet.make("v1")
        await fleet.want("v1")
        await fleet.wait_held("worker-1", 16)
        victims = (await self.drawers(fleet))[:2]
        await fleet.kill(*victims)
        await fleet.wait_live("v1", [name for name in TEN if name not in victims])
        self.assertLess(await fleet.origin_copies(), 1.4)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_link_stalls_without_closing(self) -> None:
        """A link stops carrying bytes and closes nothing, in the middle of chunks. Whoever
        waits for its end waits for ever, and its replica keeps the old version."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT / 4, proxied=["worker-1", "worker-2"])
        await fleet.make("v1")
        await fleet.want("v1")
        await fleet.wait_held("worker-3", 12)
        for control in fleet.proxies.values():
            await self.cluster.put_link_faults(control, stall=True)
        others = [name for name in SIX if name not in fleet.proxies]
        await fleet.wait_live("v1", others)
        for control in fleet.proxies.values():
            await self.cluster.put_link_faults(control)
        await fleet.wait_live("v1")
        self.assertLess(await fleet.origin_copies(), 1.5)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_peer_always_sends_corrupted_bytes(self) -> None:
        """A peer's memory or link changes bytes in every chunk it gives. Unchecked, engines
        would load nonsense; checked but trusted again, its children would never finish."""
        fleet = WeightsFleet(self.cluster, SIX)
        await fleet.start(proxied=["worker-1"])
        await self.cluster.put_link_faults(
            fleet.proxies["worker-1"], corrupt_every_bytes=weights_fleet.CHUNK_BYTES // 2
        )
        await fleet.make("v1")
        await fleet.want("v1")
        await fleet.wait_live("v1")
        told = [(await fleet.weights(name))["corrupt"] for name in SIX if name != "worker-1"]
        self.assertGreater(sum(told), 0)
        self.assertLess(await fleet.origin_copies(), 1.5)
        self.assertEqual(await fleet.bad_activations(), 0)
