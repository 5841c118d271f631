"""Runs a small fleet of real processes on loopback: stand-ins, sidecars and entries."""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import shutil
import signal
import tempfile
import time

import yaml
from tornado import httpclient

from wasabidrum.config.bundle import Bundle, encode_bundle

from .process import Process, launch

STOP_SECONDS = 20.0
# Names the folder to which the logs of each run are copied; when unset, they are deleted
# with the run's temporary folder.
KEPT_FOLDER_VARIABLE = "WASABIDRUM_KEEP_LOGS"


@dataclasses.dataclass(slots=True)
class Member:
    """A daemon, its endpoint process if it has one, and the ports on which both listen."""

    name: str
    role: str
    region: str
    data_centre: str
    daemon: Process
    http_port: int
    peer_port: int = 0
    caller_port: int = 0
    endpoint: Process | None = None
    endpoint_port: int = 0
    kind: str = ""
    state: str = "live"
    proxy_port: int = 0
    proxy_control_port: int = 0

    @property
    def listed_port(self) -> int:
        """The HTTP port in the platform's instance list: the proxy's port if there is a proxy."""
        return self.proxy_port or self.http_port


class Cluster:
    """Launches and kills the processes, and publishes configuration as an operator would."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="wasabidrum-")
        self._numbers = itertools.count(1)
        self._processes: list[Process] = []
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=1000, defaults={"request_timeout": 120.0}
        )
        self.members: dict[str, Member] = {}
        self.platform: Process | None = None
        self.platform_port = 0
        self.revision = 0
        self.entry_module = "wasabidrum.scripts.daemon"

    @property
    def folder(self) -> pathlib.Path:
        """The temporary folder for settings and output files of this run."""
        return pathlib.Path(self._folder.name)

    async def __aenter__(self) -> "Cluster":
        return self

    async def __aexit__(self, *failure: object) -> None:
        for process in self._processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        await asyncio.gather(*(process.wait(STOP_SECONDS) for process in self._processes))
        self.client.close()
        if kept := os.environ.get(KEPT_FOLDER_VARIABLE):
            shutil.copytree(self.folder, pathlib.Path(kept) / self.folder.name)
        self._folder.cleanup()

    async def launch(self, name: str, *arguments: str) -> Process:
        """Starts a process that is killed when this cluster is closed."""
        output = self.folder / f"{name}-{next(self._numbers)}.log"
        process = await launch(name, list(arguments), output)
        self._processes.append(process)
        return process

    async def start_platform(self, *options: str) -> None:
        """Starts the platform's stand-in."""
        self.platform = await self.launch("platform", "standins.platform", *options)
        self.platform_port = await self.platform.read_port()

    async def start_engine(self, name: str, *options: str) -> tuple[Process, int]:
        """Starts an engine's stand-in."""
        process = await self.launch(f"engine-{name}", "standins.engine", *options)
        return process, await process.read_port()

    async def start_service(self, name: str, *options: str) -> tuple[Process, int]:
        """Starts a service stand-in whose journal file survives a crash of the process."""
        journal = str(self.folder / f"{name}.journal")
        arguments = ("--name", name, "--journal", journal, *options)
        process = await self.launch(f"service-{name}", "standins.service", *arguments)
        return process, await process.read_port()

    async def start_proxy(self, target_port: int, mbit: float = 0.0) -> tuple[Process, int, int]:
        """Starts a fault-injecting proxy; returns it, its port and its control port."""
        arguments = ("--target-port", str(target_port), "--mbit", str(mbit))
        process = await self.launch("proxy", "standins.fault_proxy", *arguments)
        return process, await process.read_port(), await process.read_port("CONTROL")

    async def insert_proxy(self, member: Member) -> None:
        """Starts a fault-injecting proxy for a member's HTTP port and lists its port instead."""
        _, member.proxy_port, member.proxy_control_port = await self.start_proxy(member.http_port)

    async def start_sidecar(
        self,
        name: str,
        region: str,
        kind: str = "engine",
        options: tuple[str, ...] = (),
        endpoint: tuple[Process | None, int] | None = None,
        **settings: object,
    ) -> Member:
        """Starts a sidecar, and an endpoint for it unless one is given."""
        if endpoint is None:
            start = self.start_engine if kind == "engine" else self.start_service
            endpoint = await start(name, *options)
        url = f"http://127.0.0.1:{endpoint[1]}"
        settings = {"endpoint": {"kind": kind, "url": url}} | settings
        member = await self._start_daemon(name, "sidecar", region, settings)
        member.endpoint, member.endpoint_port, member.kind = *endpoint, kind
        return member

    async def start_entry(self, name: str, region: str, **settings: object) -> Member:
        """Starts an entry."""
        return await self._start_daemon(name, "entry", region, settings)

    async def _start_daemon(
        self, name: str, role: str, region: str, settings: dict[str, object]
    ) -> Member:
        platform = f"http://127.0.0.1:{self.platform_port}"
        whole = {
            "name": name,
            "role": role,
            "site": region,
            "region": region,
            "data_centre": f"{region}-1",
            "platform": {
                "configuration": f"{platform}/configuration/fleet",
                "instances": f"{platform}/instances",
                "origin": f"{platform}/origin",
            },
        } | settings
        path = self.folder / f"{name}-{next(self._numbers)}.yaml"
        path.write_text(yaml.safe_dump(whole), encoding="utf-8")
        module = self.entry_module if role == "entry" else "wasabidrum.scripts.daemon"
        daemon = await self.launch(name, module, "--settings", str(path))
        started = await daemon.read_event("daemon_started")
        member = Member(
            name=name,
            role=role,
            region=region,
            data_centre=whole["data_centre"],
            daemon=daemon,
            http_port=started["port"],
            peer_port=started.get("peer_port", 0),
            caller_port=started.get("caller_port", 0),
        )
        self.members[name] = member
        return member

    async def publish_instances(self, members: list[Member] | None = None) -> None:
        """Publishes the platform's instance list: the given members, or all by default."""
        listed = list(self.members.values()) if members is None else members
        instances = [
            {
                "name": member.name,
                "role": member.role,
                "region": member.region,
                "data_centre": member.data_centre,
                "host": "127.0.0.1",
                "http_port": member.listed_port,
                "peer_port": member.peer_port,
                "state": member.state,
            }
            for member in listed
        ]
        await self.control("instances", {"as_of": time.time(), "instances": instances})

    async def publish(
        self, base: dict[str, object], overlays: dict[str, object] | None = None
    ) -> int:
        """Publishes a configuration as the next revision, and returns its number."""
        self.revision += 1
        content = encode_bundle(Bundle(1, base, overlays or {}))
        await self._put(f"/control/value/{self.revision}", content)
        return self.revision

    async def make_version(self, **wanted: object) -> str:
        """Creates a version of generated bytes at the origin; returns its root digest."""
        return (await self.control("version", wanted)).decode()

    async def control(self, what: str, body: object) -> bytes:
        """Sends a control request to the platform stand-in."""
        return await self._put(f"/control/{what}", json.dumps(body).encode())

    async def counters(self, port: int | None = None) -> dict[str, object]:
        """Reads the counters of the stand-in at a port, or of the platform by default."""
        return await self.get_json(port or self.platform_port, "/control/counters")

    async def put_faults(self, port: int, **faults: object) -> None:
        """Sets the faults that an engine or service stand-in injects."""
        await self._put("/control/faults", json.dumps(faults).encode(), port)

    async def put_link_faults(self, control_port: int, **faults: object) -> dict[str, int]:
        """Sets the faults that a proxy injects; returns the bytes that it has carried so far."""
        reader, writer = await asyncio.open_connection("127.0.0.1", control_port)
        writer.write(json.dumps(faults).encode() + b"\n")
        carried = json.loads(await reader.readline())
        writer.close()
        return carried

    async def get_json(self, port: int, path: str) -> dict[str, object]:
        """Reads a JSON answer from a process on loopback."""
        response = await self.client.fetch(f"http://127.0.0.1:{port}{path}")
        return json.loads(response.body)

    async def status(self, name: str) -> dict[str, object]:
        """Reads a daemon's status page."""
        return await self.get_json(self.members[name].http_port, "/internal/status")

    async def wait_until(self, holds, seconds: float, what: str) -> float:
        """Polls an asynchronous condition until it is true; returns the seconds that it took.

        Raises:
          TimeoutError: The condition was not true within the given seconds.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() - began < seconds:
            try:
                if await holds():
                    return loop.time() - began
            except (OSError, httpclient.HTTPError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"after {seconds} s: {what}")

    async def _put(self, path: str, body: bytes, port: int | None = None) -> bytes:
        url = f"http://127.0.0.1:{port or self.platform_port}{path}"
        return (await self.client.fetch(url, method="PUT", body=body)).body
