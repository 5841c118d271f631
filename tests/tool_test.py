"""Tests of the command-line tool for operators, against real daemons."""

import asyncio
import json
import sys
import unittest

from bench.caller import Caller
from bench.cluster import Cluster
from bench.fleet_files import CALLER_KEY, make_base
from bench.process import ROOT


class ToolTest(unittest.IsolatedAsyncioTestCase):
    """status, explain and rollout report the actual state of the fleet."""

    async def run_tool(self, *arguments: str) -> tuple[int, list[str]]:
        """Runs the tool against the cluster; returns its exit status and output lines."""
        url = f"http://127.0.0.1:{self.cluster.platform_port}/instances"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "wasabidrum.scripts.tool",
            *arguments,
            "--instances",
            url,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode().splitlines()

    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(Cluster())
        await self.cluster.start_platform()
        names = {"worker-1": "rift-a", "worker-2": "msa-a"}
        for name, region in names.items():
            await self.cluster.start_sidecar(name, region)
        self.entry = await self.cluster.start_entry("entry-1", "rift-a")
        await self.cluster.publish_instances()
        root = await self.cluster.make_version(total_bytes=300_000, chunk_bytes=65_536)
        self.base = make_base({"v1": root}, "v1", names)
        await self.cluster.publish(self.base)

    async def call(self, request_id: str, model: str = "summaries") -> int:
        """Sends one request with a given request id; returns the HTTP status."""
        response = await self.cluster.client.fetch(
            f"http://127.0.0.1:{self.entry.caller_port}/v1/completions",
            method="POST",
            body=json.dumps({"model": model, "prompt": "hello"}),
            headers={"Authorization": f"Bearer {CALLER_KEY}", "X-Request-Id": request_id},
            raise_error=False,
        )
        return response.code

    async def test_operators_see_the_state_of_the_fleet(self) -> None:
        """Covers what an operator on call needs first: the progress of a rollout, a refused
        revision, a dead instance, and the outcome of a caller's request."""
        status, lines = await self.run_tool("rollout", "v1", "--json", "--seconds", "60")
        self.assertEqual(status, 0)
        last = json.loads(lines[-1])
        self.assertEqual((last["live"], last["wanted"], last["fraction"]), (2, 2, 1.0))
        self.assertEqual(last["regions"]["msa-a"], {"live": 1, "wanted": 1})
        caller = Caller([self.entry.caller_port], seed=1)

        async def answers() -> bool:
            return await caller.generate("hello", 3) == "whole"

        await self.cluster.wait_until(answers, 20.0, "the first whole answer")
        status, lines = await self.run_tool("status")
        self.assertEqual((status, lines[1]), (0, "revision 1 in force at 3 of 3"))
        self.assertRegex(lines[0], r"3 instances in a list that is [\d.]+ s old")
        self.assertTrue(any("summaries v1" in line for line in lines))

        self.assertEqual(await self.call("till-7"), 200)
        self.assertEqual(await self.call("till-8", model="other"), 404)
        status, lines = await self.run_tool("explain", "till-7", "--json")
        events = [json.loads(line)["event"] for line in lines]
        self.assertEqual(status, 0)
        self.assertLessEqual({"request_placed", "request_done"}, set(events))
        status, lines = await self.run_tool("explain", "till-8")
        self.assertRegex(lines[0], r"entry-1  request_refused .*code=model_unknown")
        self.assertEqual((await self.run_tool("explain", "never-sent"))[0], 1)

        refused = await self.cluster.publish(
            self.base | {"modles": {}, "limits": {"body_bytes": 0}}
        )

        async def all_refused() -> bool:
            accounts = [await self.cluster.status(name) for name in self.cluster.members]
            return all(account["refused_revision"] == refused for account in accounts)

        await self.cluster.wait_until(all_refused, 20.0, "the refused revision at every daemon")
        status, lines = await self.run_tool("status")
        self.assertEqual(status, 1)
        self.assertRegex(lines[1], f"^REFUSED revision {refused} at all 3 daemons: ")
        for part in ("KEY-UNKNOWN", "did you mean models?", "VALUE-RANGE", "limits.body_bytes"):
            self.assertIn(part, lines[1])
        self.assertIn("revision 1 in force at 3 of 3", lines)

        await self.cluster.members["worker-2"].daemon.kill()
        status, lines = await self.run_tool("status", "--json")
        self.assertEqual(status, 1)
        self.assertIn("NO ANSWER from worker-2", json.loads(lines[0])["problems"])
        self.assertEqual((await self.run_tool("rollout", "v9", "--seconds", "0"))[0], 1)

    async def read_metrics(self, name: str) -> str:
        """Returns a daemon's metrics in the Prometheus text format."""
        port = self.cluster.members[name].http_port
        response = await self.cluster.client.fetch(f"http://127.0.0.1:{port}/metrics")
        return response.body.decode()

    async def test_both_roles_expose_metrics(self) -> None:
        async def answers() -> bool:
            return await self.call("till-1") == 200

        await self.cluster.wait_until(answers, 30.0, "the first whole answer")
        entry, sidecar = await self.read_metrics("entry-1"), await self.read_metrics("worker-1")
        for text in (entry, sidecar):
            self.assertIn("wasabidrum_revision 1.0", text)
            self.assertIn("wasabidrum_requests_in_progress 0.0", text)
            self.assertRegex(text, r"process_resident_memory_bytes [\d.e+]+")
        self.assertIn('wasabidrum_requests_total{code="",outcome="done"} 1.0', entry)
        self.assertIn("wasabidrum_endpoints_known 2.0", entry)
        self.assertIn("wasabidrum_tokens_total 16.0", entry)
        self.assertRegex(sidecar, r'wasabidrum_weight_bytes_total\{source="origin"\} [\d.]+')

    async def test_an_unreachable_instance_list_is_reported(self) -> None:
        await self.cluster.control("faults", {"instances": "down"})
        self.assertEqual((await self.run_tool("status"))[0], 3)
