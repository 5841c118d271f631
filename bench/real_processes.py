"""Real entries, sidecars and engines under series of namings, signals, cuts and load.

Engines log their first tokens, and none may be on weights that were replaced for longer than the
bound. The schedule follows from the seed; what processes do meanwhile does not, so a fault may need
several plays of its seed: `python -m bench.real_processes --seed 7 --seconds 180`.
"""

import argparse
import asyncio
import collections
import collections.abc
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

from tornado import httpserver, netutil, web

from standins.key_value_store import HOST, FakeStore, StoreCopy
from standins.ports import free_ports
from standins.rate_limiter import make_limiter_mbit
from standins.weights_origin import OriginHandler, WeightsOrigin
from wasabidrum.config.deployment import Bounds
from wasabidrum.platform import names

from .cluster import KEPT_FOLDER_VARIABLE
from .deployed_callers import HOSTNAME, Callers
from .deployed_fleet import MODEL, PORTS_OF_ONE, SERVICE, ZONES, Daemon, DeployedFleet
from .process import ROOT
from .version_judge import FirstToken, LateToken, VersionJudge

PIECES = 48
PIECE_BYTES = 49_152
ORIGIN_MBIT = 15.0
ENTRY_EXPIRES_SECONDS = 3.6
MEETING_SECONDS = 5.0
COPY_SECONDS = 0.5
COPIES = 10
# As engines have it; see their --silent-seconds.
MAX_SILENT_SECONDS = 1.5
FIGURES = {
    "slots": 16,
    "stride": 5,
    "step_ms": 9.27,
    "per_seq_ms": 0.4,
    "read_per_s": 20700.0,
    "chunk": 2048,
    "usual": {"prompt": 979, "answer": 92},
    "layers": 16,
    "chunks": PIECES,
    "chunkBytes": PIECE_BYTES,
    "models": [{"name": MODEL}],
}


