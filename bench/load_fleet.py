"""The fleet of the load bench: engines of known capacity, a service and entries by policy."""

import asyncio
import collections
import json
import os

from .cluster import Cluster, Member
from .fleet_files import digest_key, make_base
from .load_callers import LoadCallers
from .plain_entry import POLICY_VARIABLE

REGION = "rift-a"
ENGINES = 6
SLOTS = 4
TOKENS = 20
DECODE_SECONDS = 0.02
CACHE_BLOCKS = 128
WORKSPACES = 10
ENTRIES = 4
OURS = "ours"
# The requests per second that the engines' slots can decode if decoding were the only work.
CAPACITY = ENGINES * SLOTS / (TOKENS * DECODE_SECONDS)
IN_FORCE_SECONDS = 40.0


class LoadFleet:
    """Launches the fleet and reads the event logs of entries and the counters of engines."""

    def __init__(self, cluster: Cluster, load_lag_seconds: float = 0.5) -> None:
        self.cluster = cluster
        self.engines: list[Member] = []
        self.entries: dict[str, list[Member]] = {}
        self._lag = load_lag_seconds

    async def start(self, policies: dict[str, int]) -> None:
        """Starts everything; returns once every entry has served a request.

        Args:
          policies: How many entries to start, by policy.
        """
        cluster = self.cluster
        await cluster.start_platform()
        options = ("--slots", str(SLOTS), "--decode-seconds", str(DECODE_SECONDS))
        options += ("--cache-blocks", str(CACHE_BLOCKS), "--load-lag-seconds", str(self._lag))
        names = [f"worker-{number}" for number in range(ENGINES)]
        starts = [cluster.start_sidecar(name, REGION, options=options) for name in names]
        starts += [cluster.start_sidecar(f"tally-{n}", REGION, "service") for n in range(2)]
        self.engines = (await asyncio.gather(*starts))[:ENGINES]
        for policy, number in policies.items():
            await self.start_entries(policy, number)
        root = await cluster.make_version(total_bytes=300_000, chunk_bytes=65_536)
        services = {f"tally-{n}": REGION for n in range(2)}
        base = make_base({"v1": root}, "v1", dict.fromkeys(names, REGION), services)
        keys = {f"w{n}": {"key_digests": [digest_key(f"w{n}-key")]} for n in range(WORKSPACES)}
        reach = {"models": ["summaries"], "services": ["tally"]}
        base["workspaces"] = {name: key | reach for name, key in keys.items()}
        await cluster.publish(base)
        await self.wait_until_serving()

    async def start_entries(self, policy: str, number: int) -> None:
        """Starts entries with one policy and publishes them in the instance list."""
        cluster = self.cluster
        cluster.entry_module = "bench.plain_entry"
        if policy == OURS:
            cluster.entry_module = "wasabidrum.scripts.daemon"
        os.environ[POLICY_VARIABLE] = policy
        starts = [cluster.start_entry(f"{policy}-{n}", REGION) for n in range(number)]
        self.entries[policy] = list(await asyncio.gather(*starts))
        await cluster.publish_instances()

    async def wait_until_serving(self) -> None:
        """Waits until each entry has served a request, then two seconds for all engine reports."""
        for members in self.entries.values():
            for member in members:
                callers = LoadCallers([member.caller_port], 1)

                async def serves(member: Member = member) -> bool:
                    body = {"model": "summaries", "prompt": "first", "max_tokens": 1}
                    response = await self.cluster.client.fetch(
                        f"http://127.0.0.1:{member.caller_port}/v1/completions",
                        method="POST",
                        body=json.dumps(body),
                        headers={"Authorization": "Bearer w0-key"},
                    )
                    return response.code == 200

                await self.cluster.wait_until(serves, IN_FORCE_SECONDS, "an entry serves")
                callers.close()
        await asyncio.sleep(2.0)

    def callers(self, policy: str, seed: int) -> LoadCallers:
        """Returns callers that send to the entries of one policy."""
        return LoadCallers([member.caller_port for member in self.entries[policy]], seed)

    def placed(self, policy: str, since: float, until: float) -> collections.Counter:
        """Returns how often each endpoint was chosen, from the event logs of the entries.

        The baseline schedulers write no such event.
        """
        found: collections.Counter[str] = collections.Counter()
        for member in self.entries[policy]:
            for line in member.daemon.text().splitlines():
                if '"request_placed"' not in line:
                    continue
                event = json.loads(line)
                if since <= event["t"] <= until and event["endpoint"].startswith("worker"):
                    found[event["endpoint"]] += 1
        return found

    async def engine_counters(self) -> list[dict[str, object]]:
        """Reads the counters of each engine."""
        ports = [engine.endpoint_port for engine in self.engines]
        return list(await asyncio.gather(*(self.cluster.counters(port) for port in ports)))

    async def settle(self) -> None:
        """Waits until all engines are idle, and a second for their load reports to arrive."""

        async def idle() -> bool:
            return not any(engine["running"] for engine in await self.engine_counters())

        await self.cluster.wait_until(idle, IN_FORCE_SECONDS, "idle engines")
        await asyncio.sleep(1.0)

    async def put_faults(self, number: int, **faults: object) -> None:
        """Sets the faults that one engine injects."""
        await self.cluster.put_faults(self.engines[number].endpoint_port, **faults)
