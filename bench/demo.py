"""The demo: a fleet of real processes that keeps its guarantees under changes and failures.

Starts stand-ins and daemons on loopback: two entries and six model endpoints in three
regions, and two endpoints of a billing service. Rolls out a version of 64 MiB under live
load, changes the wanted version once while it is in flight, kills an instance, changes an
overlay, publishes a faulty revision, and stops an instance gracefully. The last line is one
JSON object; the exit status is 1 if it shows that a guarantee was violated.
"""

import asyncio
import json
import signal
import sys
import time

from tornado import httpclient

from wasabidrum.core.errors import CodedError
from wasabidrum.scripts.commands.status import print_report
from wasabidrum.scripts.fleet_client import FleetClient
from wasabidrum.scripts.fleet_report import FleetReport

from . import demo_figures
from .caller import Caller
from .cluster import Cluster
from .fleet_files import make_base

REGIONS = ("recife-a", "fortaleza-a", "salvador-a")
MEBIBYTE = 1_048_576
VERSION_BYTES = 64 * MEBIBYTE
FIRST_VERSION_BYTES = 4 * MEBIBYTE
CHUNK_BYTES = MEBIBYTE
ORIGIN_MBIT = 400.0
BETWEEN_REGIONS_MBIT = 400.0
LOAD_PER_SECOND = 30.0
TOKENS = 20
IN_FORCE_SECONDS = 40.0
CHANGE_SECONDS = 10.0
STOP_SECONDS = 20.0


def print_progress(text: str) -> None:
    """Prints one line of progress."""
    print(text, flush=True)