class RealProcesses:
    """Plays one schedule.

    Attributes:
      played: What was done, and when.
      origin: Where sidecars and entries fetch weights.
      callers: Who asks for text.
    """

    def __init__(
        self,
        seed: int,
        entries: int,
        engines: int,
        per_second: float,
        folder: pathlib.Path,
        root: pathlib.Path = ROOT,
        bounds: Bounds | None = None,
        limits: dict[str, float] | None = None,
    ) -> None:
        self._seed = seed
        self._folder = folder
        self._counts = entries, engines
        self._store = FakeStore()
        self.bounds = bounds or Bounds()
        self._judge = VersionJudge(self.bounds.version, self.bounds.settling)
        self.origin = WeightsOrigin(MODEL, PIECES, PIECE_BYTES, make_limiter_mbit(ORIGIN_MBIT))
        self._origin_server: httpserver.HTTPServer | None = None
        self._first_port = free_ports(PORTS_OF_ONE)
        self.fleet = DeployedFleet(self._store, folder, self._first_port, self.bounds, root, limits)
        self.callers = Callers(self.fleet, self._rng_of("callers"), per_second)
        self._per_second = per_second
        # Daemons that a series has taken, so that no other one signals them meanwhile.
        self._taken: set[Daemon] = set()
        self._version = 0
        self.played: list[str] = []

    def _rng_of(self, series: str) -> random.Random:
        return random.Random(f"{self._seed} {series}")

    def record(self, action: str) -> None:
        """Records what is done, beside the logs of the processes."""
        self.played.append(f"{time.time():.3f} {action}")
        with open(self._folder / "played.log", "a", encoding="utf-8") as log:
            log.write(self.played[-1] + "\n")

    async def play(self, series: collections.abc.Callable) -> dict[str, object]:
        """Runs callers beside a coroutine until that has ended; returns what was seen."""
        try:
            await self._start()
            running = [self.callers.run(), self._expire_entries()]
            tasks = [asyncio.ensure_future(each) for each in running]
            await asyncio.sleep(MEETING_SECONDS)
            await series()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self.callers.stop()
        finally:
            await self._stop()
        return self._figures()

    async def play_all(self, seconds: float) -> None:
        """Plays all series beside each other for some time."""
        playing = [asyncio.ensure_future(play()) for play in self._all_series()]
        done, _ = await asyncio.wait(playing, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
        for task in playing:
            task.cancel()
        await asyncio.gather(*playing, return_exceptions=True)
        for task in done:
            task.result()

    def _all_series(self) -> list[collections.abc.Callable]:
        """Returns the series of a whole run."""
        series = [self._play_namings, self._play_entries, self._play_entries]
        series += [self._play_instances, self._play_instances, self._play_cuts, self._play_load]
        series += [self._play_restorations, self._play_silences]
        return [
            lambda play=play, number=number: play(self._rng_of(f"{play.__name__} {number}"))
            for number, play in enumerate(series)
        ]

    async def _start(self) -> None:
        entries, engines = self._counts
        await self._store.start()
        routes = [(r"/.*", OriginHandler, {"origin": self.origin})]
        application = web.Application(routes, log_function=lambda handler: None)
        self._origin_server = httpserver.HTTPServer(application)
        sockets = netutil.bind_sockets(0, HOST)
        self._origin_server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        await self._store.put(names.CONFIGURATION_KEY, make_configuration(f"{HOST}:{port}"))
        await self.name_version()
        zones = list(ZONES)
        for number in range(entries):
            self.fleet.add_entry(zones[number % len(zones)])
        for number in range(engines):
            self.fleet.add_instance(zones[number % len(zones)], FIGURES, holds=1)
        await self.fleet.start()

    async def _stop(self) -> None:
        await self.fleet.stop()
        self._store.stop()
        if self._origin_server is not None:
            self._origin_server.stop()

    async def _expire_entries(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            if not self._store.fault:
                await self._store.expire(ENTRY_EXPIRES_SECONDS)

    async def name_version(self) -> None:
        """Names the next version, as an operator does."""
        self._version += 1
        self.origin.newest = self._version
        value = {"model": MODEL, "version": self._version}
        await self._store.put(names.VERSION_PREFIX + MODEL, value)
        self._judge.acknowledged[self._version] = time.time()
        self.record(f"version {self._version}")

    @contextlib.contextmanager
    def disturb(self, *daemons: Daemon) -> collections.abc.Iterator[None]:
        """Takes daemons for some time, and records them as disturbed."""
        self._taken.update(daemons)
        try:
            with self._recorded(daemons):
                yield
        finally:
            self._taken.difference_update(daemons)

    @contextlib.contextmanager
    def _recorded(
        self, daemons: collections.abc.Collection[Daemon]
    ) -> collections.abc.Iterator[None]:
        """Records that daemons are not in touch for some time; such times may overlap."""
        lasting = (time.time(), float("inf"))
        spans = [self._judge.disturbed.setdefault(daemon.name, []) for daemon in daemons]
        for span in spans:
            span.append(lasting)
        try:
            yield
        finally:
            for span in spans:
                span[span.index(lasting)] = (lasting[0], time.time())

    async def suspend(self, seconds: float, *daemons: Daemon) -> None:
        """Suspends daemons together."""
        self.record(f"suspend {' '.join(each.name for each in daemons)} for {seconds:.2f}")
        with self.disturb(*daemons):
            for daemon in daemons:
                daemon.send(signal.SIGSTOP)
            try:
                await asyncio.sleep(seconds)
            finally:
                for daemon in daemons:
                    daemon.send(signal.SIGCONT)

    async def cut(self, fault: str, seconds: float, *daemons: Daemon) -> None:
        """Cuts daemons off from the store."""
        self.record(f"cut {' '.join(each.name for each in daemons)} {fault} for {seconds:.2f}")
        with self._recorded(daemons):
            for daemon in daemons:
                daemon.view.fail(fault)
            try:
                await asyncio.sleep(seconds)
            finally:
                for daemon in daemons:
                    daemon.view.recover()

    async def fail_store(self, fault: str, seconds: float, copy: StoreCopy | None = None) -> None:
        """Makes the store fail for everybody, and come back from a copy if one is given."""
        self.record(f"store {fault} for {seconds:.2f}")
        faults = self._judge.store_faults
        faults.append((time.time(), float("inf")))
        self._store.fault = "busy"
        views = [daemon.view for daemon in self.fleet.daemons if daemon.view is not None]
        for view in views:
            view.fail(fault)
        try:
            await asyncio.sleep(seconds)
            if copy is not None:
                await self._store.restore(copy)
        finally:
            self._store.fault = ""
            for view in views:
                view.recover()
            faults[-1] = (faults[-1][0], time.time())

    async def restore(self, copy: StoreCopy, seconds: float) -> None:
        """Lets the store go away, and come back from a copy; the operator then writes again."""
        await self.fail_store("busy", seconds, copy)
        self.record(f"store restored at revision {copy.revision}")
        value = {"model": MODEL, "version": self._version}
        if not self._store.holds(names.VERSION_PREFIX + MODEL, value):
            await self._store.put(names.VERSION_PREFIX + MODEL, value)
            # A version that was in force before stays so.
            if self._judge.due_at(self._version) > time.time():
                self._judge.acknowledged[self._version] = time.time()
            self.record(f"version {self._version} again")

    async def _play_restorations(self, rng: random.Random) -> None:
        copies: collections.deque[StoreCopy] = collections.deque(maxlen=COPIES)
        while True:
            for _ in range(rng.randint(4, 16)):
                await asyncio.sleep(COPY_SECONDS)
                if not self._store.fault:
                    copies.append(self._store.copy())
            for _ in range(rng.choice((1, 1, 2))):
                copy, seconds = rng.choice(copies), rng.choice((0.1, 0.5, 2.0))
                if not self._store.fault:
                    await self.restore(copy, seconds)

    async def _play_namings(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(5.0, 15.0))
            for _ in range(rng.choice((1, 1, 2, 3))):
                if not self._store.fault:
                    await self.name_version()
                await asyncio.sleep(rng.uniform(0.2, 4.0))

    async def _play_entries(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(1.0, 8.0))
            entry = rng.choice(self.fleet.entries)
            action = rng.choice(("kill", "stop", "suspend", "suspend", "reload"))
            seconds = rng.uniform(0.3, 5.0)
            if entry in self._taken or not entry.alive:
                continue
            if action == "suspend":
                await self.suspend(seconds, entry)
                continue
            self.record(f"{action} {entry.name}")
            if action == "reload":
                entry.send(signal.SIGHUP)
                continue
            with self.disturb(entry):
                await (entry.kill() if action == "kill" else entry.stop())
                await entry.start()
                await asyncio.sleep(0.5)

    async def _play_instances(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(0.5, 5.0))
            instance = rng.choice(self.fleet.instances)
            both = (instance.sidecar, instance.engine)
            actions = ("suspend both", "suspend both", "suspend both", "suspend engine")
            action = rng.choice((*actions, "suspend sidecar", "kill sidecar", "kill engine"))
            seconds = rng.uniform(0.5, 8.0)
            if self._taken.intersection(both) or not all(each.alive for each in both):
                continue
            if action.startswith("suspend"):
                daemons = {"both": both, "sidecar": both[:1], "engine": both[1:]}
                await self.suspend(seconds, *daemons[action.split()[1]])
                continue
            daemon = instance.sidecar if action == "kill sidecar" else instance.engine
            self.record(f"kill {daemon.name}")
            with self.disturb(daemon):
                await daemon.kill()
                await asyncio.sleep(min(seconds, 3.0))
                if daemon is instance.engine:
                    daemon.forget_weights()
                await daemon.start()
                await asyncio.sleep(0.5)

    async def _play_silences(self, rng: random.Random) -> None:
        """Lets engines fall silent for a moment: one, several or all, at times again and again.

        This excuses nothing, so it is not recorded as a disturbance.
        """
        while True:
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            engines = [instance.engine for instance in self.fleet.instances]
            count = rng.choice((1, 1, 2, 3, len(engines)))
            chosen = rng.sample(engines, min(count, len(engines)))
            for _ in range(rng.choice((1, 1, 1, 3))):
                # One that is about to start would be ended by the signal.
                silent = [each for each in chosen if each not in self._taken]
                self.record(f"silence of {' '.join(each.name for each in silent)}")
                for engine in silent:
                    engine.send(signal.SIGUSR2)
                # Two silences without anything between them would be a longer one.
                await asyncio.sleep(rng.uniform(MAX_SILENT_SECONDS + 0.1, 2.5))

    async def _play_cuts(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(4.0, 16.0))
            fault = rng.choice(("hang", "busy"))
            seconds = rng.uniform(0.5, 9.0)
            if rng.random() < 0.2:
                await self.fail_store(fault, seconds)
                continue
            sidecars = [instance.sidecar for instance in self.fleet.instances]
            daemons = rng.sample([*self.fleet.entries, *sidecars], rng.randint(1, 3))
            await self.cut(fault, seconds, *daemons)

    async def _play_load(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(3.0, 10.0))
            factor = rng.choice((0.5, 1.0, 1.0, 1.6, 2.2))
            self.callers.per_second = factor * self._per_second
            self.record(f"load times {factor}")

    def _first_tokens(self) -> list[FirstToken]:
        tokens = []
        for instance in self.fleet.instances:
            for line in instance.engine.lines("began"):
                entry, sent_at = self.callers.sent[line["request"]]
                tokens.append(
                    FirstToken(
                        line["request"],
                        instance.id,
                        entry,
                        line["version"],
                        sent_at,
                        line["received"],
                        line["t"],
                    )
                )
        return tokens

    def _figures(self) -> dict[str, object]:
        tokens = self._first_tokens()
        late = self._judge.late_tokens(tokens)
        wrong = sum(len(each.engine.lines("loaded_wrong")) for each in self.fleet.instances)
        return {
            "seed": self._seed,
            "late": [self._describe(each) for each in late],
            "loaded_wrong": wrong,
            "first_tokens": len(tokens),
            "versions": self._version,
            "outcomes": dict(self.callers.outcomes),
        }

    def _describe(self, late: LateToken) -> dict[str, object]:
        """Returns what all processes logged about a first token that was late."""
        token = late.token
        logs = {}
        for entry in self.fleet.entries:
            lines = [line for line in entry.text().splitlines() if f'"{token.request}"' in line]
            if lines:
                logs[entry.name] = lines
        return {
            "request": token.request,
            "engine": token.engine,
            "entry": token.entry,
            "version": token.version,
            "newer": late.newer,
            "late_by": round(late.seconds, 3),
            "after_naming": round(late.after_naming, 3),
            "sent": round(token.sent_at - self._judge.acknowledged[late.newer], 3),
            "received": round(token.received_at - self._judge.acknowledged[late.newer], 3),
            "logs": logs,
        }


def make_configuration(origin: str) -> dict:
    """Returns a configuration with one route to engines, and the origin of their weights."""
    route = {
        "name": "text",
        "host": HOSTNAME,
        "prefix": "/streaming/",
        "type": "streaming",
        "timeoutMs": 6000,
        "targetLatencyMs": 505,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "public": True,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 400,
    }
    services = [
        {"name": SERVICE, "healthPath": "/healthz", "maxConnections": 354, "engine": FIGURES},
        {"name": "weights", "origin": origin, "zone": "z3", "linkMbps": ORIGIN_MBIT},
    ]
    return {"version": 1, "routes": [route], "services": services}


async def play_once(
    seed: int,
    seconds: float,
    entries: int = 3,
    engines: int = 6,
    per_second: float = 30.0,
    root: pathlib.Path = ROOT,
    kept_folder: str = os.environ.get(KEPT_FOLDER_VARIABLE, ""),
) -> dict[str, object]:
    """Plays a seed; returns what was seen.

    Args:
      root: The checkout that entries and sidecars run from.
      kept_folder: Where the logs are kept, in a folder for each play; empty to keep none.
    """
    with contextlib.ExitStack() as stack:
        if kept_folder:
            pathlib.Path(kept_folder).mkdir(parents=True, exist_ok=True)
            folder = tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=kept_folder)
        else:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
        run = RealProcesses(seed, entries, engines, per_second, pathlib.Path(folder), root)
        figures = await run.play(lambda: run.play_all(seconds))
        (pathlib.Path(folder) / "figures.json").write_text(json.dumps(figures, indent=1))
        return figures


def main() -> int:
    """Plays seeds one after the other; returns 1 if one broke the bound."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--per-second", type=float, default=30.0, help="requests of all callers")
    parser.add_argument("--root", type=pathlib.Path, default=ROOT, help="checkout of the daemons")
    parser.add_argument("--keep-logs", metavar="DIR", default="", help="of all processes")
    options = parser.parse_args()
    red = 0
    for seed in range(options.seed, options.seed + options.seeds):
        figures = asyncio.run(
            play_once(
                seed,
                options.seconds,
                options.entries,
                options.engines,
                options.per_second,
                options.root.resolve(),
                options.keep_logs,
            )
        )
        red += bool(figures["late"] or figures["loaded_wrong"])
        print(json.dumps(figures), flush=True)
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
