"""Launches deployed entries, and sidecars with engines, as processes on addresses of their own."""

import asyncio
import json
import os
import pathlib
import signal
import sys

from standins.key_value_store import HOST, FakeStore, StoreView
from wasabidrum.config.deployment import Bounds
from wasabidrum.platform import names

from .process import ROOT, Process

ZONES = {"z1": "r1", "z2": "r2", "z3": "r3"}
SERVICE = "text"
MODEL = "m1"
SIDECAR_LINK_MBIT = 4.7
INTERNAL_PORTS = 3
# Offsets from the first port on every address.
CALLERS, READINESS, CONTROL, ENGINE = 3, 4, 5, 6
PORTS_OF_ONE = 7
GRACE_SECONDS = 4.0


class Daemon:
    """A process with a fixed address that can be killed, suspended and started again.

    Attributes:
      process: The running process; None before its first start.
      view: The address at which it reaches the store, if that is its own.
      settings: What it gets as the platform's settings at each start, if it reads any.
    """

    def __init__(
        self,
        name: str,
        host: str,
        command: list[str],
        ready_event: str,
        folder: pathlib.Path,
        root: pathlib.Path = ROOT,
    ) -> None:
        """Creates a process that has not started.

        Args:
          command: The module to run, and its arguments.
          ready_event: The line by which it tells that it listens.
          root: The checkout that it runs from.
        """
        self.name = name
        self.host = host
        self.process: Process | None = None
        self.view: StoreView | None = None
        self.settings: dict[str, object] = {}
        self._command = command
        self._ready_event = ready_event
        self._output = folder / f"{name}.log"
        self._settings_file = folder / f"{name}.json"
        self._root = root

    @property
    def alive(self) -> bool:
        """Whether its process runs, or is suspended."""
        return self.process is not None and self.process.alive

    async def start(self) -> None:
        """Starts the process."""
        self._settings_file.write_text(json.dumps(self.settings))
        with open(self._output, "ab") as stream:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._command,
                cwd=self._root,
                stdout=stream,
                stderr=stream,
                env=os.environ | {names.SETTINGS_VARIABLE: str(self._settings_file)},
            )
        self.process = Process(self.name, process, self._output)

    async def wait_until_ready(self) -> None:
        """Waits until it listens."""
        await self.process.read_event(self._ready_event)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if it runs."""
        if self.process is not None:
            self.process.send(number)

    async def kill(self) -> None:
        """Kills it, also if it is suspended."""
        if self.process is not None:
            await self.process.kill()

    async def stop(self) -> None:
        """Asks it to end, and kills it after the grace period."""
        if self.process is not None:
            self.process.send(signal.SIGTERM)
            await self.process.wait(GRACE_SECONDS)
            await self.process.kill()

    def forget_weights(self) -> None:
        """Starts it without weights from now on, if it is an engine."""
        self._command[self._command.index("--holds") + 1] = "0"

    def lines(self, event: str) -> list[dict]:
        """Returns its log's lines of an event, decoded."""
        mark = f'"event":"{event}"'
        return [json.loads(line) for line in self.text().splitlines() if mark in line]

    def text(self) -> str:
        """Returns everything that it has written."""
        return self._output.read_text(encoding="utf-8", errors="replace")


class Instance:
    """An engine and the sidecar beside it.

    Attributes:
      id: The id by which the engine registers.
    """

    def __init__(self, engine: Daemon, sidecar: Daemon, engine_id: str) -> None:
        self.engine = engine
        self.sidecar = sidecar
        self.id = engine_id


class DeployedFleet:
    """All processes of one run, and the store that they read."""

    def __init__(
        self,
        store: FakeStore,
        folder: pathlib.Path,
        first_port: int,
        bounds: Bounds,
        root: pathlib.Path = ROOT,
        limits: dict[str, float] | None = None,
    ) -> None:
        """Creates a fleet without processes.

        Args:
          root: The checkout that entries and sidecars run from.
          limits: What the platform states of each instance's resources, beside the usual.
        """
        self._limits = limits or {}
        self._store = store
        self._folder = folder
        self._first_port = first_port
        self._bounds = bounds
        self._root = root
        self.entries: list[Daemon] = []
        self.instances: list[Instance] = []

    @property
    def daemons(self) -> list[Daemon]:
        """All processes."""
        beside = (daemon for each in self.instances for daemon in (each.engine, each.sidecar))
        return [*self.entries, *beside]

    def address_of(self, entry: Daemon) -> tuple[str, int]:
        """Returns where an entry listens for callers."""
        return entry.host, self._first_port + CALLERS

    def add_entry(self, zone: str) -> Daemon:
        """Adds an entry that has not started."""
        number = len(self.entries) + 1
        host = f"127.0.1.{number}"
        first = self._first_port
        settings = {
            "serves": ["front", "control"],
            "machineClass": "front",
            "limits": self._limits,
            "listen": {
                "front": f"{host}:{first + CALLERS}",
                "ready": f"{host}:{first + READINESS}",
                "control": f"{host}:{first + CONTROL}",
            },
        }
        entry = self._make_daemon(f"entry-{number}", host, zone, settings)
        self.entries.append(entry)
        return entry

    def add_instance(self, zone: str, figures: dict, holds: int) -> Instance:
        """Adds an engine, which holds a version, and its sidecar; neither has started."""
        number = len(self.instances) + 1
        host = f"127.0.2.{number}"
        engine_id = f"i-{number:04x}"
        settings = {
            "serves": ["side"],
            "machineClass": "side",
            "app": f"{host}:{self._first_port + ENGINE}",
            "service": SERVICE,
            "limits": {"linkMbps": SIDECAR_LINK_MBIT, "memoryMb": 168} | self._limits,
        }
        sidecar = self._make_daemon(f"sidecar-{number}", host, zone, settings)
        command = ["standins.platform_engine", "--host", host, "--id", engine_id]
        command += ["--port", str(self._first_port + ENGINE), "--service", SERVICE]
        command += ["--zone", zone, "--store", f"{HOST}:{self._store.port}"]
        command += ["--figures", json.dumps(figures), "--holds", str(holds)]
        engine = Daemon(f"engine-{number}", host, command, "started", self._folder)
        instance = Instance(engine, sidecar, engine_id)
        self.instances.append(instance)
        return instance

    async def start(self) -> None:
        """Starts all processes, the whole system for the first time."""
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        for daemon in self.daemons:
            await daemon.wait_until_ready()
            daemon.settings["bootstrap"] = False

    async def stop(self) -> None:
        """Kills all processes."""
        for daemon in self.daemons:
            await daemon.kill()
            if daemon.view is not None:
                daemon.view.stop()

    def _make_daemon(self, name: str, host: str, zone: str, settings: dict) -> Daemon:
        command = ["wasabidrum.scripts.daemon", "--deployed"]
        daemon = Daemon(name, host, command, "daemon_started", self._folder, self._root)
        daemon.view = StoreView(self._store)
        first, bounds = self._first_port, self._bounds
        daemon.settings = settings | {
            "nodeName": name,
            "ip": host,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "provider": {"address": f"{HOST}:{daemon.view.port}"},
            "internalPorts": [first, first + INTERNAL_PORTS - 1],
            "seeds": [f"127.0.1.{number}:{first + CONTROL}" for number in (1, 2, 3)],
            "bounds": {
                "version_ms": bounds.version * 1000.0,
                "stableMs": bounds.settling * 1000.0,
                "graceS": GRACE_SECONDS,
            },
            "bootstrap": True,
        }
        return daemon
