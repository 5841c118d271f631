"""Measures how soon an entry stops sending to a dead endpoint, and the false deaths.

A false death is a running daemon that others declare dead under packet loss and pauses.
"""

import asyncio
import json
import random
import signal
import time

from .caller import Caller
from .cluster import Cluster
from .fleet_files import make_base

REGION = "rift-a"
SIDECARS = 9
VICTIMS = 4
CALLS_AT_ONCE = 8
LOSSY_DAEMONS = 10
LOSS = 0.3
PAUSE_SECONDS = 1.0


async def measure_deaths(cluster: Cluster, control: str) -> dict[str, float]:
    """Kills some endpoints under load and hangs one; returns the times to the last request."""
    await cluster.start_platform()
    names = [f"tally-{number}" for number in range(SIDECARS)]
    starts = [cluster.start_sidecar(name, REGION, "service", control=control) for name in names]
    entry, *_ = await asyncio.gather(
        cluster.start_entry("entry-1", REGION, control=control), *starts
    )
    await cluster.publish_instances()
    base = make_base({}, "", {}, dict.fromkeys(names, REGION)) | {"models": {}}
    for workspace in base["workspaces"].values():
        workspace["models"] = []
    await cluster.publish(base)
    caller = Caller([entry.caller_port], seed=3)
    calling = True

    async def call() -> None:
        while calling:
            await caller.read()

    callers = [asyncio.ensure_future(call()) for _ in range(CALLS_AT_ONCE)]
    await asyncio.sleep(4.0)
    died = {}
    for name in names[:VICTIMS]:
        died[name] = time.time()
        await cluster.members[name].daemon.kill()
        await asyncio.sleep(1.0)
    hung = names[VICTIMS]
    died[hung] = time.time()
    cluster.members[hung].daemon.send(signal.SIGSTOP)
    await asyncio.sleep(4.0)
    calling = False
    for task in callers:
        task.cancel()
    last = dict(died)
    for line in entry.daemon.text().splitlines():
        event = json.loads(line)
        if event["event"] == "request_placed" and event["endpoint"] in last:
            last[event["endpoint"]] = max(last[event["endpoint"]], event["t"])
    seconds = {name: last[name] - died[name] for name in died}
    hung_seconds = seconds.pop(hung)
    return {
        "killed_seconds": round(max(seconds.values()), 3),
        "hung_seconds": round(hung_seconds, 3),
        "calls": sum(caller.counts[became] for became in ("whole", "refused", "unknown", "failed")),
        "whole": caller.counts["whole"],
    }


async def measure_false_deaths(cluster: Cluster, seconds: float) -> dict[str, float]:
    """Counts false deaths while peer links lose three pieces in ten and daemons pause."""
    await cluster.start_platform()
    endpoint = await cluster.start_service("shared")
    names = [f"tally-{number}" for number in range(LOSSY_DAEMONS)]
    members = await asyncio.gather(
        *(cluster.start_sidecar(name, REGION, "service", endpoint=endpoint) for name in names)
    )
    controls = []
    for member in members:
        _, member.peer_port, control_port = await cluster.start_proxy(member.peer_port)
        controls.append(control_port)
    await cluster.publish_instances()
    await asyncio.sleep(4.0)
    for control_port in controls:
        await cluster.put_link_faults(control_port, loss_chance=LOSS)
    began = time.time()
    rng = random.Random(5)
    while time.time() - began < seconds:
        process = rng.choice(members).daemon
        process.send(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_SECONDS)
        process.send(signal.SIGCONT)
        await asyncio.sleep(PAUSE_SECONDS)
    counts = {"member_dead": 0, "member_suspected": 0}
    for member in members:
        for line in member.daemon.text().splitlines():
            event = json.loads(line)
            if event["event"] in counts and event["t"] > began:
                counts[event["event"]] += 1
    return {
        "false_deaths": counts["member_dead"],
        "suspicions": counts["member_suspected"],
        "seconds": seconds,
        "daemons": LOSSY_DAEMONS,
    }
