"""Everything at once: a random schedule of failures and changes under live load.

The schedule follows from the seed alone, so that one that shows a fault can be played again:
`python -m bench.soak --seed 3 --rounds 4`. What the daemons do meanwhile is not replayed,
so a fault may need several plays of its seed.
"""

import argparse
import asyncio
import collections
import json
import random
import signal
import sys

from .caller import Caller
from .cluster import Cluster, Member
from .fleet_files import make_base

REGIONS = ("rift-a", "nbi-a", "msa-a")
ENGINES = 6
SERVICES = 3
VERSION_BYTES = 4 * 1_048_576
CHUNK_BYTES = 262_144
LOAD_PER_SECOND = 25.0
TOKENS = 20
CONVERGE_SECONDS = 60.0
LEAVING_LIST_LAG_SECONDS = 3.0
SMALLEST_LOAD_TO_JUDGE = 20


class Soak:
    """Runs one schedule against a fleet; checks what callers and endpoints observed."""

    def __init__(self, cluster: Cluster, seed: int, rounds: int) -> None:
        self._cluster = cluster
        self._random = random.Random(seed)
        self._rounds = rounds
        self._engines = {f"worker-{i + 1}": REGIONS[i % 3] for i in range(ENGINES)}
        self._services = {f"tally-{i + 1}": REGIONS[i] for i in range(SERVICES)}
        self._roots: dict[str, str] = {}
        self._version = ""
        self._marker = 0
        self._highest: dict[int, int] = {}
        self._bad_activations: dict[int, int] = {}
        self.reverted_revisions: list[str] = []
        self.played: list[str] = []
        self.caller = Caller([], seed)

    async def start(self) -> None:
        """Starts the fleet and waits until the first version is in force everywhere."""
        cluster = self._cluster
        await cluster.start_platform()
        started = [
            cluster.start_sidecar(name, region, options=self._engine_options(name))
            for name, region in self._engines.items()
        ]
        started += [
            cluster.start_sidecar(name, region, "service")
            for name, region in self._services.items()
        ]
        started += [cluster.start_entry(f"entry-{i + 1}", REGIONS[i]) for i in range(2)]
        members = await asyncio.gather(*started)
        sidecars = [member for member in members if member.role == "sidecar"]
        await asyncio.gather(*(cluster.insert_proxy(member) for member in sidecars))
        await cluster.publish_instances()
        await self._publish_new_version()
        await cluster.wait_until(self._converged, CONVERGE_SECONDS, "the first version")
        await asyncio.sleep(2.0)
        self._update_entry_ports()

    async def play(self) -> None:
        """Runs all actions under load, in a new random order in each round.

        Then waits until the fleet has converged.
        """
        ended = asyncio.Event()
        load = asyncio.ensure_future(
            self.caller.run_open_loop(LOAD_PER_SECOND, TOKENS, ended=ended)
        )
        watch = asyncio.ensure_future(self._watch())
        for _ in range(self._rounds):
            for action in self._random.sample(self._all_actions(), len(self._all_actions())):
                await asyncio.sleep(self._random.uniform(0.1, 0.6))
                self.played.append(action.__name__.strip("_"))
                await action()
        ended.set()
        await self._cluster.control("faults", {})
        await load
        self.seconds_to_converge = await self._cluster.wait_until(
            self._converged, CONVERGE_SECONDS, "the fleet on the last revision and version"
        )
        watch.cancel()

    def _all_actions(self) -> list:
        return [
            self._kill_and_replace_sidecar,
            self._stop_and_wake_sidecar,
            self._replace_sidecar_gracefully,
            self._replace_entry_gracefully,
            self._publish_new_version,
            self._publish_overlay,
            self._spoil_configuration,
            self._spoil_sources,
            self._spoil_link,
            self._spoil_link,
        ]

    def judge(self) -> dict[str, object]:
        """Returns the figures, including those that the guarantees require to be zero."""
        runs: collections.Counter = collections.Counter()
        for journal in self._cluster.folder.glob("*.journal"):
            runs.update(journal.read_text().split())
        charges = self.caller.charges
        counts = self.caller.counts
        return {
            "requests": counts["requests"],
            "whole": counts["whole"],
            "refused": counts["refused"],
            "unknown": counts["unknown"],
            "failed": counts["failed"],
            "seconds_to_converge": round(self.seconds_to_converge, 2),
            "wrong": counts["wrong"],
            "mixed": counts["mixed"],
            "lost": counts["lost"],
            "charges": counts["charges"],
            "double_runs": sum(1 for count in runs.values() if count > 1),
            "false_not_run": sum(1 for m, what in charges.items() if what == "refused" and runs[m]),
            "false_done": sum(1 for m, what in charges.items() if what == "whole" and not runs[m]),
            "reverted": len(self.reverted_revisions),
            "bad_activations": sum(self._bad_activations.values()),
            "codes": dict(self.caller.codes),
        }

    def _engine_options(self, name: str) -> tuple[str, ...]:
        # Odd-numbered engines refuse orders with an old fencing token and the others accept them,
        # so that both kinds are covered.
        return ("--fencing",) if int(name[-1]) % 2 else ()

    def _update_entry_ports(self) -> None:
        members = self._cluster.members.values()
        self.caller.entry_ports[:] = [
            m.caller_port for m in members if m.role == "entry" and m.state == "live"
        ]

    def _base(self) -> dict[str, object]:
        base = make_base(self._roots, self._version, self._engines, self._services, VERSION_BYTES)
        # The marker is a limit that changes, so that revisions differ.
        base["limits"] = {"largest_deadline_seconds": 600.0 + self._marker}
        return base

    async def _publish_new_version(self) -> None:
        seed = len(self._roots) + 1
        self._version = f"v{seed}"
        self._roots[self._version] = await self._cluster.make_version(
            total_bytes=VERSION_BYTES,
            chunk_bytes=CHUNK_BYTES,
            seed=seed,
            changed_fraction=self._random.choice((0.2, 1.0)),
        )
        await self._cluster.publish(self._base())

    async def _publish_overlay(self) -> None:
        self._marker += 1
        overlay = {"limits": {"default_deadline_seconds": 20.0 + self._marker % 5}}
        await self._cluster.publish(self._base(), {self._random.choice(REGIONS): overlay})

    async def _spoil_configuration(self) -> None:
        kind = self._random.choice(("down", "hang", "stale"))
        stale = max(1, self._cluster.revision - self._random.randrange(1, 4))
        faults = {"configuration": kind, "stale_revision": stale}
        await self._cluster.control("faults", faults)
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        await self._cluster.control("faults", {})

    async def _spoil_sources(self) -> None:
        await self._cluster.control("faults", {"origin": "down"})
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        await self._cluster.control("faults", {})

    async def _spoil_link(self) -> None:
        control_port = self._choose_sidecar().proxy_control_port
        link_faults = self._random.choice(
            (
                {"stall": True},
                {"refuse": True},
                {"delay_seconds": 0.05},
                {"cut_after_bytes": self._random.randrange(100, 5000)},
                {"repeat_requests": True, "repeat_delay_seconds": 0.3},
            )
        )
        self.played.append(f"link: {next(iter(link_faults))}")
        await self._cluster.put_link_faults(control_port, **link_faults)
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        await self._cluster.put_link_faults(control_port)

    def _choose_sidecar(self) -> Member:
        members = self._cluster.members
        names = [n for n, m in members.items() if m.role == "sidecar" and m.state == "live"]
        return members[self._random.choice(sorted(names))]

    async def _restart_sidecar(self, gone: Member, with_endpoint: bool) -> None:
        endpoint = None if with_endpoint else (gone.endpoint, gone.endpoint_port)
        options = self._engine_options(gone.name) if gone.kind == "engine" else ()
        member = await self._cluster.start_sidecar(
            gone.name, gone.region, gone.kind, options=options, endpoint=endpoint
        )
        await self._cluster.insert_proxy(member)
        await self._cluster.publish_instances()

    async def _kill_and_replace_sidecar(self) -> None:
        member = self._choose_sidecar()
        with_endpoint = self._random.random() < 0.5
        await member.daemon.kill()
        if with_endpoint:
            await member.endpoint.kill()
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        await self._restart_sidecar(member, with_endpoint)

    async def _stop_and_wake_sidecar(self) -> None:
        member = self._choose_sidecar()
        member.daemon.send(signal.SIGSTOP)
        if self._random.random() < 0.5:
            await self._publish_new_version()
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        member.daemon.send(signal.SIGCONT)

    async def _replace_sidecar_gracefully(self) -> None:
        member = self._choose_sidecar()
        member.daemon.send(signal.SIGTERM)
        # The instance list still shows the instance as live, as a list that lags behind would.
        await member.daemon.wait(LEAVING_LIST_LAG_SECONDS * 5)
        await self._restart_sidecar(member, with_endpoint=False)

    async def _replace_entry_gracefully(self) -> None:
        members = self._cluster.members
        name = self._random.choice(("entry-1", "entry-2"))
        old = members[name]
        old.state = "leaving"
        self._update_entry_ports()
        await asyncio.sleep(0.3)
        old.daemon.send(signal.SIGTERM)
        await self._cluster.start_entry(name, old.region)
        await self._cluster.publish_instances()
        await asyncio.sleep(2.0)
        self._update_entry_ports()

    async def _watch(self) -> None:
        while True:
            for member in list(self._cluster.members.values()):
                if not member.daemon.alive:
                    continue
                try:
                    async with asyncio.timeout(0.5):
                        await self._check_member(member)
                except (OSError, TimeoutError):
                    continue
            await asyncio.sleep(0.2)

    async def _check_member(self, member: Member) -> None:
        if member.kind == "engine" and member.endpoint.alive:
            counters = await self._cluster.counters(member.endpoint_port)
            self._bad_activations[member.endpoint_port] = counters["bad_activations"]
        status = await self._cluster.get_json(member.http_port, "/internal/status")
        highest = self._highest.get(member.http_port, 0)
        if status["revision"] < highest:
            self.reverted_revisions.append(f"{member.name}: {highest} to {status['revision']}")
        self._highest[member.http_port] = max(highest, status["revision"])

    async def _converged(self) -> bool:
        for member in list(self._cluster.members.values()):
            status = await self._cluster.get_json(member.http_port, "/internal/status")
            if status["revision"] != self._cluster.revision:
                return False
            if member.kind != "engine":
                continue
            counters = await self._cluster.counters(member.endpoint_port)
            if counters["active"] != self._version:
                return False
        return True


MUST_BE_ZERO = ("wrong", "mixed", "lost", "double_runs", "false_not_run", "false_done")
MUST_BE_ZERO += ("reverted", "bad_activations")


def broken_promises(figures: dict[str, object]) -> list[str]:
    """Returns the names of the figures that violate a guarantee."""
    broken = [name for name in MUST_BE_ZERO if figures[name]]
    if figures["requests"] < SMALLEST_LOAD_TO_JUDGE or not figures["whole"]:
        broken.append("whole")
    return broken


async def play_soak(seed: int, rounds: int) -> tuple[dict[str, object], list[str]]:
    """Runs one schedule; returns its figures, and notes for the analysis of a failure."""
    async with Cluster() as cluster:
        soak = Soak(cluster, seed, rounds)
        await soak.start()
        await soak.play()
        return soak.judge(), soak.played + soak.caller.problems[:20] + soak.reverted_revisions


def main() -> int:
    """Runs one schedule and prints its figures; returns 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=4, help="each plays every failure once")
    options = parser.parse_args()
    figures, notes = asyncio.run(play_soak(options.seed, options.rounds))
    for note in notes:
        print(note)
    broken = broken_promises(figures)
    print(json.dumps({"soak": options.seed, "broken": broken} | figures))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
