"""Measures the CPU time that a decision and a streamed chunk cost an entry."""

import asyncio
import json
import random
import time

import logbook
from tornado import httpclient

from wasabidrum.core.instance import Instance, InstanceRole
from wasabidrum.core.load import Load
from wasabidrum.core.status import Status
from wasabidrum.entry.endpoint_table import EndpointView
from wasabidrum.entry.request_scheduler import RequestScheduler
from wasabidrum.entry.work_item import Priority, WorkItem
from wasabidrum.observe.event_log import EventLog

from .load_fleet import OURS, LoadFleet

DECISIONS = 4000
STREAMS = 12
STREAM_TOKENS = 300
IDLE_SECONDS = 1.5


class StaticTable:
    """An endpoint table with a fixed set of endpoints."""

    def __init__(self, number: int) -> None:
        self.views = []
        for index in range(number):
            name = f"worker-{index}"
            instance = Instance(name, InstanceRole.SIDECAR, "r", "r-1", "127.0.0.1", 1 + index, 0)
            status = Status(
                name, InstanceRole.SIDECAR, "1", model="m", version="v", load=Load(slots=8)
            )
            self.views.append(EndpointView(instance, status))

    def candidates(self, model: str, service: str) -> list[EndpointView]:
        """See EndpointTable."""
        return self.views


async def decide(number: int) -> float:
    """Returns the median microseconds to admit, place and end a request over some endpoints."""
    log = EventLog(logbook.Logger("bench", level=logbook.CRITICAL), "bench")
    scheduler = RequestScheduler(StaticTable(number), log, None, "r", "r-1", random.Random(1))
    deadline = asyncio.get_running_loop().time() + 1000.0
    prompt = "word " * 80
    spent = []
    for index in range(DECISIONS):
        item = WorkItem(
            f"r{index}", "w", Priority.GENERATE, deadline, True, "m", "", f"{prompt}{index}", 10
        )
        began = time.perf_counter()
        permit = await scheduler.admit(item)
        placement = scheduler.place(item)
        placement.record_tokens(10)
        placement.end("")
        permit.release()
        spent.append(time.perf_counter() - began)
    # The scheduler reads the table at most ten times a second, so the median decision is one
    # that does not read it.
    spent.sort()
    return 1e6 * spent[len(spent) // 2]


async def measure_decisions() -> dict[str, float]:
    """Returns the microseconds per decision by the number of endpoints."""
    return {str(number): await decide(number) for number in (10, 100, 1900)}


async def stream(client: httpclient.AsyncHTTPClient, url: str, body: dict[str, object]) -> int:
    """Reads one stream to its end; returns the number of events."""
    parts: list[bytes] = []
    request = httpclient.HTTPRequest(
        url,
        method="POST",
        body=json.dumps(body),
        headers={"Authorization": "Bearer w0-key"},
        streaming_callback=parts.append,
        request_timeout=60.0,
    )
    await client.fetch(request)
    return b"".join(parts).count(b"data: ")


async def measure_chunks(fleet: LoadFleet) -> dict[str, float]:
    """Returns the CPU time per chunk in microseconds, of an entry and of the bare relay.

    The idle CPU time of each process is subtracted, so that control traffic is not counted.
    """
    ports = [engine.endpoint_port for engine in fleet.engines]
    urls = [f"http://127.0.0.1:{port}/v1/generate" for port in ports]
    relay = await fleet.cluster.launch("bare-relay", "bench.bare_relay", "--urls", *urls)
    relay_url = f"http://127.0.0.1:{await relay.read_port()}/"
    entry = fleet.entries[OURS][0]
    entry_url = f"http://127.0.0.1:{entry.caller_port}/v1/completions"
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=100)
    found = {}
    for name, process, url in (("bare", relay, relay_url), ("entry", entry.daemon, entry_url)):
        bodies = []
        for number in range(STREAMS):
            body: dict[str, object] = {"prompt": f"chunk {number}", "max_tokens": STREAM_TOKENS}
            body |= {"request_id": f"bare-{number}", "model": "summaries", "stream": True}
            bodies.append(body)
        # Short requests first raise the concurrency limits of an entry that has just started.
        short = [body | {"max_tokens": 5} for body in bodies]
        for body in short:
            await stream(client, url, body)
        before = process.processor_seconds()
        await asyncio.sleep(IDLE_SECONDS)
        idle = (process.processor_seconds() - before) / IDLE_SECONDS
        before, began = process.processor_seconds(), time.monotonic()
        chunks = sum(await asyncio.gather(*(stream(client, url, body) for body in bodies)))
        spent = process.processor_seconds() - before - idle * (time.monotonic() - began)
        found[f"{name}_us"] = 1e6 * spent / max(1, chunks)
        found[f"{name}_chunks"] = chunks
        found[f"{name}_idle_cores"] = idle
    client.close()
    return found
