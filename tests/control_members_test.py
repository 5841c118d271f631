"""Tests of membership with real processes: requests go only to endpoints that can answer."""

import asyncio
import json
import signal
import unittest

from bench.caller import Caller
from bench.cluster import Cluster
from bench.fleet_files import make_base

REGION = "rift-a"
ENGINES = 6
OUT_SECONDS = 2.0
SLACK_SECONDS = 0.5


class ControlMembersTest(unittest.IsolatedAsyncioTestCase):
    """Six engines and one entry in one data centre."""

    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(Cluster())
        await self.cluster.start_platform()
        self.engines = {f"worker-{i}": REGION for i in range(ENGINES)}
        starts = [self.cluster.start_sidecar(name, at) for name, at in self.engines.items()]
        self.entry, *_ = await asyncio.gather(self.cluster.start_entry("entry-1", REGION), *starts)
        await self.cluster.publish_instances()
        root = await self.cluster.make_version(total_bytes=60_000, chunk_bytes=65_536)
        await self.cluster.publish(make_base({"v1": root}, "v1", self.engines))
        self.caller = Caller([self.entry.caller_port], seed=1)
        self.prompts = 0

        async def all_placed() -> bool:
            await self.call(12)
            return len(self.placed_since(0.0)) == ENGINES

        await self.cluster.wait_until(all_placed, 30.0, "work at every engine")

    async def call(self, count: int) -> list[str]:
        """Sends requests concurrently; returns their outcomes."""
        self.prompts += count
        prompts = [f"sheet {self.prompts - i}" for i in range(count)]
        return await asyncio.gather(*(self.caller.generate(prompt, 3) for prompt in prompts))

    def last_time(self) -> float:
        """Returns the time of the entry's last log line, by the entry's clock."""
        return json.loads(self.entry.daemon.text().splitlines()[-1])["t"]

    def placed_since(self, moment: float) -> dict[str, float]:
        """Returns when each endpoint last got a request after `moment`, by the entry's log."""
        last = {}
        for line in self.entry.daemon.text().splitlines():
            event = json.loads(line)
            if event["event"] == "request_placed" and event["t"] > moment:
                last[event["endpoint"]] = event["t"]
        return last

    async def call_for(self, seconds: float) -> None:
        """Sends requests steadily for a number of seconds."""
        ends = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends:
            await self.call(4)
            await asyncio.sleep(0.05)

    async def test_a_rack_dies_while_the_list_is_frozen(self) -> None:
        """Half of the instances die at once, and the platform's list still contains them. An entry
        that relied on the list alone would send requests there until the list is updated."""
        await self.call(4)
        died_at = self.last_time()
        for name in list(self.engines)[:3]:
            await self.cluster.members[name].daemon.kill()
        await self.call_for(3.5)
        placed = self.placed_since(died_at)
        for name in list(self.engines)[:3]:
            self.assertLess(placed.get(name, died_at), died_at + OUT_SECONDS + SLACK_SECONDS)
        self.assertEqual(set(await self.call(8)), {"whole"})

    async def test_a_hung_sidecar_is_excluded_and_readmitted(self) -> None:
        """A sidecar is paused without closing a connection. Its connections look healthy, and
        requests sent there would wait until their deadlines."""
        await self.call(4)
        hung_at = self.last_time()
        hung = self.cluster.members["worker-0"].daemon
        hung.send(signal.SIGSTOP)
        await asyncio.sleep(OUT_SECONDS + SLACK_SECONDS)
        self.assertEqual(set(await self.call(12)), {"whole"})
        self.assertLess(
            self.placed_since(hung_at).get("worker-0", hung_at),
            hung_at + OUT_SECONDS + SLACK_SECONDS,
        )
        hung.send(signal.SIGCONT)
        resumed_at = self.last_time()

        async def back() -> bool:
            await self.call(6)
            return "worker-0" in self.placed_since(resumed_at)

        await self.cluster.wait_until(back, 15.0, "work at the resumed engine")

    async def test_an_empty_list_and_a_list_of_unknown_instances(self) -> None:
        """The platform's list is empty, and later contains only instances that do not exist.
        Requests must still be answered."""
        members = list(self.cluster.members.values())
        await self.cluster.publish_instances([])
        await self.call_for(2.5)
        self.assertEqual(set(await self.call(8)), {"whole"})
        ghosts = []
        for number in range(20):
            instance = {"name": f"ghost-{number}", "role": "sidecar", "region": REGION}
            instance |= {"data_centre": "rift-a-1", "host": "127.0.0.1", "state": "live"}
            ghosts.append(instance | {"http_port": 1, "peer_port": 1})
        await self.cluster.control("instances", {"as_of": 9e9, "instances": ghosts})
        await self.call_for(2.5)
        self.assertEqual(set(await self.call(8)), {"whole"})
        self.assertTrue(all(member.daemon.alive for member in members))
        self.assertIn('"event":"list_implausible"', self.entry.daemon.text())

    async def test_a_leaving_instance_gets_no_new_work(self) -> None:
        """An operator replaces an instance, which the list still calls live for minutes. New
        requests sent there would be refused or interrupted."""
        await self.call(4)
        left_at = self.last_time()
        leaving = self.cluster.members["worker-1"].daemon
        leaving.send(signal.SIGTERM)
        await self.call_for(3.0)
        last = self.placed_since(left_at).get("worker-1", left_at)
        self.assertLess(last, left_at + 1.0)
        self.assertEqual(await leaving.wait(10.0), 0)
