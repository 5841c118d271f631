"""Tests of planned stops during other failures: requests in progress are not interrupted."""

import asyncio
import json
import signal
import time
import unittest

from bench.caller import Caller
from bench.cluster import Cluster
from bench.fleet_files import make_base

REGION = "rift-a"
ENGINES = 4
START_SECONDS = 60.0
STOP_SECONDS = 60.0
NO_NEW_WORK_AFTER_SECONDS = 2.0
LOAD_PER_SECOND = 20.0
TOKENS = 60
# Longer than the time without reports after which an entry considers an instance silent.
SLEEP_SECONDS = 2.8
SEED = 5


class PlannedStopsTest(unittest.IsolatedAsyncioTestCase):
    """Four engines, two services and two entries under live load."""

    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(Cluster())
        await self.cluster.start_platform()
        engines = {f"worker-{i + 1}": REGION for i in range(ENGINES)}
        services = {"tally-1": REGION, "tally-2": REGION}
        starts = [self.cluster.start_sidecar(name, REGION) for name in engines]
        starts += [self.cluster.start_sidecar(name, REGION, "service") for name in services]
        starts += [self.cluster.start_entry(f"entry-{i + 1}", REGION) for i in range(2)]
        await asyncio.gather(*starts)
        await self.cluster.publish_instances()
        root = await self.cluster.make_version(total_bytes=60_000, chunk_bytes=65_536)
        await self.cluster.publish(make_base({"v1": root}, "v1", engines, services))
        self.entries = [self.cluster.members[f"entry-{i + 1}"] for i in range(2)]
        self.caller = Caller([entry.caller_port for entry in self.entries], SEED)
        self.ended = asyncio.Event()
        await self.cluster.wait_until(self.is_ready, START_SECONDS, "every endpoint in service")

    async def is_ready(self) -> bool:
        """Returns whether each entry knows every endpoint and each engine has its version."""
        for entry in self.entries:
            metrics = await self.cluster.client.fetch(f"http://127.0.0.1:{entry.http_port}/metrics")
            if b"endpoints_known 6.0" not in metrics.body:
                return False
        statuses = [await self.cluster.status(f"worker-{i + 1}") for i in range(ENGINES)]
        return all(status["version"] == "v1" for status in statuses)

    def start_load(self) -> asyncio.Task:
        """Starts callers that send requests until `ended` is set."""
        work = self.caller.run_open_loop(LOAD_PER_SECOND, TOKENS, ended=self.ended)
        return asyncio.ensure_future(work)

    async def stop(self, name: str) -> float:
        """Stops a daemon with SIGTERM; returns when the stop began."""
        daemon = self.cluster.members[name].daemon
        began = time.time()
        daemon.send(signal.SIGTERM)
        self.assertEqual(await daemon.wait(STOP_SECONDS), 0)
        return began

    async def judge(self, load: asyncio.Task) -> None:
        """Ends the load, and checks that every request was answered completely."""
        self.ended.set()
        await load
        counts = self.caller.counts
        for became in ("wrong", "mixed", "lost", "failed", "unknown", "refused"):
            self.assertEqual(counts[became], 0, (became, counts, self.caller.codes))
        self.assertGreater(counts["whole"], LOAD_PER_SECOND)

    def placed_late(self, name: str, began: float) -> list[float]:
        """Returns the delays after `began` of requests that were placed at a daemon too late."""
        late = []
        for entry in self.entries:
            for line in entry.daemon.text().splitlines():
                if '"event":"request_placed"' not in line or f'"endpoint":"{name}"' not in line:
                    continue
                after = json.loads(line)["t"] - began
                if after > NO_NEW_WORK_AFTER_SECONDS:
                    late.append(after)
        return late

    async def test_the_platform_is_down(self) -> None:
        """Instances are stopped while the platform's services are down, so that the list shows
        them as live long afterwards. Streams from a stopping engine and charges at a stopping
        service must complete without errors."""
        faults = {"configuration": "down", "instances": "down", "store": "down", "origin": "down"}
        await self.cluster.control("faults", faults)
        load = self.start_load()
        await asyncio.sleep(1.0)
        engine, service = await asyncio.gather(self.stop("worker-1"), self.stop("tally-1"))
        await asyncio.sleep(1.0)
        await self.judge(load)
        self.assertEqual(self.placed_late("worker-1", engine), [])
        self.assertEqual(self.placed_late("tally-1", service), [])

    async def test_another_instance_dies_meanwhile(self) -> None:
        """While one engine's instance is stopped as planned, another one crashes. Streams from
        either must resume on a third; no response may end early."""
        load = self.start_load()
        await asyncio.sleep(1.0)
        stopping = asyncio.ensure_future(self.stop("worker-1"))
        await asyncio.sleep(0.3)
        dying = self.cluster.members["worker-2"]
        await dying.endpoint.kill()
        await dying.daemon.kill()
        began = await stopping
        await asyncio.sleep(1.0)
        await self.judge(load)
        self.assertEqual(self.placed_late("worker-1", began), [])

    async def test_the_other_instance_of_a_service_sleeps_meanwhile(self) -> None:
        """Guards against refusals because the only other instance is silent for a moment."""
        load = self.start_load()
        await asyncio.sleep(1.0)
        sleeping = self.cluster.members["tally-2"].daemon
        stopping = asyncio.ensure_future(self.stop("tally-1"))
        await asyncio.sleep(0.5)
        sleeping.send(signal.SIGSTOP)
        await asyncio.sleep(SLEEP_SECONDS)
        sleeping.send(signal.SIGCONT)
        await stopping
        await asyncio.sleep(1.0)
        self.ended.set()
        await load
        # Some requests are still refused because the queue of the remaining instance is too long.
        self.assertEqual(self.caller.codes["no_endpoint"], 0, self.caller.codes)
        self.assertEqual(self.caller.counts["unknown"] + self.caller.counts["lost"], 0)

    async def test_an_entry_sleeps_through_it(self) -> None:
        """An entry is paused while an engine's instance stops, and resumes with outdated state
        that still includes it. Its first requests must be served by other engines, without errors.
        """
        sleeping = self.entries[0]
        sleeping.daemon.send(signal.SIGSTOP)
        await self.stop("worker-1")
        sleeping.daemon.send(signal.SIGCONT)
        self.caller.entry_ports[:] = [sleeping.caller_port]
        load = self.start_load()
        await asyncio.sleep(3.0)
        await self.judge(load)
