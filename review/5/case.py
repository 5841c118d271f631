"""One entry is cut off from the store, and a worker leaves that never reports that it drains."""

import asyncio
import sys

from review.rig import (
    BOUNDS,
    STABLE_SECONDS,
    TROUBLE,
    Answer,
    PlainWorker,
    Rig,
    StorePath,
    ask,
    play,
)
from standins.key_value_store import HOST
from wasabidrum.platform import names

ZONES = {"reykjavik-a": "reykjavik"}
HOSTNAME = "tally.example"
INTERVAL_SECONDS = 0.0125
# The third entry of a zone follows one of the first two, which read the store.
ENTRIES, WORKERS, ROUNDS = 3, 14, 11
# The entries that requests go to, in turn.
TURNS = (2, 0, 2, 1)
CUT_SECONDS = 2.5
PAUSE_SECONDS = 5.5
REMOVED_AFTER_SECONDS = 0.1
DRAIN_SECONDS = BOUNDS["drainMs"] / 1000.0
# How long a worker goes on serving after its entry was removed.
SERVES_ON_SECONDS = 6.0


def configuration() -> dict:
    """Returns a configuration with a route to a plain service."""
    common = {"host": HOSTNAME, "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2}
    routes = [
        {"name": "charge", "prefix": "/charge/", "type": "unsafe", "maxAttempts": 1},
        {"name": "balance", "prefix": "/balance/", "type": "safe", "maxAttempts": 2},
    ]
    services = [{"name": "tally", "healthPath": "/healthz", "maxConnections": 96}]
    made = [common | route | {"service": "tally"} for route in routes]
    return {"version": 3, "routes": made, "services": services}


async def send_all(rig: Rig, answers: dict[str, tuple[Answer, str]]) -> None:
    """Sends charges and balance reads to all entries in turn, until cancelled."""
    running: set[asyncio.Task] = set()

    async def send(request: str, number: int) -> None:
        entry, charge = rig.entries[TURNS[number % 4]], number // 4 % 2
        target = f"/charge/{request}" if charge else f"/balance/{request}"
        answer = await ask(rig, entry, request, target, HOSTNAME, {}, b"c=3" if charge else None)
        answers[request] = answer, entry.name

    number = 0
    try:
        while True:
            number += 1
            task = asyncio.ensure_future(send(f"{number:08x}", number))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(INTERVAL_SECONDS)
    finally:
        await asyncio.gather(*running, return_exceptions=True)


async def case(rig: Rig) -> bool:
    """Returns whether entries in touch sent to workers that were gone for longer than drainMs."""
    await rig.publish(names.CONFIGURATION_KEY, configuration(), "version 3")
    workers = [PlainWorker(rig, "tally", number + 1, "reykjavik-a") for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
    path = StorePath(rig, HOST)
    await path.open()
    for number in range(ENTRIES):
        address = path.port if not number else rig.store.port
        provider = {"address": f"{HOST}:{address}", "form": "read"}
        await rig.add_entry("reykjavik-a", provider=provider).start()
    await rig.wait_until_ready()
    answers: dict[str, tuple[Answer, str]] = {}
    sending = asyncio.ensure_future(send_all(rig, answers))
    await asyncio.sleep(STABLE_SECONDS + 2.0)
    removed: list[tuple[PlainWorker, float]] = []
    for worker in workers[:ROUNDS]:
        if TROUBLE:
            rig.record.write("entry-1 is cut off from the store")
            path.cut()
        await asyncio.sleep(REMOVED_AFTER_SECONDS)
        await rig.store.delete(names.ENDPOINT_PREFIX + worker.id)
        removed.append((worker, rig.record.now()))
        rig.record.write("store acknowledges the removal of", worker.id)
        await asyncio.sleep(CUT_SECONDS)
        if TROUBLE:
            await path.open()
            rig.record.write("entry-1 reaches the store again")
        await asyncio.sleep(PAUSE_SECONDS)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    late = 0
    for worker, at in removed:
        due = at + DRAIN_SECONDS
        # Entry-1 is not in touch.
        arrived = [(t - at, request) for request, t in worker.runs if t > due]
        counted = [each for each in arrived if answers[each[1]][1] != "entry-1"]
        late += len(counted)
        last = f"the last {max(counted)[0]:.3f} s after" if counted else ""
        rig.record.write(
            worker.id, "got", len(counted), "later than drainMs from entries in touch", last
        )
    rig.record.write("requests:", len(answers), "late in all:", late)
    return late > 0


if __name__ == "__main__":
    sys.exit(play(case, __file__, ZONES))
