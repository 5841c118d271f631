"""Starts entries and sidecars as deployed, on loopback, between small stand-ins.

Used by the scripts of the cases. The store is the project's stand-in; plain workers and clients are
those here. Everything that is sent, answered and run is written to the record of the case.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

from tornado import httpserver, netutil, web

from standins.key_value_store import HOST, FakeStore
from standins.ports import free_ports
from wasabidrum.platform import names

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN = ("-m", "wasabidrum.scripts.daemon", "--deployed")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_SECONDS = 112.0
# Three check-ins.
LAPSE_SECONDS = 3.6
BROKEN, HELD, NOT_RUN = 1, 0, 2
# As DEPLOY.md shows them.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerBoundMs": 5000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 100,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "version_ms": 8000,
    "version_all_ms": 0,
}
STABLE_SECONDS = BOUNDS["stableMs"] / 1000.0
# Offsets from the first port; the first three are for the daemons among themselves.
PORTS, CALLERS, READINESS, CONTROL, WORKER = 7, 3, 4, 5, 6
READY_REQUEST = b"GET /wasabidrum/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / "record.txt"
        self._path.write_text("", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, *words: object) -> None:
        """Writes a line."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {' '.join(map(str, words))}\n")


class Daemon:
    """A process with settings of its own, which can be killed and started again."""

    def __init__(
        self, name: str, host: str, command: tuple[str, ...], settings: dict, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.host = host
        self.command = command
        self.settings = settings
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self._file = folder / f"{name}.json"

    @property
    def alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Starts the process."""
        self._file.write_text(json.dumps(self.settings))
        path = "target/deps" if self.command is RUN else "target/deps:."
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self.log, "ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.command,
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env=kept | {"PYTHONPATH": path, names.SETTINGS_VARIABLE: str(self._file)},
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            await self.process.wait()

    def lines(self, event: str) -> list[dict]:
        """Returns the lines of its log with an event."""
        mark = f'"event":"{event}"'
        text = self.log.read_text(encoding="utf-8", errors="replace") if self.log.exists() else ""
        return [json.loads(line) for line in text.splitlines() if mark in line]


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An engine, and the sidecar beside it."""

    engine: Daemon
    sidecar: Daemon


class Rig:
    """The store, the daemons and the record of one play."""

    def __init__(self, record: Record, folder: pathlib.Path, zones: dict[str, str]) -> None:
        self.record = record
        self.folder = folder
        # How many entries the settings name as seeds, three at most.
        self.seeds = 3
        self.zones = zones
        self.store = FakeStore()
        self.first_port = free_ports(PORTS)
        self.entries: list[Daemon] = []
        self.daemons: list[Daemon] = []
        self.instances: list[Instance] = []
        self.servers: list[httpserver.HTTPServer] = []

    async def publish(self, key: str, value: object, note: str = "") -> float:
        """Writes an item to the store; returns when that was acknowledged."""
        await self.store.put(key, value)
        self.record.write("store acknowledges", key, note)
        return self.record.now()

    def settings(self, name: str, host: str, zone: str, own: dict) -> dict:
        """Returns the settings of a process as the platform writes them."""
        first = self.first_port
        return {
            "nodeName": name,
            "ip": host,
            "zone": zone,
            "region": self.zones[zone],
            "zones": self.zones,
            "internalPorts": [first, first + 2],
            "seeds": [f"127.0.1.{n + 1}:{first + CONTROL}" for n in range(self.seeds)],
            "bootstrap": True,
            "limits": {"cpuShare": 0.8, "cores": 1, "memoryMb": 300, "linkMbps": 1000.0},
            "bounds": BOUNDS,
            "provider": {"address": f"{HOST}:{self.store.port}", "form": "read"},
        } | own

    def add_entry(self, zone: str, **own: object) -> Daemon:
        """Adds an entry that has not started."""
        number, first = len(self.entries) + 1, self.first_port
        host = f"127.0.1.{number}"
        listen = {"front": CALLERS, "ready": READINESS, "control": CONTROL}
        settings = {
            "machineClass": "front",
            "serves": ["front", "control"],
            "listen": {key: f"{host}:{first + offset}" for key, offset in listen.items()},
        }
        name = f"entry-{number}"
        made = self.settings(name, host, zone, settings | own)
        entry = Daemon(name, host, RUN, made, self.folder)
        self.entries.append(entry)
        self.daemons.append(entry)
        return entry

    def add_instance(self, zone: str, service: str, figures: dict, holds: int) -> "Instance":
        """Adds an engine, a stand-in of the project, and its sidecar; neither has started."""
        number, first = len(self.instances) + 1, self.first_port
        host = f"127.0.2.{number}"
        command = ("-m", "standins.platform_engine", "--host", host, "--id", f"i-{number:04x}")
        command += ("--port", str(first + WORKER), "--service", service, "--zone", zone)
        command += ("--store", f"{HOST}:{self.store.port}", "--figures", json.dumps(figures))
        engine = Daemon(
            f"engine-{number}", host, (*command, "--holds", str(holds)), {}, self.folder
        )
        own = {
            "machineClass": "side",
            "serves": ["side"],
            "listen": {},
            "app": f"{host}:{first + WORKER}",
            "service": service,
            "limits": {"cpuShare": 0.645, "cores": 2, "memoryMb": 168, "linkMbps": 4.7},
        }
        name = f"sidecar-{number}"
        sidecar = Daemon(name, host, RUN, self.settings(name, host, zone, own), self.folder)
        instance = Instance(engine, sidecar)
        self.instances.append(instance)
        self.daemons += [engine, sidecar]
        return instance

    async def expire_entries(self) -> None:
        """Removes the entries of engines that are silent for three check-ins, forever."""
        while True:
            await asyncio.sleep(0.2)
            await self.store.expire(LAPSE_SECONDS)

    async def is_ready(self, entry: Daemon) -> bool:
        """Asks an entry, as the platform does, whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                port = self.first_port + READINESS
                reader, writer = await asyncio.open_connection(entry.host, port)
                writer.write(READY_REQUEST)
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Waits until all entries are ready."""
        async with asyncio.timeout(seconds):
            for entry in self.entries:
                while not await self.is_ready(entry):
                    await asyncio.sleep(0.1)
        self.record.write("all entries are ready")

    def serve(self, handlers: list[tuple], host: str, port: int) -> int:
        """Serves some handlers from this process; returns the port."""
        application = web.Application(handlers, log_function=lambda handler: None)
        server = httpserver.HTTPServer(application)
        sockets = netutil.bind_sockets(port, host)
        server.add_sockets(sockets)
        self.servers.append(server)
        return sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Kills all processes and closes all servers."""
        for daemon in self.daemons:
            await daemon.kill()
        for server in self.servers:
            server.stop()
        self.store.stop()


class StorePath:
    """The way of one machine to the store, which can be cut: connections are then refused."""

    def __init__(self, rig: Rig, host: str) -> None:
        self._rig = rig
        self._host = host
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def open(self) -> None:
        """Listens, at the same port each time."""
        self._server = await asyncio.start_server(self._connect, self._host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Resets all connections, and refuses new ones until it is opened again."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there = await asyncio.open_connection(HOST, self._rig.store.port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, there[1]}
        self._writers |= ends
        try:
            await asyncio.gather(pass_on(reader, there[1]), pass_on(there[0], writer))
        finally:
            for end in ends:
                end.close()
            self._writers -= ends


async def pass_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Passes bytes on until the connection ends."""
    with contextlib.suppress(OSError):
        while content := await reader.read(65_536):
            writer.write(content)
            await writer.drain()
        writer.close()


class PlainHandler(web.RequestHandler):
    """Runs a request of a plain worker."""

    def initialize(self, worker: "PlainWorker") -> None:
        """Receives the worker from the route's arguments."""
        self.worker = worker

    async def _serve(self) -> None:
        await self.worker.run(self)

    get = post = _serve


class PlainWorker:
    """A sound worker of a plain service, in the process of the script."""

    def __init__(self, rig: Rig, service: str, number: int, zone: str) -> None:
        self.rig = rig
        self.service = service
        self.id = f"w-{service}-{number}"
        self.host = f"127.0.3.{number}"
        self.zone = zone
        self.work_seconds = 0.015
        self.port = 0
        # The ids of the requests that it has run, in order, with the time at which each began.
        self.runs: list[tuple[str, float]] = []

    async def start(self) -> None:
        """Listens, and registers in the store."""
        self.port = self.rig.serve([(r"/.*", PlainHandler, {"worker": self})], self.host, 0)
        await self.rig.publish(names.ENDPOINT_PREFIX + self.id, self.registration())

    def registration(self) -> dict:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_790_000_000_000,
        }

    async def run(self, handler: web.RequestHandler) -> None:
        """Answers one request."""
        headers = handler.request.headers
        request = headers.get(names.REQUEST_ID, "")
        handler.set_header(names.REQUEST_ID, request)
        if headers.get(names.EXPECT_INSTANCE, self.id) != self.id:
            handler.set_header(names.INSTANCE, self.id)
            handler.set_status(421)
            return
        self.runs.append((request, self.rig.record.now()))
        self.rig.record.write("run", request, "by", self.id, "of", self.service)
        await asyncio.sleep(self.work_seconds)
        handler.set_header(names.SIGNATURE, f"{self.id}.{request}")
        handler.write(b"done " + request.encode())


