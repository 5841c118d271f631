"""A fleet of daemons that share one stand-in endpoint, and the cost of its control traffic."""

import asyncio
import dataclasses
import json
import statistics
import time

from .cluster import Cluster, Member
from .fleet_files import make_base

REGIONS = ("rift-a", "nbi-a", "msa-a")
ENTRIES_FRACTION = 1 / 6
STARTS_AT_ONCE = 16
IN_FORCE_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class Costs:
    """The costs in a time window, as means over the daemons of a role unless said otherwise.

    Attributes:
      core_percent: Processor time in percent of one core.
      bytes_per_second: Control bytes sent and received, HTTP/2 frames included.
      resident_mib: Resident memory at the end.
      calls_per_second: Calls of the whole fleet to the configuration service and for the list.
    """

    core_percent: dict[str, float]
    bytes_per_second: dict[str, float]
    messages_per_second: dict[str, float]
    resident_mib: dict[str, float]
    calls_per_second: float


class ControlFleet:
    """Starts the daemons and measures them."""

    def __init__(self, cluster: Cluster, size: int, control: str) -> None:
        self.cluster = cluster
        self.size = size
        self.control = control
        self._services: dict[str, str] = {}

    async def start(self) -> None:
        """Starts and lists all daemons; waits until the first revision is in force on each."""
        await self.cluster.start_platform()
        endpoint = await self.cluster.start_service("shared")
        entries = max(1, round(self.size * ENTRIES_FRACTION))
        gate = asyncio.Semaphore(STARTS_AT_ONCE)

        async def start_one(number: int) -> None:
            region = REGIONS[number % len(REGIONS)]
            async with gate:
                if number < entries:
                    name = f"entry-{number}"
                    await self.cluster.start_entry(name, region, control=self.control)
                    return
                name = f"tally-{number}"
                self._services[name] = region
                await self.cluster.start_sidecar(
                    name, region, "service", endpoint=endpoint, control=self.control
                )

        await asyncio.gather(*(start_one(number) for number in range(self.size)))
        await self.cluster.publish_instances()
        await self.publish_and_time()

    def alive(self) -> list[Member]:
        """Returns the members whose daemon is running."""
        return [m for m in self.cluster.members.values() if m.daemon.alive]

    async def publish_and_time(self) -> list[float]:
        """Publishes a change; returns the seconds until it is in force, one value per daemon."""
        base = make_base({}, "", {}, self._services) | {"models": {}}
        for workspace in base["workspaces"].values():
            workspace["models"] = []
        base["limits"] = {"body_bytes": 100_000 + self.cluster.revision}
        began = time.time()
        revision = await self.cluster.publish(base)
        mark = f'"revision":{revision}'
        missing = {m.name: m for m in self.alive()}
        seconds = []
        ends = time.time() + IN_FORCE_SECONDS
        while missing and time.time() < ends:
            for name, member in list(missing.items()):
                at = find_in_force(member.daemon.text(), mark)
                if at is not None:
                    seconds.append(at - began)
                    del missing[name]
            # The times come from timestamps in the logs, so a coarse polling interval costs no
            # accuracy; frequent reads would slow down the daemons under measurement.
            await asyncio.sleep(0.25)
        return seconds + [IN_FORCE_SECONDS] * len(missing)

    async def readers(self) -> list[Member]:
        """Returns the members that read the configuration service directly."""
        alive = self.alive()
        statuses = await asyncio.gather(*(self.cluster.status(m.name) for m in alive))
        return [m for m, s in zip(alive, statuses, strict=True) if s["reads_service"]]

    async def measure(self, seconds: float, changes_per_second: float = 0.0) -> Costs:
        """Measures a time window, with changes published at a steady rate if one is given."""
        before = await self._read_all()
        began = time.monotonic()
        count = round(seconds * changes_per_second)
        for number in range(count):
            await self.publish_and_time()
            spent = time.monotonic() - began
            await asyncio.sleep(max(0.0, (number + 1) / changes_per_second - spent))
        await asyncio.sleep(max(0.0, seconds - (time.monotonic() - began)))
        after = await self._read_all()
        return self._costs(before, after)

    async def _read_all(self) -> dict[str, object]:
        counters = await self.cluster.counters()
        calls = counters["configuration_calls"] + counters["instances_calls"]
        reading = {"calls": calls, "at": time.monotonic(), "members": {}}
        alive = self.alive()
        reports = await asyncio.gather(
            *(self.cluster.get_json(m.http_port, "/internal/control") for m in alive)
        )
        for member, report in zip(alive, reports, strict=True):
            process = member.daemon
            reading["members"][member.name] = (
                process.processor_seconds(),
                report["traffic"],
                process.resident_bytes(),
            )
        return reading

    def _costs(self, before: dict, after: dict) -> Costs:
        seconds = after["at"] - before["at"]
        core: dict[str, list[float]] = {"entry": [], "sidecar": []}
        sizes: dict[str, list[float]] = {"entry": [], "sidecar": []}
        messages: dict[str, list[float]] = {"entry": [], "sidecar": []}
        resident: dict[str, list[float]] = {"entry": [], "sidecar": []}
        for name, (processor, traffic, memory) in after["members"].items():
            role = self.cluster.members[name].role
            processor_before, traffic_before, _ = before["members"][name]
            grown = {key: traffic[key] - traffic_before[key] for key in traffic}
            core[role].append(100 * (processor - processor_before) / seconds)
            sizes[role].append((grown["bytes_sent"] + grown["bytes_received"]) / seconds)
            messages[role].append((grown["messages_sent"] + grown["messages_received"]) / seconds)
            resident[role].append(memory / 1_048_576)
        return Costs(
            core_percent=means(core),
            bytes_per_second=means(sizes),
            messages_per_second=means(messages),
            resident_mib=means(resident),
            calls_per_second=round((after["calls"] - before["calls"]) / seconds, 2),
        )


def means(by_role: dict[str, list[float]]) -> dict[str, float]:
    """Returns the mean and the largest value of each role."""
    found = {}
    for role, values in by_role.items():
        found[role] = round(statistics.fmean(values), 3) if values else 0.0
        found[f"{role}_most"] = round(max(values), 3) if values else 0.0
    return found


def find_in_force(text: str, mark: str) -> float | None:
    """Returns the time at which a daemon logged that a revision is in force, or None."""
    wanted = int(mark.split(":")[1])
    for line in reversed(text.splitlines()):
        if '"event":"revision_in_force"' in line:
            event = json.loads(line)
            if event["revision"] == wanted:
                return event["t"]
            if event["revision"] < wanted:
                return None
    return None
