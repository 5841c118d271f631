"""Real entry processes under series of signals, restarts and limits that endpoints state.

Callers keep their connections until the process behind them is gone. The schedule follows from the
seed: `python -m tests.entry_soak --seed 7 --seeds 50 --entries 6 --seconds 20`. What processes do
meanwhile is not replayed, so a fault may need several plays of its seed.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
import tempfile

from bench.process import ROOT, Process
from tests.fake_platform import (
    FakeEndpoint,
    FakeStore,
    ReceivedRequest,
    Reply,
    answer_ok,
    free_ports,
    make_configuration,
    read_reply,
)
from tests.retry_budget_test import ArrivalLog
from tests.stated_limits_test import LimitLog
from wasabidrum.config.deployment import Bounds
from wasabidrum.platform import names

SERVICE = "tally"
ENDPOINTS = 4
PORTS_OF_ONE = 6
BOUNDS = Bounds(retry_fraction=0.2, retry_extra=24.0, retry_window=10.0)
RUN_SECONDS = 0.05
# Entries that have started together know each other after this time.
MEETING_SECONDS = 4.0
REPLY_SECONDS = 4.0
GRACE_SECONDS = 4.0
# A refusal waits for nothing; this is what a busy machine may add.
REFUSAL_SECONDS = 1.0
LIMITS = (0.5, 1.5, 3.0, 6.0)


class Entry:
    """One entry process, and the settings that each start of it gets."""

    def __init__(self, number: int, first_port: int, folder: pathlib.Path, store_port: int) -> None:
        self.name = f"entry-{number}"
        self.host = f"127.0.1.{number + 1}"
        self.port = first_port + 3
        self.process: Process | None = None
        self._suspended_seconds = 0.0
        self._suspended_at: float | None = None
        self._store_port = store_port
        self._first_port = first_port
        self._settings = folder / f"{self.name}.json"
        self._output = folder / f"{self.name}.log"

    @property
    def running_seconds(self) -> float:
        """Seconds for which it was not suspended."""
        now = asyncio.get_running_loop().time()
        until = now if self._suspended_at is None else self._suspended_at
        return until - self._suspended_seconds

    async def suspend(self, seconds: float) -> None:
        """Suspends the process for some time."""
        process = self.process
        process.send(signal.SIGSTOP)
        if self._suspended_at is not None:
            return
        self._suspended_at = asyncio.get_running_loop().time()
        await asyncio.sleep(seconds)
        self._suspended_seconds += asyncio.get_running_loop().time() - self._suspended_at
        self._suspended_at = None
        process.send(signal.SIGCONT)

    async def start(self, bootstrap: bool) -> None:
        """Starts the process."""
        settings = {
            "nodeName": self.name,
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": "rift-a",
            "region": "rift",
            "zones": {"rift-a": "rift"},
            "provider": {"address": f"127.0.0.1:{self._store_port}"},
            "listen": {
                "front": f"{self.host}:{self.port}",
                "ready": f"{self.host}:{self.port + 1}",
                "control": f"{self.host}:{self.port + 2}",
            },
            "internalPorts": [self._first_port, self._first_port + 2],
            "seeds": [f"127.0.1.{number}:{self.port + 2}" for number in (1, 2)],
            "bounds": {
                "retryBudgetRatio": BOUNDS.retry_fraction,
                "budgetSlack": BOUNDS.retry_extra,
                "budgetWindowS": BOUNDS.retry_window,
                "graceS": GRACE_SECONDS,
            },
            "bootstrap": bootstrap,
        }
        self._settings.write_text(json.dumps(settings))
        environment = os.environ | {names.SETTINGS_VARIABLE: str(self._settings)}
        with open(self._output, "ab") as stream:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "wasabidrum.scripts.daemon",
                "--deployed",
                cwd=ROOT,
                stdout=stream,
                stderr=stream,
                env=environment,
            )
        self.process = Process(self.name, process, self._output)


class EntrySoak:
    """Plays one schedule, and counts at endpoints and callers what must not happen."""

    def __init__(self, seed: int, entries: int, per_second: float, folder: pathlib.Path) -> None:
        self._rng = random.Random(seed)
        self._per_second = per_second
        self._store = FakeStore()
        self._endpoints = [FakeEndpoint(f"e{number}", SERVICE) for number in range(ENDPOINTS)]
        self._folder = folder
        self._count = entries
        self._entries: list[Entry] = []
        self._asked = 0
        self._ends = False
        self.repeats = ArrivalLog()
        self.limits: dict[str, LimitLog] = collections.defaultdict(LimitLog)
        self.runs: collections.Counter[str] = collections.Counter()
        self.statuses: collections.Counter[int] = collections.Counter()
        self.not_run: set[str] = set()
        self.late_refusals: list[str] = []
        self.played: list[str] = []

    async def play(self, seconds: float) -> dict[str, object]:
        """Runs the schedule; returns what was seen."""
        try:
            await self._start()
            callers = [asyncio.ensure_future(self._call(entry)) for entry in self._entries * 2]
            await asyncio.sleep(MEETING_SECONDS)
            series = (self._play_signals, self._play_signals, self._play_limits, self._play_faults)
            playing = [asyncio.ensure_future(play()) for play in series]
            await asyncio.sleep(seconds)
            self._ends = True
            await asyncio.gather(*playing)
            await asyncio.wait(callers, timeout=REPLY_SECONDS)
            return self._judge()
        finally:
            await self._stop()

    async def _start(self) -> None:
        await self._store.start()
        await self._store.put(names.CONFIGURATION_KEY, make_configuration(7, SERVICE))
        for endpoint in self._endpoints:
            endpoint.handler = self._answer
            await endpoint.start()
            await self._store.put(names.ENDPOINT_PREFIX + endpoint.id, endpoint.entry())
        first = free_ports(PORTS_OF_ONE)
        self._entries = [
            Entry(number, first, self._folder, self._store.port) for number in range(self._count)
        ]
        await asyncio.gather(*(entry.start(True) for entry in self._entries))
        await asyncio.gather(*(e.process.read_event("daemon_started") for e in self._entries))

    async def _stop(self) -> None:
        for entry in self._entries:
            if entry.process is not None:
                entry.process.send(signal.SIGCONT)
                await entry.process.kill()
        for endpoint in self._endpoints:
            await endpoint.stop()
        self._store.stop()

    async def _answer(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.limits[endpoint.id].arrived_at.append(asyncio.get_running_loop().time())
        handler = self.repeats.choose_handler(request)
        if handler is answer_ok:
            self.runs[request.headers[names.REQUEST_ID.lower()]] += 1
            await asyncio.sleep(RUN_SECONDS)
        await handler(endpoint, request, writer)

    async def _call(self, entry: Entry) -> None:
        """Sends requests on a connection that is kept until it ends, and then on the next."""
        pause = 2.0 * self._count / self._per_second
        while not self._ends:
            writer = None
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                reader, writer = await asyncio.open_connection(entry.host, entry.port)
                while not self._ends:
                    await asyncio.sleep(pause * self._rng.uniform(0.5, 1.5))
                    await self._ask(entry, reader, writer)
            if writer is not None:
                writer.close()
            await asyncio.sleep(0.1)

    async def _ask(
        self, entry: Entry, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._asked += 1
        name = f"r{self._asked}"
        kind = self._rng.choice(("safe", "safe", "unsafe"))
        head = (
            f"POST /{kind}/a HTTP/1.1",
            f"Host: {SERVICE}.example",
            f"{names.REQUEST_ID}: {name}",
            f"{names.DEADLINE}: 3000",
            "Content-Length: 1",
        )
        began = entry.running_seconds
        self.repeats.record_sent()
        writer.write(("\r\n".join(head) + "\r\n\r\nx").encode())
        async with asyncio.timeout(REPLY_SECONDS):
            reply: Reply = await read_reply(reader)
        self.statuses[reply.status] += 1
        if reply.status == 503:
            self.not_run.add(name)
            waited = entry.running_seconds - began
            if waited > REFUSAL_SECONDS:
                self.late_refusals.append(f"{name} {entry.name} {waited:.2f} s {reply.body!r}")

    async def _play_signals(self) -> None:
        while not self._ends:
            await asyncio.sleep(self._rng.uniform(0.3, 2.0))
            entry = self._rng.choice(self._entries)
            action = self._rng.choice(("kill", "kill", "stop", "hup", "freeze"))
            process = entry.process
            if process is None or not process.alive:
                continue
            self.played.append(f"{action} {entry.name}")
            if action == "kill":
                await process.kill()
            elif action == "stop":
                process.send(signal.SIGTERM)
                await process.wait(GRACE_SECONDS)
                # As the platform does; another series may have suspended it.
                await process.kill()
            elif action == "hup":
                process.send(signal.SIGHUP)
                continue
            else:
                await entry.suspend(self._rng.uniform(0.3, 3.0))
                continue
            if entry.process is process:
                await entry.start(False)

    async def _play_limits(self) -> None:
        while not self._ends:
            endpoint = self._rng.choice(self._endpoints)
            endpoint.limit = self._rng.choice((*LIMITS, *LIMITS, None))
            self.limits[endpoint.id].record_limit(endpoint.limit)
            self.played.append(f"{endpoint.id} states {endpoint.limit}")
            await asyncio.sleep(self._rng.uniform(0.5, 4.0))

    async def _play_faults(self) -> None:
        while not self._ends:
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            if self._rng.random() < 0.3:
                self._store.fault = "" if self._store.fault else "busy"
                self.played.append(f"store {self._store.fault or 'back'}")
            else:
                self.repeats.failing = not self.repeats.failing
                self.played.append(f"endpoints refuse first sends: {self.repeats.failing}")
        self._store.fault = ""

    def _judge(self) -> dict[str, object]:
        until = asyncio.get_running_loop().time()
        excess = {name: log.worst_excess(until) for name, log in self.limits.items()}
        over_limits = {name: round(value, 1) for name, value in excess.items() if value > 0.0}
        beyond, repeats, allowed = self.repeats.worst_window(BOUNDS)
        return {
            "requests": self._asked,
            "statuses": dict(self.statuses),
            "over_limits": over_limits,
            "over_budget": f"{repeats} of {allowed:.0f}" if beyond > 0.0 else "",
            "double_runs": sum(count > 1 for name, count in self.runs.items()),
            "false_not_run": sum(self.runs[name] > 0 for name in self.not_run),
            "late_refusals": self.late_refusals,
        }


BROKEN = ("over_limits", "over_budget", "double_runs", "false_not_run", "late_refusals")
SMALLEST_LOAD_TO_JUDGE = 50


def broken_promises(figures: dict[str, object]) -> list[str]:
    """Returns the names of the figures that violate a guarantee."""
    broken = [name for name in BROKEN if figures[name]]
    if figures["requests"] < SMALLEST_LOAD_TO_JUDGE or not figures["statuses"].get(200):
        broken.append("served")
    return broken


async def play_soak(
    seed: int, entries: int, seconds: float, per_second: float
) -> tuple[dict[str, object], list[str]]:
    """Runs one schedule; returns its figures, and what was played."""
    with tempfile.TemporaryDirectory() as folder:
        soak = EntrySoak(seed, entries, per_second, pathlib.Path(folder))
        return await soak.play(seconds), soak.played


def main() -> int:
    """Runs schedules one after the other; returns 1 if one violated a guarantee."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--entries", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--per-second", type=float, default=60.0, help="requests of all callers")
    options = parser.parse_args()
    red = 0
    for seed in range(options.seed, options.seed + options.seeds):
        figures, played = asyncio.run(
            play_soak(seed, options.entries, options.seconds, options.per_second)
        )
        broken = broken_promises(figures)
        red += bool(broken)
        if broken:
            print("\n".join(played))
        print(json.dumps({"seed": seed, "broken": broken} | figures), flush=True)
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
