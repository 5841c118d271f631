"""The demo: real bytes along the whole path, while things change and fail.

Starts stand-ins and daemons on loopback: two entries and six model endpoints in three
regions, and two endpoints of a billing service. Rolls out a version of 64 MiB under live
load, changes the wanted version once while it is in flight, kills an instance, and changes
an overlay. The last line is one JSON object; the exit status is 1 where it breaks a promise.
"""

import asyncio
import collections
import json
import sys

from .caller import Caller
from .cluster import Cluster
from .fleet_files import make_base

REGIONS = ("recife-a", "fortaleza-a", "salvador-a")
MEBIBYTE = 1_048_576
VERSION_BYTES = 64 * MEBIBYTE
CHUNK_BYTES = MEBIBYTE
ORIGIN_MBIT = 400.0
BETWEEN_REGIONS_MBIT = 400.0
LOAD_PER_SECOND = 30.0
TOKENS = 20
IN_FORCE_SECONDS = 40.0


def say(text: str) -> None:
    """Prints one line of what happens."""
    print(text, flush=True)


async def start_fleet(cluster: Cluster) -> tuple[dict[str, str], dict[str, str]]:
    """Starts all processes; returns the regions of engines and of services by name."""
    await cluster.start_platform("--origin-mbit", str(ORIGIN_MBIT))
    engines = {f"assistant-{i + 1}": REGIONS[i % 3] for i in range(6)}
    services = {"ticketing-1": REGIONS[0], "ticketing-2": REGIONS[1]}
    started = [cluster.start_sidecar(name, region) for name, region in engines.items()]
    started += [cluster.start_sidecar(name, region, "service") for name, region in services.items()]
    started += [cluster.start_entry(f"entry-{i + 1}", REGIONS[i]) for i in range(2)]
    await asyncio.gather(*started)
    await cluster.publish_instances()
    return engines, services


async def count_live(cluster: Cluster, names: list[str], version: str) -> int:
    """Returns how many engines have a version in force, asked of the engines themselves."""
    live = 0
    for name in names:
        counters = await cluster.counters(cluster.members[name].endpoint_port)
        live += counters["active"] == version
    return live


async def watch_revisions(cluster: Cluster, highest: dict[str, int], going_back: list) -> None:
    """Notes any daemon whose revision ever goes down."""
    while True:
        for name, member in list(cluster.members.items()):
            if not member.daemon.alive:
                continue
            try:
                revision = (await cluster.status(name))["revision"]
            except OSError:
                continue
            if revision < highest.get(name, 0):
                going_back.append((name, highest[name], revision))
            highest[name] = max(highest.get(name, 0), revision)
        await asyncio.sleep(0.2)


def count_runs(cluster: Cluster) -> collections.Counter:
    """Returns how often each charge ran, from the journals of the services."""
    runs: collections.Counter = collections.Counter()
    for journal in cluster.folder.glob("*.journal"):
        runs.update(journal.read_text().split())
    return runs


