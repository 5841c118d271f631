"""What a decision and a streamed chunk cost the entry in processor time."""

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
from wasabidrum.entry.traffic import Traffic
from wasabidrum.entry.work_item import Priority, WorkItem
from wasabidrum.observe.event_log import EventLog

from .load_fleet import OURS, LoadFleet

DECISIONS = 4000
STREAMS = 4
STREAM_TOKENS = 150
REPETITIONS = 2


class StaticTable:
    """A table of some endpoints that never changes."""

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
    """Returns microseconds to admit, place and end one request before some endpoints."""
    log = EventLog(logbook.Logger("bench", level=logbook.CRITICAL), "bench")
    traffic = Traffic(StaticTable(number), log, None, "r", "r-1", random.Random(1))
    deadline = asyncio.get_running_loop().time() + 1000.0
    prompt = "word " * 80
    spent = []
    for index in range(DECISIONS):
        item = WorkItem(
            f"r{index}", "w", Priority.GENERATE, deadline, True, "m", "", f"{prompt}{index}", 10
        )
        began = time.perf_counter()
        permit = await traffic.admit(item)
        placement = traffic.place(item)
        placement.progressed(10)
        placement.ended("")
        permit.release()
        spent.append(time.perf_counter() - began)
    # The table is read ten times a second at most; the median decision does not read it.
    spent.sort()
    return 1e6 * spent[len(spent) // 2]


async def measure_decisions() -> dict[str, float]:
    """Returns microseconds a decision by the number of endpoints."""
    return {str(number): await decide(number) for number in (10, 100, 1900)}


async def stream(client: httpclient.AsyncHTTPClient, url: str, body: dict[str, object]) -> int:
    """Reads one stream to its end; returns how many tokens came."""
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
    """Returns microseconds of processor time a chunk, of an entry and of the bare relay."""
    engine = fleet.engines[0]
    url = f"http://127.0.0.1:{engine.endpoint_port}/v1/generate"
    relay = await fleet.cluster.launch("bare-relay", "bench.bare_relay", "--url", url)
    relay_url = f"http://127.0.0.1:{await relay.read_port()}/"
    entry = fleet.entries[OURS][0]
    entry_url = f"http://127.0.0.1:{entry.caller_port}/v1/completions"
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=100)
    spent = {"entry": 0.0, "bare": 0.0}
    chunks = {"entry": 0, "bare": 0}
    for _ in range(REPETITIONS):
        for name, process in (("entry", entry.daemon), ("bare", relay)):
            before = process.processor_seconds()
            asked = []
            for number in range(STREAMS):
                body = {"prompt": f"chunk {number}", "max_tokens": STREAM_TOKENS}
                if name == "entry":
                    asked.append(stream(client, entry_url, body | given_entry()))
                else:
                    given = {"request_id": f"bare-{number}-{time.time_ns()}"}
                    asked.append(stream(client, relay_url, body | given))
            chunks[name] += sum(await asyncio.gather(*asked))
            spent[name] += process.processor_seconds() - before
    client.close()
    return {
        "entry_us": 1e6 * spent["entry"] / max(1, chunks["entry"]),
        "bare_us": 1e6 * spent["bare"] / max(1, chunks["bare"]),
        "entry_chunks": chunks["entry"],
        "bare_chunks": chunks["bare"],
    }


def given_entry() -> dict[str, object]:
    """Returns what an entry needs to know besides."""
    return {"model": "summaries", "stream": True}
