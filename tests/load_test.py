"""Admission and crash protection under load, with real processes."""

import asyncio
import json
import unittest

from bench.caller import Caller
from bench.cluster import Cluster, Member
from bench.fleet_files import make_base
from bench.load_callers import LoadCallers, LoadRequest

REGION = "rift-a"
ENGINE_OPTIONS = ("--slots", "2", "--decode-seconds", "0.02")


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """A small fleet that is overloaded, or whose engines crash on one request."""

    async def start(self, cluster: Cluster, engines: int, entries: int) -> list[Member]:
        """Starts a fleet; returns its engines once all entries serve and all engines are live."""
        await cluster.start_platform()
        names = [f"worker-{number}" for number in range(engines)]
        started = await asyncio.gather(
            *(cluster.start_sidecar(name, REGION, options=ENGINE_OPTIONS) for name in names),
            cluster.start_sidecar("tally-1", REGION, "service"),
            *(cluster.start_entry(f"entry-{number}", REGION) for number in range(entries)),
        )
        await cluster.publish_instances()
        root = await cluster.make_version(total_bytes=100_000, chunk_bytes=65_536)
        regions = dict.fromkeys(names, REGION)
        await cluster.publish(make_base({"v1": root}, "v1", regions, {"tally-1": REGION}))
        for member in started[engines + 1 :]:
            caller = Caller([member.caller_port], seed=1)

            async def serves(caller: Caller = caller) -> bool:
                return await caller.generate("hello", 2) == "whole" and (
                    await caller.read() == "whole"
                )

            await cluster.wait_until(serves, 30.0, "the first whole answers")

        async def all_live() -> bool:
            counters = [
                await cluster.counters(member.endpoint_port) for member in started[:engines]
            ]
            return all(counter["active"] == "v1" for counter in counters)

        await cluster.wait_until(all_live, 30.0, "v1 on every engine")
        await asyncio.sleep(2.0)
        return started[:engines]

    async def test_charges_go_through_while_summaries_are_refused(self) -> None:
        """Completions arrive at five times the engines' capacity, together with charges. Without
        reserved capacity and early refusals, charges would fail and callers would wait until
        their deadlines."""
        async with Cluster() as cluster:
            await self.start(cluster, engines=2, entries=1)
            port = cluster.members["entry-0"].caller_port
            charges = Caller([port], seed=2)
            callers = LoadCallers([port], seed=3)

            async def charge_often() -> list[str]:
                outcomes = []
                for _ in range(40):
                    outcomes.append(await charges.charge())
                    await asyncio.sleep(0.1)
                return outcomes

            def make(rng) -> LoadRequest:
                return LoadRequest("demo", f"shop {rng.randrange(10**9)}", 20)

            # Capacity: two engines with two slots each, 0.4 s per request, so 10 requests/s.
            answers, outcomes = await asyncio.gather(
                callers.arrive(50.0, 5.0, make), charge_often()
            )
            callers.close()
            self.assertEqual(set(outcomes), {"whole"})
            kinds = {answer.became for answer in answers}
            self.assertEqual(kinds, {"whole", "refused"})
            refused = [answer for answer in answers if answer.became == "refused"]
            self.assertGreater(len(refused), 100)
            self.assertTrue(all(answer.retry_after >= 1.0 for answer in refused))
            self.assertEqual({answer.code for answer in refused}, {"overloaded"})
            # The deadline is 5 s; a refusal delayed until shortly before it would come after 4 s.
            self.assertLess(max(answer.total for answer in refused), 4.0)
            whole = [answer for answer in answers if answer.became == "whole"]
            self.assertGreater(len(whole), 30)

    async def test_a_request_that_crashes_engines_stops_after_two(self) -> None:
        """One prompt crashes every engine that runs it, and its caller keeps resending it to both
        entries. Without a guard all engines would crash in turn, and no caller would be served."""
        async with Cluster() as cluster:
            engines = await self.start(cluster, engines=5, entries=2)
            for engine in engines:
                await cluster.put_faults(engine.endpoint_port, crash_prompt="poison")
            ports = [cluster.members[f"entry-{number}"].caller_port for number in range(2)]
            innocent = Caller(ports, seed=4)
            load = asyncio.ensure_future(innocent.run_open_loop(8.0, 10, seconds=12.0))
            codes = []
            for number in range(16):
                body = {"model": "summaries", "prompt": "poison", "max_tokens": 5}
                response = await cluster.client.fetch(
                    f"http://127.0.0.1:{ports[number % 2]}/v1/completions",
                    method="POST",
                    body=json.dumps(body),
                    headers={"Authorization": "Bearer demo-key"},
                    raise_error=False,
                )
                codes.append(json.loads(response.body)["error"]["code"])
                await asyncio.sleep(0.5)
            await load
            dead = sum(not engine.endpoint.alive for engine in engines)
            self.assertLessEqual(dead, 2)
            self.assertEqual(codes[-1], "request_blocked")
            self.assertEqual(codes[-2], "request_blocked")
            self.assertEqual(innocent.counts["wrong"] + innocent.counts["mixed"], 0)
            self.assertEqual(innocent.codes["request_blocked"], 0)
            # Only requests that were in progress during the two crashes may have failed.
            self.assertLessEqual(innocent.counts["failed"] + innocent.counts["unknown"], 8)
            self.assertEqual(await innocent.generate("afterwards", 5), "whole")


if __name__ == "__main__":
    unittest.main()
