"""Tests of configuration revisions with real processes: each reaches all and none reverts."""

import asyncio
import json
import signal
import unittest

from bench.cluster import Cluster, Member
from bench.fleet_files import make_base

REGIONS = ("rift-a", "nbi-a")
SIDECARS = 6
IN_FORCE_SECONDS = 10.0
MEGABYTE = 1_048_576


class ControlRevisionTest(unittest.IsolatedAsyncioTestCase):
    """Six sidecars, which share one simulated engine, and two entries in two data centres."""

    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(Cluster())
        await self.cluster.start_platform()
        self.engine = await self.cluster.start_engine("shared")
        starts = [
            self.cluster.start_sidecar(f"worker-{i}", REGIONS[i % 2], endpoint=self.engine)
            for i in range(SIDECARS)
        ]
        starts += [self.cluster.start_entry(f"entry-{i}", REGIONS[i]) for i in range(2)]
        await asyncio.gather(*starts)
        await self.cluster.publish_instances()
        self.base = make_base({}, "v1", {})
        self.base["models"] = {}
        self.base["workspaces"] = {}
        revision = await self.publish()
        await self.in_force(revision)

    async def publish(self, **limits: object) -> int:
        """Publishes the base configuration with the given limits; returns the revision."""
        return await self.cluster.publish(self.base | {"limits": limits})

    async def revisions(self) -> dict[str, int]:
        """Returns the revision in force at each running daemon."""
        alive = [name for name, m in self.cluster.members.items() if m.daemon.alive]
        statuses = await asyncio.gather(*(self.cluster.status(name) for name in alive))
        return {status["name"]: status["revision"] for status in statuses}

    async def in_force(self, revision: int) -> None:
        """Waits until a revision is in force at every running daemon."""

        async def everywhere() -> bool:
            return set((await self.revisions()).values()) == {revision}

        await self.cluster.wait_until(everywhere, IN_FORCE_SECONDS, f"{revision} everywhere")

    async def readers(self) -> list[Member]:
        """Returns the daemons that read the configuration service."""
        found = []
        for name, member in self.cluster.members.items():
            if member.daemon.alive and (await self.cluster.status(name))["reads_service"]:
                found.append(member)
        return found

    async def settle(self) -> list[Member]:
        """Waits until there are two readers per data centre, and returns all readers."""

        async def settled() -> bool:
            return len(await self.readers()) == 2 * len(REGIONS)

        await self.cluster.wait_until(settled, IN_FORCE_SECONDS, "two readers each")
        return await self.readers()

    async def test_all_readers_of_a_data_centre_killed_at_once(self) -> None:
        """Both daemons that read the service for their data centre die together. If no others
        took over, that data centre would stay on the old revision, and a change would be in
        force in one region only."""
        readers = await self.settle()
        for member in readers:
            if member.region == REGIONS[0]:
                await member.daemon.kill()
        await self.in_force(await self.publish(body_bytes=1000))
        await self.settle()
        await self.in_force(await self.publish(body_bytes=2000))

    async def test_service_back_with_an_old_revision(self) -> None:
        """The service is restored from an old copy and serves an outdated revision. A new process
        that did not ask its peers first would apply limits that operators have since changed."""
        old = self.cluster.revision
        await self.publish(body_bytes=1000)
        new = await self.publish(body_bytes=2000)
        await self.in_force(new)
        await self.cluster.control("faults", {"configuration": "stale", "stale_revision": old})
        late = await self.cluster.start_sidecar("worker-9", REGIONS[0], endpoint=self.engine)
        seen = set()
        for _ in range(40):
            seen |= set((await self.revisions()).values())
            await asyncio.sleep(0.05)
        self.assertLessEqual(seen, {0, new})
        await self.in_force(new)
        text = "".join(m.daemon.text() for m in self.cluster.members.values())
        self.assertIn('"event":"revision_old_offered"', text)
        self.assertNotIn('"event":"configuration_alone"', late.daemon.text())

    async def test_a_new_process_without_peers_reports_it(self) -> None:
        """A process starts without any peer, so it cannot detect a stale service. Its log must
        show that it relied on the service alone."""
        await self.cluster.publish_instances([])
        lone = await self.cluster.start_sidecar("worker-9", "msa-a", endpoint=self.engine)
        await lone.daemon.read_event("configuration_alone")

    async def test_a_process_paused_through_ten_revisions(self) -> None:
        """A reader and another daemon are paused during ten revisions and resume with the one
        before. They must catch up, and no peer may accept the old revision from them."""
        reader = (await self.settle())[0]
        paused = next(m for m in self.cluster.members.values() if m is not reader)
        for member in (reader, paused):
            member.daemon.send(signal.SIGSTOP)
        for number in range(10):
            revision = await self.publish(body_bytes=1000 + number)
        await asyncio.sleep(4.0)
        for member in (reader, paused):
            member.daemon.send(signal.SIGCONT)
        await self.in_force(revision)
        await paused.daemon.read_event("process_paused")

    async def test_an_invalid_revision_is_refused_and_reported_everywhere(self) -> None:
        """Someone publishes a value with a wrong type. Every daemon must keep the previous
        revision, and report in its status which revision was refused and why."""
        good = self.cluster.revision
        bad = await self.cluster.publish(self.base | {"limits": {"body_bytes": "many"}})

        async def reported() -> bool:
            statuses = [await self.cluster.status(name) for name in self.cluster.members]
            return all(
                status["refused_revision"] == bad and "body_bytes" in status["refused_reason"]
                for status in statuses
            )

        await self.cluster.wait_until(reported, IN_FORCE_SECONDS, "the refusal everywhere")
        self.assertEqual(set((await self.revisions()).values()), {good})
        await self.in_force(await self.publish(body_bytes=3000))
        statuses = [await self.cluster.status(name) for name in self.cluster.members]
        self.assertEqual({status["refused_revision"] for status in statuses}, {0})

    async def test_a_value_just_under_and_just_over_a_megabyte(self) -> None:
        """The configuration grows to the largest value that the service accepts, and beyond. The
        first must reach every daemon; the second must have no effect."""
        endpoint = {"region": REGIONS[0], "service": "tally"}
        endpoints = {}
        for number in range(40):
            endpoints["e" * 20_000 + str(number)] = endpoint
        whole = self.base | {"endpoints": endpoints, "limits": {"body_bytes": 1000}}
        size = len(await self.value_of(await self.cluster.publish(whole)))
        more = len('"":,') + len(json.dumps(endpoint, separators=(",", ":")))
        endpoints["f" * (MEGABYTE - size - more)] = endpoint
        under = await self.cluster.publish(whole)
        self.assertEqual(len(await self.value_of(under)), MEGABYTE)
        await self.in_force(under)
        endpoints["g"] = endpoint
        await self.cluster.publish(whole)
        await asyncio.sleep(2.0)
        self.assertEqual(set((await self.revisions()).values()), {under})
        await self.in_force(await self.publish(body_bytes=1000))

    async def value_of(self, revision: int) -> bytes:
        """Returns the value that the platform serves now, once it serves a revision."""
        url = f"http://127.0.0.1:{self.cluster.platform_port}/configuration/fleet"
        response = await self.cluster.client.fetch(url)
        self.assertEqual(response.headers["X-Revision"], str(revision))
        return response.body
