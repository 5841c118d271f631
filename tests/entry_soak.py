"""Real entry processes under series of signals, restarts, crashes and limits of endpoints.

Meanwhile data centres are evacuated, engines are cold after they start, and routes differ in
priority.

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
import time

from bench.cluster import KEPT_FOLDER_VARIABLE
from bench.process import ROOT, Process
from standins.ports import free_ports
from tests.fake_crashes import (
    FIRST_PART,
    MAX_LATER_ARRIVALS,
    STABLE_SECONDS,
    CrashingEngines,
)
from tests.fake_platform import (
    FakeEndpoint,
    PlatformFleet,
    ReceivedRequest,
    Reply,
    answer_ok,
    make_configuration,
    read_reply,
    reset,
    response_head,
)
from tests.retry_budget_test import ArrivalLog
from tests.stated_limits_test import LimitLog
from wasabidrum.config.deployment import Bounds
from wasabidrum.platform import names

SERVICE = "tally"
ENDPOINTS = 4
PORTS_OF_ONE = 6
BOUNDS = Bounds(
    retry_fraction=0.2, retry_extra=24.0, retry_window=10.0, cold_factor=1.5, cold_extra=5.0
)
DATA_CENTRES = ["rift-a", "rift-b"]
COLD_SECONDS = 3.0
# The limit that follows, 11, is below what a warm engine gets, so that it takes effect.
COLD_PER_SECOND = 4.0
COLD_LIMIT = COLD_PER_SECOND * BOUNDS.cold_factor + BOUNDS.cold_extra
URGENT_KIND = "unsafe"
# For how long evacuations are judged before they end.
JUDGED_SECONDS = (4.0, 8.0)
# Engines whose forecasts are short, so that they refuse nothing that a plain service would serve.
ENGINE = {"slots": 6, "step_ms": 1.0, "read_per_s": 1_000_000.0, "models": [{"name": "m1"}]}
RUN_SECONDS = 0.05
# Entries that have started together know each other after this time.
MEETING_SECONDS = 4.0
REPLY_SECONDS = 4.0
GRACE_SECONDS = 4.0
# A refusal waits for nothing but a processor; this is what a busy machine may add otherwise.
REFUSAL_SECONDS = 1.0
LIMITS = (0.5, 1.5, 3.0, 6.0)
# Of all requests, while a part crashes endpoints.
CULPRIT_FRACTION = 0.3
# Of all answers: those that have neither a length nor chunks.
LENGTHLESS_FRACTION = 0.3
# Of all answers at times: those that are reset, or are streams and end inside an event.
BROKEN_FRACTION = 0.3
PIECES = 4
PIECE_SECONDS = 0.02
KEPT_FOLDER = os.environ.get(KEPT_FOLDER_VARIABLE, "")


class PartLog:
    """What a part that crashes endpoints has done, and when requests with it reached endpoints."""

    def __init__(self) -> None:
        self._crashed_at: list[float] = []
        self._arrived_at: list[float] = []

    @property
    def later_arrivals(self) -> int:
        """Those sent by entries in touch from STABLE_SECONDS after the fifth crash on."""
        if len(self._crashed_at) < 5:
            return 0
        return sum(at >= self._crashed_at[4] + STABLE_SECONDS for at in self._arrived_at)

    def record_crash(self) -> None:
        """Records that an endpoint has crashed on it."""
        self._crashed_at.append(asyncio.get_running_loop().time())

    def record_arrival(self, in_touch: bool) -> None:
        """Records that a request with it has reached an endpoint."""
        if in_touch:
            self._arrived_at.append(asyncio.get_running_loop().time())


class Evacuation:
    """An evacuation of a data centre that has not ended.

    Attributes:
      due_at: From when on entries in touch send nothing there. They have had the store at hand for
        the whole time that they may take.
    """

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.due_at = asyncio.get_running_loop().time() + BOUNDS.evacuation

    def record_store(self, away: bool) -> None:
        """Records that the store goes away or comes back."""
        now = asyncio.get_running_loop().time()
        if now < self.due_at:
            self.due_at = float("inf") if away else now + BOUNDS.evacuation


class Entry:
    """One entry process, and the settings that each start of it gets."""

    def __init__(
        self,
        number: int,
        first_port: int,
        folder: pathlib.Path,
        store_port: int,
        grace: float = GRACE_SECONDS,
        root: pathlib.Path = ROOT,
    ) -> None:
        self.name = f"entry-{number}"
        self.host = f"127.0.1.{number + 1}"
        self.port = first_port + 3
        self.process: Process | None = None
        self._suspended_seconds = 0.0
        # The process that is suspended, and since when.
        self._suspended: Process | None = None
        self._suspended_at: float | None = None
        self._disturbed_until = float("-inf")
        self._store_port = store_port
        self._grace = grace
        self._root = root
        self._first_port = first_port
        self._settings = folder / f"{self.name}.json"
        self._output = folder / f"{self.name}.log"

    @property
    def running_seconds(self) -> float:
        """Seconds for which it was not suspended."""
        now = asyncio.get_running_loop().time()
        until = now if self._suspended_at is None else self._suspended_at
        return until - self._suspended_seconds

    @property
    def queued_seconds(self) -> float:
        """Seconds for which its process waited for a processor since its start."""
        return queued_seconds(str(self.process.pid)) if self.process is not None else 0.0

    @property
    def in_touch(self) -> bool:
        """Whether it has run without signals and starts for STABLE_SECONDS."""
        now = asyncio.get_running_loop().time()
        calm = now - self._disturbed_until >= STABLE_SECONDS
        return calm and self._suspended_at is None

    def record_disturbance(self) -> None:
        """Records that it is started, or is sent a signal."""
        self._disturbed_until = asyncio.get_running_loop().time()

    async def suspend(self, seconds: float) -> None:
        """Suspends the process for some time."""
        process = self.process
        process.send(signal.SIGSTOP)
        if self._suspended is process:
            return
        self._suspended, self._suspended_at = process, asyncio.get_running_loop().time()
        await asyncio.sleep(seconds)
        if self._suspended is process:
            self._resume()

    def _resume(self) -> None:
        process, since = self._suspended, self._suspended_at
        if process is None:
            return
        self._suspended_seconds += asyncio.get_running_loop().time() - since
        self._suspended = self._suspended_at = None
        self.record_disturbance()
        process.send(signal.SIGCONT)

    async def start(self, bootstrap: bool) -> None:
        """Starts the process."""
        self.record_disturbance()
        settings = {
            "nodeName": self.name,
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": "rift-a",
            "region": "rift",
            "zones": dict.fromkeys(DATA_CENTRES, "rift"),
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
                "graceS": self._grace,
                "evacuateMs": BOUNDS.evacuation * 1000.0,
                "coldOverage": BOUNDS.cold_factor,
                "coldSlack": BOUNDS.cold_extra,
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
                cwd=self._root,
                stdout=stream,
                stderr=stream,
                env=environment,
            )
        self.attach(Process(self.name, process, self._output))

    async def replace(self, process: Process) -> None:
        """Starts the entry again after a process has ended, unless another series does."""
        if self.process is process:
            self.process = None
            await self.start(False)

    def attach(self, process: Process) -> None:
        """Replaces the process by one that has just started."""
        self._resume()
        self.process = process


class EntrySoak:
    """Plays one schedule, and counts at endpoints and callers what must not happen."""

    def __init__(self, seed: int, entries: int, per_second: float, folder: pathlib.Path) -> None:
        self._rng = random.Random(seed)
        # Answers draw from their own, so that they change nothing in the schedule of a seed.
        self._answers_rng = random.Random(f"answers {seed}")
        # Evacuations and kinds of service draw from their own for the same reason.
        self._operator_rng = random.Random(f"operator {seed}")
        # Only services with engines have an order of priorities.
        self._has_engines = self._operator_rng.random() < 0.5
        self._evacuation: Evacuation | None = None
        self._per_second = per_second
        self._fleet = PlatformFleet()
        self._store = self._fleet.store
        self._crashes = CrashingEngines(self._fleet)
        self._crashes.on_request = self._answer
        self._crashes.handler = self._run
        self._crashes.culprits = []
        self._crashes.zones = DATA_CENTRES
        self._crashes.cold_seconds = COLD_SECONDS
        if self._has_engines:
            self._crashes.facts = {"models": [{"name": "m1", "version": 1}]}
        self._folder = folder
        self._count = entries
        self._entries: list[Entry] = []
        self._asked = 0
        self._ends = False
        self._breaks_answers = False
        self.repeats = ArrivalLog()
        self.limits: dict[str, LimitLog] = collections.defaultdict(LimitLog)
        self.runs: collections.Counter[str] = collections.Counter()
        self.cut_runs: collections.Counter[str] = collections.Counter()
        self.parts: dict[str, PartLog] = collections.defaultdict(PartLog)
        self.statuses: collections.Counter[int] = collections.Counter()
        self.not_run: set[str] = set()
        self.late_refusals: list[str] = []
        self.finished: set[str] = set()
        self.false_answers: list[str] = []
        self.lost_answers: list[str] = []
        self.forms: collections.Counter[str] = collections.Counter()
        self.evacuated_arrivals: list[str] = []
        self.wrong_priorities: list[str] = []
        # Less urgent requests that were sent as the most urgent ones.
        self.raised_priorities: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.played: list[str] = []

    def write_line(self, event: str, **facts: object) -> None:
        """Writes a line beside the entries' logs, in their format."""
        line = {"t": round(time.time(), 3), "event": event, "daemon": "soak"} | facts
        with open(self._folder / "soak.log", "a", encoding="utf-8") as log:
            log.write(json.dumps(line) + "\n")

    def _record_played(self, action: str) -> None:
        self.played.append(action)
        self.write_line("played", action=action)

    def _set_limit(self, endpoint: FakeEndpoint, limit: float | None) -> None:
        """Makes an endpoint state a limit in its answers, or none."""
        endpoint.limit = limit
        self._record_played(f"{endpoint.id} states {limit}")

    async def play(self, seconds: float) -> dict[str, object]:
        """Runs the schedule; returns what was seen."""
        try:
            await self._start()
            callers = [asyncio.ensure_future(self._call(entry)) for entry in self._entries * 2]
            await asyncio.sleep(MEETING_SECONDS)
            series = (self._play_signals, self._play_signals, self._play_limits)
            series += (self._play_faults, self._play_crashes, self._play_broken_answers)
            series += (self._play_evacuations,)
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
        await self._store.put(names.CONFIGURATION_KEY, self._configuration())
        await self._crashes.start(ENDPOINTS)
        first = free_ports(PORTS_OF_ONE)
        self._entries = [
            Entry(number, first, self._folder, self._store.port) for number in range(self._count)
        ]
        await asyncio.gather(*(entry.start(True) for entry in self._entries))
        await asyncio.gather(*(e.process.read_event("daemon_started") for e in self._entries))

    def _configuration(self) -> dict:
        configuration = make_configuration(7, SERVICE)
        for route in configuration["routes"]:
            route["priority"] = 2 if route["type"] == URGENT_KIND else 5
        cold = {"coldStartS": COLD_SECONDS, "coldPerS": COLD_PER_SECOND}
        configuration["services"][0] |= cold | ({"engine": ENGINE} if self._has_engines else {})
        return configuration

    async def _stop(self) -> None:
        for entry in self._entries:
            if entry.process is not None:
                entry.process.send(signal.SIGCONT)
                await entry.process.kill()
        self._crashes.stop()
        await self._fleet.stop()

    async def _answer(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.limits[endpoint.id].arrived_at.append(asyncio.get_running_loop().time())
        handler = self.repeats.choose_handler(request)
        part = self._crashes.culprit_of(request)
        name = request.headers[names.REQUEST_ID.lower()]
        facts = {"endpoint": endpoint.id, "request": name, "part": part}
        in_touch = self._entry_of(name).in_touch
        self.write_line("arrived", refused=handler is not answer_ok, in_touch=in_touch, **facts)
        self._check_arrival(endpoint, request, name, in_touch)
        if part:
            self.parts[part].record_arrival(in_touch)
        if handler is not answer_ok:
            await handler(endpoint, request, writer)
            return
        if part:
            self.runs[name] += 1
            self.cut_runs[name] += is_safe(name)
        was_running = endpoint in self._crashes.running
        await self._crashes.serve(endpoint, request, writer)
        if endpoint in self._crashes.running:
            self.write_line("answered", limit=endpoint.limit, **facts)
        elif part and was_running:
            self.parts[part].record_crash()
            self.write_line("crashed", **facts)

    def _check_arrival(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, name: str, in_touch: bool
    ) -> None:
        """Checks the data centre and the priority of a request that has reached an endpoint."""
        now = asyncio.get_running_loop().time()
        evacuation = self._evacuation
        if evacuation is not None and now > evacuation.due_at and in_touch:
            self.counts["judged while evacuated"] += 1
            if endpoint.zone == evacuation.data_centre:
                late = now - evacuation.due_at
                self.evacuated_arrivals.append(f"{name} {endpoint.id} {late:.2f} s")
        rank = "0" if name.endswith(f"-{URGENT_KIND}") else "1"
        stated = request.headers.get(names.PRIORITY.lower())
        if stated != (rank if self._has_engines else None):
            raised = self._has_engines and stated == "0"
            (self.raised_priorities if raised else self.wrong_priorities).append(f"{name} {stated}")
        self.counts["cold"] += now < self._crashes.warm_at.get(endpoint.id, now)

    async def _run(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        name = request.headers[names.REQUEST_ID.lower()]
        self.runs[name] += 1
        broken = False
        try:
            await asyncio.sleep(RUN_SECONDS)
            broken = await self._write_answer(endpoint, request, writer, name)
        except ConnectionError:
            # Its endpoint has crashed, or its entry is gone.
            return
        finally:
            # What may be repeated may run again once its endpoint has crashed or broken it off.
            if broken or endpoint not in self._crashes.running:
                self.cut_runs[name] += is_safe(name)

    async def _write_answer(
        self,
        endpoint: FakeEndpoint,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        name: str,
    ) -> bool:
        """Writes an answer in one of several forms; returns whether it is broken off."""
        rng = self._answers_rng
        pieces = answer_pieces(name)
        length = sum(len(piece) for piece in pieces)
        streams = name.endswith("-streaming")
        if streams:
            pieces = pieces[int(request.headers.get(names.LAST_EVENT_ID.lower(), "0")) :]
        lengthless = rng.random() < LENGTHLESS_FRACTION
        chunked = streams and not lengthless
        broken = bool(pieces) and self._breaks_answers and rng.random() < BROKEN_FRACTION
        # Only a stream that ends inside an event shows by itself that it has ended early.
        resets = broken and (not streams or rng.random() < 0.5)
        if broken:
            number = rng.randrange(len(pieces))
            part = pieces[number][:-5]
            pieces = [*pieces[:number], b"" if resets and rng.random() < 0.5 else part]
        form = ("lengthless",) * lengthless + ("broken",) * broken + ("stream",) * streams
        self.forms[" ".join(form) or "plain"] += 1
        self.write_line("answers", endpoint=endpoint.id, request=name, form=form, resets=resets)
        lines = ["Content-Type: text/event-stream"] if streams else []
        if not lengthless:
            lines.append("Transfer-Encoding: chunked" if streams else f"Content-Length: {length}")
        writer.write(response_head(request, endpoint, "200 OK", *lines))
        # An endpoint that refuses or resets all requests has stated nothing to anybody.
        self.limits[endpoint.id].record_limit(endpoint.limit)
        for piece in filter(None, pieces):
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece)
            await writer.drain()
            await asyncio.sleep(PIECE_SECONDS)
        if resets:
            reset(writer)
        elif chunked:
            writer.write(b"0\r\n\r\n")
        if not broken and endpoint in self._crashes.running:
            self.finished.add(name)
        return broken

    def _entry_of(self, name: str) -> Entry:
        return self._entries[int(name.split("-")[1])]

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
        kind = self._rng.choice(("safe", "safe", "unsafe"))
        if kind == "safe" and self._answers_rng.random() < 0.5:
            kind = "streaming"
        name = f"r{self._asked}-{self._entries.index(entry)}-{kind}"
        guilty = self._rng.random() < CULPRIT_FRACTION
        parts = [FIRST_PART, f"a{self._asked % 3}", *self._crashes.culprits * guilty, "c0ffee"]
        head = (
            f"POST /{kind}/a HTTP/1.1",
            f"Host: {SERVICE}.example",
            f"{names.REQUEST_ID}: {name}",
            f"{names.DEADLINE}: 3000",
            f"{names.PROMPT_PREFIX}: {','.join(f'{part}:100' for part in parts)}",
            f"Content-Length: {len(name)}",
        )
        began = entry.running_seconds
        queued = entry.queued_seconds, queued_seconds("self")
        self.repeats.record_sent()
        writer.write(("\r\n".join(head) + f"\r\n\r\n{name}").encode())
        reply: Reply | None = None
        try:
            async with asyncio.timeout(REPLY_SECONDS):
                reply = await read_reply(reader)
        finally:
            served = reply is not None and reply.status == 200 and reply.whole
            if name in self.finished and entry.in_touch and not served:
                self.lost_answers.append(f"{name} {entry.name} {reply}")
        self.statuses[reply.status] += 1
        if reply.status == 200 and not is_true_answer(name, reply):
            self.false_answers.append(f"{name} {entry.name} whole {reply.whole} {reply.body!r}")
        if reply.status == 503:
            self.not_run.add(name)
            waited = entry.running_seconds - began
            # Neither end can act while it waits for a processor. Both may wait at once, so that
            # only the longer time is taken off.
            entry_queued = entry.queued_seconds - queued[0]
            soak_queued = queued_seconds("self") - queued[1]
            held = waited - max(0.0, entry_queued, soak_queued)
            self.write_line(
                "refused",
                request=name,
                waited=round(waited, 3),
                entry_queued=round(entry_queued, 3),
                soak_queued=round(soak_queued, 3),
            )
            if held > REFUSAL_SECONDS:
                self.late_refusals.append(f"{name} {entry.name} {held:.2f} s {reply.body!r}")
        if not reply.whole:
            raise EOFError("the connection has ended inside an answer")

    async def _play_signals(self) -> None:
        while not self._ends:
            await asyncio.sleep(self._rng.uniform(0.3, 2.0))
            entry = self._rng.choice(self._entries)
            action = self._rng.choice(("kill", "kill", "stop", "hup", "freeze"))
            process = entry.process
            if process is None or not process.alive:
                continue
            self._record_played(f"{action} {entry.name}")
            if action != "hup":
                entry.record_disturbance()
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
            await entry.replace(process)

    async def _play_limits(self) -> None:
        while not self._ends:
            if not self._crashes.running:
                await asyncio.sleep(0.1)
                continue
            endpoint = self._rng.choice(self._crashes.running)
            self._set_limit(endpoint, self._rng.choice((*LIMITS, *LIMITS, None)))
            await asyncio.sleep(self._rng.uniform(0.5, 4.0))

    async def _play_faults(self) -> None:
        while not self._ends:
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            if self._rng.random() < 0.3:
                self._store.fault = "" if self._store.fault else "busy"
                if self._evacuation is not None:
                    self._evacuation.record_store(bool(self._store.fault))
                self._record_played(f"store {self._store.fault or 'back'}")
            else:
                self.repeats.failing = not self.repeats.failing
                self._record_played(f"endpoints refuse first sends: {self.repeats.failing}")
        self._store.fault = ""

    async def _play_evacuations(self) -> None:
        rng = self._operator_rng
        while not self._ends:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            data_centre, seconds = rng.choice(DATA_CENTRES), rng.uniform(*JUDGED_SECONDS)
            while self._store.fault and not self._ends:
                await asyncio.sleep(0.1)
            key = names.EVACUATION_PREFIX + data_centre
            await self._store.put(key, {})
            evacuation = self._evacuation = Evacuation(data_centre)
            self._record_played(f"{data_centre} is evacuated")
            while asyncio.get_running_loop().time() < evacuation.due_at and not self._ends:
                await asyncio.sleep(0.1)
            await asyncio.sleep(seconds)
            self._evacuation = None
            self._record_played(f"{data_centre} is back")
            await self._store.delete(key)

    async def _play_broken_answers(self) -> None:
        while not self._ends:
            await asyncio.sleep(self._answers_rng.uniform(0.5, 3.0))
            self._breaks_answers = not self._breaks_answers
            self._record_played(f"answers are broken off: {self._breaks_answers}")

    async def _play_crashes(self) -> None:
        number = 0
        while not self._ends:
            await asyncio.sleep(self._rng.uniform(1.0, 3.0))
            number += 1
            self._crashes.culprits = [f"bad{number}"]
            self._record_played(f"bad{number} crashes endpoints")
            await asyncio.sleep(self._rng.uniform(12.0, 20.0))
            self._crashes.culprits = []

    def _judge(self) -> dict[str, object]:
        until = asyncio.get_running_loop().time()
        excess = {name: log.worst_excess(until) for name, log in self.limits.items()}
        over_limits = {name: round(value, 1) for name, value in excess.items() if value > 0.0}
        cold = {name: self._worst_cold_second(name) for name in self.limits}
        beyond, repeats, allowed = self.repeats.worst_window(BOUNDS)
        return {
            "requests": self._asked,
            "statuses": dict(self.statuses),
            "over_limits": over_limits,
            "over_budget": f"{repeats} of {allowed:.0f}" if beyond > 0.0 else "",
            "crashes": len(self._crashes.crashed_at),
            "over_crashes": {
                part: log.later_arrivals
                for part, log in self.parts.items()
                if log.later_arrivals > MAX_LATER_ARRIVALS
            },
            "double_runs": sum(n - self.cut_runs[name] > 1 for name, n in self.runs.items()),
            "false_not_run": sum(self.runs[name] > 0 for name in self.not_run),
            "late_refusals": self.late_refusals,
            "forms": dict(self.forms),
            "false_answers": self.false_answers,
            "lost_answers": self.lost_answers,
            "engines": self._has_engines,
            "counts": dict(self.counts),
            "worst_cold": max(cold.values(), default=0),
            "over_cold": {name: count for name, count in cold.items() if count > COLD_LIMIT},
            "evacuated_arrivals": self.evacuated_arrivals,
            "wrong_priorities": self.wrong_priorities,
            "raised_priorities": self.raised_priorities,
        }

    def _worst_cold_second(self, name: str) -> int:
        """Returns the most requests that an endpoint got in any second while it was cold."""
        log, warm_at = self.limits[name], self._crashes.warm_at.get(name, float("-inf"))
        starts = [at for at in log.arrived_at if at < warm_at]
        return max((log.arrivals(at, min(1.0, warm_at - at)) for at in starts), default=0)


BROKEN = (
    "over_limits",
    "over_budget",
    "over_crashes",
    "double_runs",
    "false_not_run",
    "late_refusals",
    "false_answers",
    "lost_answers",
    "over_cold",
    "evacuated_arrivals",
    "wrong_priorities",
    "raised_priorities",
)
SMALLEST_LOAD_TO_JUDGE = 50


def queued_seconds(process: str) -> float:
    """Returns for how many seconds a process that could run waited for a processor, from /proc."""
    with contextlib.suppress(OSError):
        return int(pathlib.Path(f"/proc/{process}/schedstat").read_text().split()[1]) / 1e9
    return 0.0


def is_safe(name: str) -> bool:
    """Returns whether a request may run more than once, by its name."""
    return name.endswith(("-safe", "-streaming"))


def answer_pieces(name: str) -> list[bytes]:
    """Returns the pieces of the whole answer to a request; of a stream, its events."""
    if not name.endswith("-streaming"):
        return [f"{name} {number},".encode() for number in range(PIECES)]
    return [f"id: {n}\ndata: {name} t{n}\n\n".encode() for n in range(1, PIECES + 1)]


def is_true_answer(name: str, reply: Reply) -> bool:
    """Returns whether a success is the whole answer, or has ended early and shows that it has."""
    pieces = answer_pieces(name)
    if reply.whole:
        return reply.body == b"".join(pieces)
    if not name.endswith("-streaming"):
        return b"".join(pieces).startswith(reply.body)
    return reply.body in [b"".join(pieces[:number]) for number in range(PIECES + 1)]


def broken_promises(figures: dict[str, object]) -> list[str]:
    """Returns the names of the figures that violate a guarantee."""
    broken = [name for name in BROKEN if figures[name]]
    if figures["requests"] < SMALLEST_LOAD_TO_JUDGE or not figures["statuses"].get(200):
        broken.append("served")
    return broken


async def play_soak(
    seed: int, entries: int, seconds: float, per_second: float, kept_folder: str = KEPT_FOLDER
) -> tuple[dict[str, object], list[str]]:
    """Runs one schedule; returns its figures, and what was played.

    Args:
      kept_folder: Where the logs are kept, in a folder for each play; empty to keep none.
    """
    with contextlib.ExitStack() as stack:
        if kept_folder:
            pathlib.Path(kept_folder).mkdir(parents=True, exist_ok=True)
            folder = tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=kept_folder)
        else:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
        soak = EntrySoak(seed, entries, per_second, pathlib.Path(folder))
        figures = await soak.play(seconds)
        soak.write_line("judged", figures=figures)
        return figures, soak.played


def main() -> int:
    """Runs schedules one after the other; returns 1 if one violated a guarantee."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--entries", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--per-second", type=float, default=60.0, help="requests of all callers")
    parser.add_argument("--keep-logs", metavar="DIR", default=KEPT_FOLDER, help="of all processes")
    options = parser.parse_args()
    red = 0
    for seed in range(options.seed, options.seed + options.seeds):
        figures, played = asyncio.run(
            play_soak(seed, options.entries, options.seconds, options.per_second, options.keep_logs)
        )
        broken = broken_promises(figures)
        red += bool(broken)
        if broken:
            print("\n".join(played))
        print(json.dumps({"seed": seed, "broken": broken} | figures), flush=True)
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
