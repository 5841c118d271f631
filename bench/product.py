"""Measures the check of a large fleet's files, and the memory of idle daemons.

The files have the size expected in two years: 1,900 endpoints and the workspaces of 400
entries, with an overlay for each of nine data centres. Memory is read from /proc before and
after the daemons accept the files. The cost of an HTTP request between processes is
measured with the fleet's client and with the library's default address resolver.
"""

import asyncio
import pathlib
import statistics
import sys
import tempfile
import time

import msgspec
import yaml

from wasabidrum.config.bundle import encode_bundle
from wasabidrum.config.fleet_files import FleetFiles, read_fleet_files
from wasabidrum.core.digest import digest_of
from wasabidrum.core.fleet import Fleet

from .cluster import Cluster
from .fetch_cost import measure_fetch
from .fleet_files import make_base
from .process import Process
from .report import Aim, is_quick, print_report

ENDPOINTS = 2000
DATA_CENTRES = 9
WORKSPACES = 100
ROUNDS = 5
MEBIBYTE = 1_048_576
VERSION_BYTES = 300_000
MEMORY_AIM_MB = 32.0
REGIONS = ("recife-a", "fortaleza-a", "salvador-a")


def make_large_base() -> dict[str, object]:
    """Returns the tree of a base file at the size expected in two years."""
    engines = {f"assistant-{n:04}": REGIONS[n % 3] for n in range(ENDPOINTS - 200)}
    services = {f"ticketing-{n:03}": REGIONS[n % 3] for n in range(200)}
    roots = {f"v{n}": digest_of(str(n).encode()) for n in range(1, 21)}
    base = make_base(roots, "v1", engines, services, 64 * MEBIBYTE)
    for n in range(WORKSPACES):
        digest = digest_of(f"key {n}".encode())
        base["workspaces"][f"committee-{n}"] = {"key_digests": [digest], "models": ["summaries"]}
    return base


def time_check(folder: str, base: dict[str, object]) -> tuple[list[float], FleetFiles]:
    """Returns the seconds of reading and checking the files, one value per round."""
    with open(f"{folder}/fleet.yaml", "w", encoding="utf-8") as stream:
        yaml.dump(base, stream, Dumper=yaml.CSafeDumper, sort_keys=False)
    paths = []
    for number in range(DATA_CENTRES):
        paths.append(f"{folder}/dc-{number}.yaml")
        with open(paths[-1], "w", encoding="utf-8") as stream:
            stream.write(f"limits: {{body_bytes: {1_000_000 + number}}}\n")
    seconds = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        files = read_fleet_files(f"{folder}/fleet.yaml", paths)
        seconds.append(time.perf_counter() - began)
    return seconds, files


def time_plain(folder: str) -> float:
    """Returns the seconds of a plain load and conversion, which stop at the first error."""
    began = time.perf_counter()
    with open(f"{folder}/fleet.yaml", "rb") as stream:
        tree = yaml.load(stream, Loader=yaml.CSafeLoader)
    for _ in range(DATA_CENTRES + 1):
        msgspec.convert(tree, Fleet)
    return time.perf_counter() - began


def note_memory(found: dict[str, float], name: str, process: Process) -> None:
    """Records the resident memory of a process, and the part of it that is private."""
    found[name] = process.resident_bytes() / MEBIBYTE
    rollup = pathlib.Path(f"/proc/{process.pid}/smaps_rollup").read_text().splitlines()
    private = sum(int(line.split()[1]) for line in rollup if line.startswith("Private_"))
    found[name + ", private"] = private / 1024


async def measure_memory(files: FleetFiles) -> dict[str, float]:
    """Returns the memory of each role: idle, with the large files, and after ten changes."""
    found = {}
    async with Cluster() as cluster:
        await cluster.start_platform()
        bare = await cluster.launch("bare", "bench.idle_interpreter")
        await bare.read_port("READY")
        note_memory(found, "bare interpreter", bare)
        await cluster.start_sidecar("assistant-0000", REGIONS[0])
        await cluster.start_entry("entry-1", REGIONS[0])
        await cluster.publish_instances()
        await asyncio.sleep(2.0)
        for member in cluster.members.values():
            note_memory(found, f"{member.role} idle", member.daemon)
        base, overlays = files.bundle.base, files.bundle.overlays
        root = await cluster.make_version(total_bytes=VERSION_BYTES, chunk_bytes=VERSION_BYTES)
        base["models"]["summaries"]["versions"]["v1"]["root"] = root
        revision = await cluster.publish(base, overlays)

        async def everywhere() -> bool:
            accounts = [await cluster.status(name) for name in cluster.members]
            return all(account["revision"] == revision for account in accounts)

        found["seconds to in force"] = await cluster.wait_until(everywhere, 30.0, "in force")
        await asyncio.sleep(2.0)
        for member in cluster.members.values():
            note_memory(found, f"{member.role} large", member.daemon)
        for _ in range(10):
            revision = await cluster.publish(base, overlays)
            await cluster.wait_until(everywhere, 30.0, "in force")
        for member in cluster.members.values():
            note_memory(found, f"{member.role} after 10 changes", member.daemon)
    return found


def main() -> int:
    """Runs the bench."""
    with tempfile.TemporaryDirectory() as folder:
        seconds, files = time_check(folder, make_large_base())
        plain = time_plain(folder)
    if files.findings:
        raise ValueError(f"the bench's own files are invalid: {files.findings[0]}")
    memory = asyncio.run(measure_memory(files))
    ours, library = asyncio.run(measure_fetch())
    for name, value in memory.items():
        print(f"{name}: {value:.1f}")
    check = Aim("check of 2,000 endpoints", statistics.median(seconds), "s", 1.0, plain)
    fetch = Aim("one HTTP request, both ends", round(ours, 3), "ms", round(library, 3), library)
    aims = [check, fetch]
    for kind in ("", ", private"):
        bare = memory["bare interpreter" + kind]
        for role in ("entry", "sidecar"):
            for state in ("idle", "large", "after 10 changes"):
                name = f"{role} {state}{kind}"
                value = round(memory[name], 1)
                aims.append(Aim(name, value, "MB", MEMORY_AIM_MB, round(bare, 1)))
    details = {"check seconds": seconds, "memory": memory, "quick": is_quick()}
    details["value bytes"] = len(encode_bundle(files.bundle))
    print_report("product", aims, details)
    return 0


if __name__ == "__main__":
    sys.exit(main())