class Answer:
    """What a client got for a request."""

    def __init__(self, request: str, sent_at: float) -> None:
        self.request = request
        self.sent_at = sent_at
        # Zero where the connection ended, or the client gave up, without an answer.
        self.status = 0
        self.reason = ""
        self.body = b""


async def ask(
    rig: Rig,
    entry: Daemon,
    request: str,
    target: str,
    host: str,
    headers: collections.abc.Mapping[str, str],
    body: bytes | None = None,
    deadline_ms: int = 1500,
) -> Answer:
    """Sends a request on a new connection, as a sound client does, and reads the answer."""
    method = "GET" if body is None else "POST"
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"{names.REQUEST_ID}: {request}"]
    lines += [f"{names.DEADLINE}: {deadline_ms}"]
    lines += [f"{key}: {value}" for key, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "Connection: close"]) + "\r\n\r\n"
    answer = Answer(request, rig.record.now())
    rig.record.write("send", request, method, target, "to", entry.name)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000.0):
            port = rig.first_port + CALLERS
            reader, writer = await asyncio.open_connection(entry.host, port)
            writer.write(head.encode() + (body or b""))
            got = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            content = await reader.read()
            answer.status, answer.body = int(got.split(" ", 2)[1]), content
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        answer.reason = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    rig.record.write("answer", request, answer.status or answer.reason, "from", entry.name)
    return answer


def play(case: collections.abc.Callable, file: str, zones: dict[str, str]) -> int:
    """Runs a case; returns its exit status."""

    async def run() -> int:
        record = Record(pathlib.Path(file).resolve().parent)
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            rig = Rig(record, pathlib.Path(folder), zones)
            record.write("with the disruption" if TROUBLE else "without the disruption")
            try:
                async with asyncio.timeout(LONGEST_SECONDS):
                    await rig.store.start()
                    broken = await case(rig)
            except (Exception, asyncio.CancelledError) as error:
                record.write("the case could not run:", repr(error))
                return NOT_RUN
            finally:
                await rig.stop()
                if kept := os.environ.get("REVIEW_KEEP_LOGS"):
                    for log in pathlib.Path(folder).glob("*.log"):
                        pathlib.Path(kept, log.name).write_bytes(log.read_bytes())
        record.write("THE RULE WAS BROKEN" if broken else "the rule held")
        return BROKEN if broken else HELD

    return asyncio.run(run())
