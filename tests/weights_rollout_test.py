"""Tests of weight rollouts with real processes: when a version is activated and when it is not."""

import asyncio
import signal
import unittest

from bench.cluster import Cluster

from . import weights_fleet
from .weights_fleet import WeightsFleet

FOUR = {f"worker-{i + 1}": ("rift-a", "nbi-a")[i % 2] for i in range(4)}
ONE = {"worker-1": "rift-a"}


class WeightsRolloutTest(unittest.IsolatedAsyncioTestCase):
    """No engine activates partial or mixed weights or receives an outdated order."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.__aexit__)

    async def restart_engine(self, name: str) -> None:
        """Starts an empty engine on the port of the one that exited."""
        member = self.cluster.members[name]
        await member.endpoint.wait(10.0)
        options = ("--port", str(member.endpoint_port))
        member.endpoint, _ = await self.cluster.start_engine(name, *options)

    async def test_the_target_version_changes_twice_during_a_fetch(self) -> None:
        """Operators publish v1, then v2, then v1 again before v1 is complete. If both downloads
        went on, they would compete for the link and finish late, and the engine could end up
        with whichever finished last."""
        fleet = WeightsFleet(self.cluster, FOUR)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT / 4)
        await fleet.add_version("v1")
        await fleet.add_version("v2", base_seed=1, changed_fraction=0.5)
        await fleet.set_target("v1")
        await fleet.wait_for_chunks("worker-1", 16)
        await fleet.set_target("v2")
        await fleet.wait_for_chunks("worker-1", 20)
        await fleet.set_target("v1")
        await fleet.wait_until_live("v1")
        # One copy of v1, and at most the chunks of v2 that differ.
        self.assertLess(await fleet.origin_copies(), 1.6)
        engines = [await fleet.engine_counters(name) for name in FOUR]
        self.assertEqual([engine["activations"] for engine in engines], [1] * 4)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_sidecar_is_paused_during_a_change(self) -> None:
        """A sidecar is paused just before it would order its engine to activate a version, and
        resumes when another version is the target. The engine does not check fencing tokens, so
        a sidecar that did not detect the pause by its clock would activate the old version,
        which would then answer callers."""
        fleet = WeightsFleet(self.cluster, FOUR)
        fleet.soak_seconds = 4.0
        await fleet.start()
        await fleet.add_version("v1")
        await fleet.add_version("v2")
        await fleet.set_target("v1")

        async def ready() -> bool:
            states = {name: await fleet.status(name) for name in FOUR}
            return all(state["staged"] or state["version"] for state in states.values())

        await self.cluster.wait_until(ready, 20.0, "all staged, the first replica in its soak")
        states = {name: await fleet.status(name) for name in FOUR}
        paused = next(name for name in FOUR if not states[name]["version"])
        self.cluster.members[paused].daemon.send(signal.SIGSTOP)
        fleet.soak_seconds = 0.2
        await fleet.set_target("v2")
        await fleet.wait_until_live("v2", [name for name in FOUR if name != paused])
        self.cluster.members[paused].daemon.send(signal.SIGCONT)
        await fleet.wait_until_live("v2")
        engine = await fleet.engine_counters(paused)
        self.assertEqual(engine["activations"], 1)
        self.assertEqual(engine["late_orders"], 0)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_replaced_sidecar_does_not_send_orders_beside_the_new_one(self) -> None:
        """The platform considers a paused sidecar dead and starts another one for the same
        engine. Both run once the first resumes, and orders of both would conflict."""
        fleet = WeightsFleet(self.cluster, ONE)
        await fleet.start()
        await fleet.add_version("v1")
        await fleet.add_version("v2")
        await fleet.set_target("v1")
        await fleet.wait_until_live("v1")
        first = self.cluster.members["worker-1"]
        first.daemon.send(signal.SIGSTOP)
        endpoint = (first.endpoint, first.endpoint_port)
        second = await fleet.start_member("worker-1", endpoint=endpoint)
        await self.cluster.publish_instances()
        await second.daemon.read_event("orderer_waits")
        await fleet.set_target("v2")
        first.daemon.send(signal.SIGCONT)
        await fleet.wait_until_live("v2")
        self.assertFalse((await fleet.transfer_status("worker-1"))["orders"])
        await first.daemon.kill()
        await fleet.add_version("v3")
        await fleet.set_target("v3")
        await fleet.wait_until_live("v3")
        self.assertTrue((await fleet.transfer_status("worker-1"))["orders"])
        self.assertEqual((await fleet.engine_counters("worker-1"))["activations"], 3)

    async def test_an_engine_dies_while_it_is_being_loaded(self) -> None:
        """An engine crashes after part of the chunks was staged, and restarts empty. A sidecar
        that counted the lost chunks as staged would activate partial weights."""
        fleet = WeightsFleet(self.cluster, FOUR)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT / 4)
        await fleet.add_version("v1")
        await fleet.set_target("v1")
        await fleet.wait_for_chunks("worker-2", 20)
        await self.cluster.members["worker-2"].endpoint.kill()
        await self.restart_engine("worker-2")
        await fleet.wait_until_live("v1")
        self.assertLess(await fleet.origin_copies(), 1.1)
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_a_version_that_crashes_its_first_replicas_is_stopped(self) -> None:
        """A version is complete and verified, but every engine that activates it crashes. A
        rollout that continued would take down one wave after another; it must stop by itself,
        log that, and keep the fleet and the restarted engines on the previous version."""
        fleet = WeightsFleet(self.cluster, FOUR)
        await fleet.start()
        await fleet.add_version("v1")
        await fleet.set_target("v1")
        await fleet.wait_until_live("v1")
        await fleet.add_version("bad")
        for member in self.cluster.members.values():
            await self.cluster.put_faults(member.endpoint_port, crash_on_activate="bad")
        await fleet.set_target("bad")

        async def stopped() -> bool:
            states = [await fleet.status(name) for name in FOUR]
            return all(state["stopped"] == "bad" for state in states)

        await self.cluster.wait_until(stopped, 20.0, "the version stopped everywhere")
        dead = [name for name in FOUR if not self.cluster.members[name].endpoint.alive]
        self.assertLessEqual(len(dead), 2)
        for name in dead:
            await self.restart_engine(name)
        await fleet.wait_until_live("v1")
        logs = "".join(member.daemon.text() for member in self.cluster.members.values())
        self.assertIn('"event":"version_stopped"', logs)
        # The stop applies to that version only, so the next one is rolled out.
        await fleet.add_version("v2")
        await fleet.set_target("v2")
        await fleet.wait_until_live("v2")
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_the_configuration_service_fails_then_serves_an_old_revision(self) -> None:
        """The service goes down during a rollout and comes back with an old copy. The rollout
        must complete, and no engine may return to the old version."""
        fleet = WeightsFleet(self.cluster, FOUR)
        await fleet.start(weights_fleet.SMALL_ORIGIN_MBIT)
        await fleet.add_version("v1")
        await fleet.add_version("v2")
        await fleet.set_target("v1")
        await fleet.wait_until_live("v1")
        await fleet.set_target("v2")
        await fleet.wait_for_chunks("worker-1", 8)
        await self.cluster.control("faults", {"configuration": "down"})
        await fleet.wait_until_live("v2")
        await self.cluster.control("faults", {"configuration": "stale", "stale_revision": 1})
        await asyncio.sleep(2.5)
        self.assertTrue(await fleet.is_live("v2", FOUR))
        self.assertEqual(await fleet.bad_activations(), 0)

    async def test_adapters_and_roles_reach_the_engines(self) -> None:
        """Operators add an adapter and change a role. Both must reach the engines completely,
        without a new rollout of the model and without a download from the origin per engine."""
        fleet = WeightsFleet(self.cluster, FOUR)
        await fleet.start()
        await fleet.add_version("v1")
        await fleet.set_target("v1")
        await fleet.wait_until_live("v1")
        before = (await self.cluster.counters())["origin_weight_bytes"]
        size = 4 * weights_fleet.CHUNK_BYTES
        wanted = {"total_bytes": size, "chunk_bytes": weights_fleet.CHUNK_BYTES, "seed": 99}
        root = await self.cluster.make_version(**wanted)
        fleet.adapters = {"polite": {"root": root, "bytes": size}}
        fleet.endpoint_facts = {"worker-2": {"role": "decode"}}
        await fleet.set_target("v1")

        async def loaded() -> bool:
            engines = [await fleet.engine_counters(name) for name in FOUR]
            return all(engine["adapters"].get("polite") == root for engine in engines)

        await self.cluster.wait_until(loaded, 20.0, "the adapter on all engines")
        drawn = (await self.cluster.counters())["origin_weight_bytes"] - before
        self.assertLess(drawn, 1.3 * size)
        engines = {name: await fleet.engine_counters(name) for name in FOUR}
        self.assertEqual(len({e["adapter_contents"]["polite"] for e in engines.values()}), 1)
        self.assertEqual(engines["worker-2"]["role"], "decode")
        self.assertEqual([engine["activations"] for engine in engines.values()], [1] * 4)
