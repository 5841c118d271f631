"""Real processes: when a version comes into force, and what keeps it from doing so."""

import asyncio
import signal
import unittest

from bench.cluster import Cluster

from . import weights_fleet
from .weights_fleet import WeightsFleet

FOUR = {f"worker-{i + 1}": ("rift-a", "nbi-a")[i % 2] for i in range(4)}
ONE = {"worker-1": "rift-a"}


class WeightsRolloutTest(unittest.IsolatedAsyncioTestCase):
    """No engine is given partial or mixed weights, nor an order of the past."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.__aexit__)

    async def restart_engine(self, name: str) -> None:
        """Starts an engine anew, empty, where the one before was."""
        member = self.cluster.members[name]
        await member.endpoint.wait(10.0)
        options = ("--port", str(member.endpoint_port))
        member.endpoint, _ = await self.cluster.start_engine(name, *options)

    async def test_the_version_changes_twice_in_flight(self) -> None:
        """Operators publish a version, then another, then go back to the first, all before
        the first is complete. Two downloads that race would share the link and end late, or
        the engine would end on whichever came last."""
        fleet = WeightsFleet(self.cluster, FOUR)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT / 4)
        await fleet.make("v1")
        await fleet.make("v2", base_seed=1, changed_fraction=0.5)
        await fleet.want("v1")
        await fleet.wait_held("worker-1", 16)
        await fleet.want("v2")
        await fleet.wait_held("worker-1", 20)
        await fleet.want("v1")
        await fleet.wait_live("v1")
        # A copy of the first and at most what differs in the second.
        self.assertLess(await fleet.origin_copies(), 1.6)
        engines = [await fleet.engine(name) for name in FOUR]
        self.assertEqual([engine["activations"] for engine in engines], [1] * 4)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_sidecar_sleeps_through_a_change(self) -> None:
        """A sidecar is stopped just before it would have ordered a version, and wakes when
        another is wanted. Its engine takes any order. Without the look at its own clock it
        would order the old version, and callers there would be answered by it."""
        fleet = WeightsFleet(self.cluster, FOUR)
        fleet.soak_seconds = 4.0
        await fleet.start()
        await fleet.make("v1")
        await fleet.make("v2")
        await fleet.want("v1")

        async def ready() -> bool:
            states = {name: await fleet.status(name) for name in FOUR}
            return all(state["staged"] or state["version"] for state in states.values())

        await self.cluster.wait_until(ready, 20.0, "all staged, the first in its soak")
        states = {name: await fleet.status(name) for name in FOUR}
        sleeper = next(name for name in FOUR if not states[name]["version"])
        self.cluster.members[sleeper].daemon.send(signal.SIGSTOP)
        fleet.soak_seconds = 0.2
        await fleet.want("v2")
        await fleet.wait_live("v2", [name for name in FOUR if name != sleeper])
        self.cluster.members[sleeper].daemon.send(signal.SIGCONT)
        await fleet.wait_live("v2")
        engine = await fleet.engine(sleeper)
        self.assertEqual(engine["activations"], 1)
        self.assertEqual(engine["late_orders"], 0)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_replaced_sidecar_does_not_order_beside_the_new_one(self) -> None:
        """The platform takes a paused sidecar for dead and starts another beside the same
        engine. Both run when the first wakes. Orders of two processes would cross."""
        fleet = WeightsFleet(self.cluster, ONE)
        await fleet.start()
        await fleet.make("v1")
        await fleet.make("v2")
        await fleet.want("v1")
        await fleet.wait_live("v1")
        first = self.cluster.members["worker-1"]
        first.daemon.send(signal.SIGSTOP)
        endpoint = (first.endpoint, first.endpoint_port)
        second = await fleet.start_one("worker-1", endpoint=endpoint)
        await self.cluster.publish_instances()
        await second.daemon.read_event("orderer_waits")
        await fleet.want("v2")
        first.daemon.send(signal.SIGCONT)
        await fleet.wait_live("v2")
        self.assertFalse((await fleet.weights("worker-1"))["orders"])
        await first.daemon.kill()
        await fleet.make("v3")
        await fleet.want("v3")
        await fleet.wait_live("v3")
        self.assertTrue((await fleet.weights("worker-1"))["orders"])
        self.assertEqual((await fleet.engine("worker-1"))["activations"], 3)

    async def test_an_engine_dies_while_it_is_being_loaded(self) -> None:
        """An engine crashes halfway through the chunks and comes back empty. What it had
        been given is gone, and an order to switch would find partial weights."""
        fleet = WeightsFleet(self.cluster, FOUR)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT / 4)
        await fleet.make("v1")
        await fleet.want("v1")
        await fleet.wait_held("worker-2", 20)
        await self.cluster.members["worker-2"].endpoint.kill()
        await self.restart_engine("worker-2")
        await fleet.wait_live("v1")
        self.assertLess(await fleet.origin_copies(), 1.1)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_version_that_crashes_its_first_replicas_stops(self) -> None:
        """A version is complete and verified, yet every engine that loads it dies. Were it
        to go on, wave after wave would go down; it must stop by itself, say so, and leave
        the fleet, and the engines that come back, on the version before."""
        fleet = WeightsFleet(self.cluster, FOUR)
        await fleet.start()
        await fleet.make("v1")
        await fleet.want("v1")
        await fleet.wait_live("v1")
        await fleet.make("bad")
        for member in self.cluster.members.values():
            await self.cluster.put_faults(member.endpoint_port, crash_on_activate="bad")
        await fleet.want("bad")

        async def stopped() -> bool:
            states = [await fleet.status(name) for name in FOUR]
            return all(state["stopped"] == "bad" for state in states)

        await self.cluster.wait_until(stopped, 20.0, "the version stopped everywhere")
        dead = [name for name in FOUR if not self.cluster.members[name].endpoint.alive]
        self.assertLessEqual(len(dead), 2)
        for name in dead:
            await self.restart_engine(name)
        await fleet.wait_live("v1")
        logs = "".join(member.daemon.text() for member in self.cluster.members.values())
        self.assertIn('"event":"version_stopped"', logs)
        # The next version goes through, for the stop was of that version alone.
        await fleet.make("v2")
        await fleet.want("v2")
        await fleet.wait_live("v2")
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_the_configuration_service_is_down_then_replays(self) -> None:
        """The service goes down in the middle of a rollout and comes back with an old copy.
        The rollout under way must end, and nobody may go back."""
        fleet = WeightsFleet(self.cluster, FOUR)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT)
        await fleet.make("v1")
        await fleet.make("v2")
        await fleet.want("v1")
        await fleet.wait_live("v1")
        await fleet.want("v2")
        await fleet.wait_held("worker-1", 8)
        await self.cluster.control("faults", {"configuration": "down"})
        await fleet.wait_live("v2")
        await self.cluster.control("faults", {"configuration": "stale", "stale_revision": 1})
        await asyncio.sleep(2.5)
        self.assertTrue(await fleet.live("v2", FOUR))
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_adapters_and_roles_go_the_same_way(self) -> None:
        """Operators add an adapter and change a role. Both must reach the engines whole,
        without a rollout of the model and without a copy of the adapter for each of them."""
        fleet = WeightsFleet(self.cluster, FOUR)
        await fleet.start()
        await fleet.make("v1")
        await fleet.want("v1")
        await fleet.wait_live("v1")
        before = (await self.cluster.counters())["origin_weight_bytes"]
        size = 4 * weights_fleet.CHUNK_BYTES
        wanted = {"total_bytes": size, "chunk_bytes": weights_fleet.CHUNK_BYTES, "seed": 99}
        root = await self.cluster.make_version(**wanted)
        fleet.adapters = {"polite": {"root": root, "bytes": size}}
        fleet.endpoint_facts = {"worker-2": {"role": "decode"}}
        await fleet.want("v1")

        async def loaded() -> bool:
            engines = [await fleet.engine(name) for name in FOUR]
            return all(engine["adapters"].get("polite") == root for engine in engines)

        await self.cluster.wait_until(loaded, 20.0, "the adapter on all engines")
        drawn = (await self.cluster.counters())["origin_weight_bytes"] - before
        self.assertLess(drawn, 1.3 * size)
        engines = {name: await fleet.engine(name) for name in FOUR}
        self.assertEqual(len({e["adapter_contents"]["polite"] for e in engines.values()}), 1)
        self.assertEqual(engines["worker-2"]["role"], "decode")
        self.assertEqual([engine["activations"] for engine in engines.values()], [1] * 4)