async def run_demo(cluster: Cluster) -> dict[str, object]:
    """Plays the demo and returns its figures."""
    loop = asyncio.get_running_loop()
    engines, services = await start_fleet(cluster)
    names = list(engines)
    say(f"started {len(cluster.members)} daemons and {len(names) + len(services)} endpoints")
    sizes = {"total_bytes": VERSION_BYTES, "chunk_bytes": CHUNK_BYTES}
    roots = {"v1": await cluster.make_version(total_bytes=4 * MEBIBYTE, chunk_bytes=CHUNK_BYTES)}

    def base(version: str) -> dict[str, object]:
        # The link between regions is scaled up with the origin's, so that the demo is short.
        links = {"between_regions_mbit": BETWEEN_REGIONS_MBIT}
        return make_base(roots, version, engines, services, VERSION_BYTES) | {"links": links}

    await cluster.publish(base("v1"))

    async def live(version: str, wanted: list[str]) -> bool:
        return await count_live(cluster, wanted, version) == len(wanted)

    seconds = await cluster.wait_until(lambda: live("v1", names), IN_FORCE_SECONDS, "v1 live")
    say(f"v1 in force on {len(names)} engines after {seconds:.1f} s")
    await asyncio.sleep(1.5)

    caller = Caller([cluster.members[f"entry-{i + 1}"].caller_port for i in range(2)], seed=7)
    load = asyncio.ensure_future(caller.run_open_loop(LOAD_PER_SECOND, TOKENS, 35.0))
    going_back: list = []
    watch = asyncio.ensure_future(watch_revisions(cluster, {}, going_back))

    roots["v2"] = await cluster.make_version(seed=2, **sizes)
    roots["v3"] = await cluster.make_version(seed=3, base_seed=2, changed_fraction=0.1, **sizes)
    before = (await cluster.counters())["origin_weight_bytes"]
    await cluster.publish(base("v2"))
    began = loop.time()
    say("v2 of 64 MiB wanted, under live load")
    await asyncio.sleep(1.0)
    await cluster.publish(base("v3"))
    say("v3, with a tenth of its chunks changed, wanted while v2 is in flight")
    killed = cluster.members["assistant-6"]
    await asyncio.sleep(0.5)
    await killed.daemon.kill()
    await killed.endpoint.kill()
    say("assistant-6 killed")
    left = names[:-1]
    await cluster.wait_until(lambda: live("v3", left), IN_FORCE_SECONDS, "v3 live")
    seconds = loop.time() - began
    origin_bytes = (await cluster.counters())["origin_weight_bytes"] - before
    say(f"v3 in force on {len(left)} engines after {seconds:.1f} s")

    revision = await cluster.publish(base("v3"), {"recife-a": {"workspaces": {"printers": None}}})

    async def everywhere() -> bool:
        alive = [name for name, member in cluster.members.items() if member.daemon.alive]
        statuses = [await cluster.status(name) for name in alive]
        return all(status["revision"] == revision for status in statuses)

    took = await cluster.wait_until(everywhere, 10.0, "overlay in force")
    say(f"an overlay's change in force at every daemon after {took:.2f} s")
    await load
    watch.cancel()
    runs = count_runs(cluster)
    counts = caller.counts
    for problem in caller.problems[:10]:
        say(f"problem: {problem}")
    false_not_run = [m for m, became in caller.charges.items() if became == "refused" and runs[m]]
    bad = [await cluster.counters(cluster.members[name].endpoint_port) for name in left]
    return {
        "replicas_live": await count_live(cluster, left, "v3"),
        "replicas_wanted": len(left),
        "seconds": round(seconds, 2),
        "origin_copies": round(origin_bytes / VERSION_BYTES, 3),
        "requests": counts["requests"],
        "whole": counts["whole"],
        "refused": counts["refused"],
        "unknown": counts["unknown"],
        "failed": counts["failed"],
        "wrong": counts["wrong"],
        "mixed": counts["mixed"] + sum(counter["bad_activations"] for counter in bad),
        "lost": counts["lost"],
        "charges": counts["charges"],
        "double_runs": sum(1 for count in runs.values() if count > 1),
        "false_not_run": len(false_not_run),
        "reverted": len(going_back),
    }


def breaks_promise(figures: dict[str, object]) -> list[str]:
    """Returns the names of the figures that break a promise."""
    zeros = ("wrong", "mixed", "lost", "double_runs", "false_not_run", "reverted")
    broken = [name for name in zeros if figures[name] != 0]
    if figures["replicas_live"] != figures["replicas_wanted"]:
        broken.append("replicas_live")
    if figures["whole"] == 0:
        broken.append("whole")
    return broken


async def play() -> int:
    """Runs the demo in a cluster of its own."""
    async with Cluster() as cluster:
        figures = await run_demo(cluster)
    broken = breaks_promise(figures)
    if broken:
        say(f"broken: {', '.join(broken)}")
    print(json.dumps(figures), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(play()))
