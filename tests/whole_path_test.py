"""End-to-end test with real processes: publish, distribute, call, change the configuration."""

import json
import unittest

from bench.caller import Caller
from bench.cluster import Cluster
from bench.fleet_files import make_base


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    """Requests are served end to end, and a change of the configuration takes effect."""

    async def test_publish_call_and_change(self) -> None:
        async with Cluster() as cluster:
            await cluster.start_platform()
            await cluster.start_sidecar("worker-1", "rift-a")
            await cluster.start_sidecar("tally-1", "rift-a", "service")
            entry = await cluster.start_entry("entry-1", "rift-a")
            await cluster.publish_instances()
            root = await cluster.make_version(total_bytes=300_000, chunk_bytes=65_536)
            base = make_base({"v1": root}, "v1", {"worker-1": "rift-a"}, {"tally-1": "rift-a"})
            await cluster.publish(base)
            caller = Caller([entry.caller_port], seed=1)

            async def answers() -> bool:
                return await caller.generate("hello", 5) == "whole" and (
                    await caller.read() == "whole"
                )

            await cluster.wait_until(answers, 20.0, "the first whole answer")
            self.assertEqual(await caller.generate("hello", 5, stream=False), "whole")
            self.assertEqual(await caller.charge(), "whole")
            revision = await cluster.publish(base, {"rift-a": {"workspaces": {"stationers": None}}})

            async def in_force() -> bool:
                return (await cluster.status("entry-1"))["revision"] == revision

            await cluster.wait_until(in_force, 5.0, "the overlay to be in force")
            response = await cluster.client.fetch(
                f"http://127.0.0.1:{entry.caller_port}/services/tally/balance",
                headers={"Authorization": "Bearer demo-key"},
                raise_error=False,
            )
            self.assertEqual(response.code, 401)
            self.assertEqual(json.loads(response.body)["error"]["outcome"], "not_run")