class Demo:
    """One run of the demo.

    Attributes:
      missed: The steps that did not complete in time.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._engines = {f"assistant-{i + 1}": REGIONS[i % 3] for i in range(6)}
        self._services = {"ticketing-1": REGIONS[0], "ticketing-2": REGIONS[1]}
        self._roots: dict[str, str] = {}
        self._remaining = list(self._engines)
        self._highest: dict[str, int] = {}
        self._reverted = 0
        self._status_reads = 0
        self._seconds = 0.0
        self._origin_bytes = 0
        self._cut_requests = 0
        self._caller = Caller([], seed=7)
        self._load_ended = asyncio.Event()
        self.missed: list[str] = []

    async def run(self) -> dict[str, object]:
        """Runs all steps and returns the figures."""
        await self.start_fleet()
        await self.roll_out_first()
        load = asyncio.ensure_future(
            self._caller.run_open_loop(LOAD_PER_SECOND, TOKENS, ended=self._load_ended)
        )
        watch = asyncio.ensure_future(self.watch_revisions())
        await self.change_in_flight()
        await self.change_overlay()
        await self.publish_faults()
        await self.stop_gracefully()
        self._load_ended.set()
        await load
        if watch.done():
            watch.result()
        watch.cancel()
        return await self.judge()

    async def start_fleet(self) -> None:
        """Starts all processes."""
        cluster = self._cluster
        await cluster.start_platform("--origin-mbit", str(ORIGIN_MBIT))
        started = [cluster.start_sidecar(name, region) for name, region in self._engines.items()]
        for name, region in self._services.items():
            started.append(cluster.start_sidecar(name, region, "service"))
        started += [cluster.start_entry(f"entry-{i + 1}", REGIONS[i]) for i in range(2)]
        await asyncio.gather(*started)
        await cluster.publish_instances()
        ports = [cluster.members[f"entry-{i + 1}"].caller_port for i in range(2)]
        self._caller.entry_ports = ports
        endpoints = len(self._engines) + len(self._services)
        print_progress(f"started {len(cluster.members)} daemons and {endpoints} endpoints")

    async def roll_out_first(self) -> None:
        """Rolls out a small version, so that the engines can answer requests."""
        wanted = {"total_bytes": FIRST_VERSION_BYTES, "chunk_bytes": CHUNK_BYTES}
        self._roots["v1"] = await self._cluster.make_version(**wanted)
        await self._cluster.publish(self.base("v1"))
        seconds = await self.wait(lambda: self.is_live("v1"), IN_FORCE_SECONDS, "v1 live")
        print_progress(f"v1 in force on {len(self._remaining)} engines after {seconds:.1f} s")
        await self.wait(self.answers, CHANGE_SECONDS, "the first whole answer")

    async def change_in_flight(self) -> None:
        """Starts a large rollout, replaces it while it is in flight, and kills an instance."""
        cluster = self._cluster
        wanted = {"total_bytes": VERSION_BYTES, "chunk_bytes": CHUNK_BYTES}
        self._roots["v2"] = await cluster.make_version(seed=2, **wanted)
        self._roots["v3"] = await cluster.make_version(
            seed=3, base_seed=2, changed_fraction=0.1, **wanted
        )
        before = (await cluster.counters())["origin_weight_bytes"]
        began = time.monotonic()
        await cluster.publish(self.base("v2"))
        print_progress("v2 of 64 MiB wanted, under live load")
        await asyncio.sleep(1.0)
        await cluster.publish(self.base("v3"))
        print_progress("v3, with a tenth of its chunks changed, wanted while v2 is in flight")
        await asyncio.sleep(0.5)
        killed = cluster.members[self._remaining.pop()]
        await killed.daemon.kill()
        await killed.endpoint.kill()
        print_progress(f"{killed.name} killed")
        await self.wait(lambda: self.is_live("v3"), IN_FORCE_SECONDS, "v3 live")
        self._seconds = time.monotonic() - began
        self._origin_bytes = (await cluster.counters())["origin_weight_bytes"] - before
        print_progress(f"v3 in force on {len(self._remaining)} engines after {self._seconds:.1f} s")

    async def change_overlay(self) -> None:
        """Changes one site's overlay and waits until every daemon has it in force."""
        overlays = {REGIONS[0]: {"workspaces": {"printers": None}}}
        revision = await self._cluster.publish(self.base("v3"), overlays)
        seconds = await self.wait(
            lambda: self.all_report("revision", revision), CHANGE_SECONDS, "overlay"
        )
        print_progress(f"an overlay's change in force at every daemon after {seconds:.2f} s")

    async def publish_faults(self) -> None:
        """Publishes an invalid revision, which every daemon has to refuse."""
        faulty = self.base("v9") | {"modles": {}}
        revision = await self._cluster.publish(faulty)
        seconds = await self.wait(
            lambda: self.all_report("refused_revision", revision), CHANGE_SECONDS, "refusal"
        )
        print_progress(
            f"a faulty revision refused by every daemon after {seconds:.2f} s; status says:"
        )
        await self.show_status()

    async def stop_gracefully(self) -> None:
        """Stops one sidecar under load, which must not interrupt any request."""
        before = self.count_broken()
        stopped = self._cluster.members[self._remaining[0]]
        began = time.monotonic()
        stopped.daemon.send(signal.SIGTERM)
        code = await stopped.daemon.wait(STOP_SECONDS)
        if code != 0:
            self.missed.append(f"the graceful stop of {stopped.name} (exit {code})")
        await asyncio.sleep(1.0)
        self._cut_requests = self.count_broken() - before
        print_progress(
            f"{stopped.name} stopped gracefully in {time.monotonic() - began:.1f} s under load"
        )

    async def judge(self) -> dict[str, object]:
        """Returns the figures, from the endpoints' own counters where these exist."""
        for problem in self._caller.problems[:10]:
            print_progress(f"problem: {problem}")
        for name in self.missed:
            print_progress(f"not in time: {name}")
        ports = [self._cluster.members[name].endpoint_port for name in self._remaining]
        engines = [await self._cluster.counters(port) for port in ports]
        figures = demo_figures.count_requests(self._caller, engines, self._cluster.folder)
        return {
            "replicas_live": sum(engine["active"] == "v3" for engine in engines),
            "replicas_wanted": len(self._remaining),
            "seconds": round(self._seconds, 2),
            "origin_copies": round(self._origin_bytes / VERSION_BYTES, 3),
            **figures,
            "reverted": self._reverted,
            "cut_by_planned_stop": self._cut_requests,
            "missed": len(self.missed) + (not self._status_reads),
        }

    def base(self, version: str) -> dict[str, object]:
        """Returns the tree of a base file that wants a version in force."""
        base = make_base(self._roots, version, self._engines, self._services, VERSION_BYTES)
        # The links between regions are as fast as the origin's, which keeps the demo short.
        return base | {"links": {"between_regions_mbit": BETWEEN_REGIONS_MBIT}}

    async def wait(self, check, seconds: float, what: str) -> float:
        """Waits for a condition; on a time-out adds it to `missed` and continues the demo."""
        try:
            return await self._cluster.wait_until(check, seconds, what)
        except TimeoutError:
            self.missed.append(what)
            return seconds

    async def is_live(self, version: str) -> bool:
        """Returns whether every remaining engine reports a version as active."""
        for name in self._remaining:
            counters = await self._cluster.counters(self._cluster.members[name].endpoint_port)
            if counters["active"] != version:
                return False
        return True

    async def answers(self) -> bool:
        """Returns whether each entry gives a whole answer to a request."""
        for port in self._caller.entry_ports:
            if await Caller([port], seed=1).generate("hello", 3) != "whole":
                return False
        return True

    async def all_report(self, field: str, value: object) -> bool:
        """Returns whether the status of every running daemon has a value in a field."""
        alive = [name for name, member in self._cluster.members.items() if member.daemon.alive]
        return all([(await self._cluster.status(name))[field] == value for name in alive])

    async def watch_revisions(self) -> None:
        """Counts how often a daemon reports a lower revision than before."""
        while True:
            for name, member in list(self._cluster.members.items()):
                if not member.daemon.alive:
                    continue
                try:
                    revision = (await self._cluster.status(name))["revision"]
                except (OSError, httpclient.HTTPError):
                    continue
                self._status_reads += 1
                self._reverted += revision < self._highest.get(name, 0)
                self._highest[name] = max(self._highest.get(name, 0), revision)
            await asyncio.sleep(0.2)

    async def show_status(self) -> None:
        """Prints the output of `wasabidrum status`."""
        url = f"http://127.0.0.1:{self._cluster.platform_port}/instances"
        client = FleetClient(url)
        try:
            listed = await client.read_list()
            answers = await client.fetch_statuses(listed.instances)
            print_report(FleetReport(listed, answers), time.time())
        except CodedError as error:
            self.missed.append(f"status: {error}")

    def count_broken(self) -> int:
        """Returns the number of requests without an answer; refused ones are not counted."""
        return sum(self._caller.counts[name] for name in ("failed", "unknown", "lost"))


async def play() -> int:
    """Runs the demo in a new cluster; returns the exit status."""
    async with Cluster() as cluster:
        figures = await Demo(cluster).run()
    broken = demo_figures.find_broken(figures)
    if broken:
        print_progress(f"broken: {', '.join(broken)}")
    print(json.dumps(figures), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(play()))
