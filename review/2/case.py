"""An unreadable entry of another writer in the store, and then a new configuration."""

import asyncio
import sys

from review.rig import BOUNDS, STABLE_SECONDS, TROUBLE, Answer, PlainWorker, Rig, ask, play
from wasabidrum.platform import names

ZONES = {"rift-a": "rift-valley", "nbi-a": "nairobi", "msa-a": "coast"}
HOSTNAME = "tally.example"
KEY = "jnbanfqasnmgkcuyj8pj"
INTERVAL_SECONDS = 0.05
# From the unreadable entry to the new configuration.
GAP_SECONDS = 0.1
# A JSON object whose one field is not closed; about 2 KB, of the 1 MB that a value may have.
UNREADABLE = b'{"labels":' + b"[" * 2000
APPLY_SECONDS = BOUNDS["configApplyMs"] / 1000.0
AFTER_SECONDS, REMOVED_AFTER_SECONDS = 14.0, 7.0


def configuration(version: int, service: str) -> dict:
    """Returns a configuration whose routes lead to a service."""
    common = {"host": HOSTNAME, "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2}
    routes = [
        {"name": "charge", "prefix": "/charge/", "type": "unsafe", "maxAttempts": 1},
        {
            "name": "balance",
            "prefix": "/balance/",
            "type": "safe",
            "maxAttempts": 2,
            "public": True,
        },
    ]
    services = [
        {"name": name, "healthPath": "/healthz", "maxConnections": 96}
        for name in ("tally", "tally-new")
    ]
    return {
        "version": version,
        "routes": [common | route | {"service": service} for route in routes],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "shop-1", "apiKeys": [KEY]}],
    }


async def send_all(rig: Rig, answers: list[Answer]) -> None:
    """Sends charges and balance reads to all entries in turn, until cancelled."""
    number = 0
    running: set[asyncio.Task] = set()

    async def send(request: str, entry_number: int, charge: bool) -> None:
        target = f"/charge/{request}" if charge else f"/balance/{request}"
        headers = {"Authorization": f"Bearer {KEY}"} if charge else {}
        body = b"copies=3" if charge else None
        entry = rig.entries[entry_number]
        answers.append(await ask(rig, entry, request, target, HOSTNAME, headers, body))

    try:
        while True:
            number += 1
            work = send(f"{number:08x}", number % len(rig.entries), bool(number % 2))
            task = asyncio.ensure_future(work)
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(INTERVAL_SECONDS)
    finally:
        await asyncio.gather(*running, return_exceptions=True)


async def case(rig: Rig) -> bool:
    """Returns whether requests ran by the old configuration after the time for a new one."""
    zones = list(ZONES)
    workers = [
        PlainWorker(rig, service, 10 * place + number, zones[number % 3])
        for place, service in enumerate(("tally", "tally-new"), 1)
        for number in range(2)
    ]
    await rig.publish(names.CONFIGURATION_KEY, configuration(3, "tally"), "version 3, to tally")
    for worker in workers:
        await worker.start()
    for zone in zones:
        await rig.add_entry(zone).start()
    await rig.wait_until_ready()
    answers: list[Answer] = []
    sending = asyncio.ensure_future(send_all(rig, answers))
    # All entries are in touch from here on.
    await asyncio.sleep(STABLE_SECONDS + 2.0)
    if TROUBLE:
        await rig.publish("servers/x-1", UNREADABLE, "an unreadable entry")
    await asyncio.sleep(GAP_SECONDS)
    content = configuration(7, "tally-new")
    acknowledged = await rig.publish(names.CONFIGURATION_KEY, content, "version 7, to tally-new")
    await asyncio.sleep(REMOVED_AFTER_SECONDS)
    if TROUBLE:
        await rig.store.delete("servers/x-1")
        rig.record.write("the unreadable entry is removed again")
    await asyncio.sleep(AFTER_SECONDS - REMOVED_AFTER_SECONDS)
    ready = [await rig.is_ready(entry) for entry in rig.entries]
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    due = acknowledged + APPLY_SECONDS
    sent = {answer.request: answer.sent_at for answer in answers}
    old = {request for worker in workers[:2] for request, _ in worker.runs}
    late = [a for a in answers if a.sent_at > due and a.request in old]
    after = [a for a in answers if a.sent_at > due]
    served = [a for a in after if a.status == 200 and a.request not in old]
    rig.record.write("sent in all", len(sent), "- answered 200 before the change:", end(answers))
    rig.record.write("sent later than configApplyMs after the acknowledgement:", len(after))
    rig.record.write("of these run by the old service:", len(late))
    rig.record.write("of these answered by the new service:", len(served))
    rig.record.write("entries ready at the end:", ready)
    for entry in rig.entries:
        failed = [(line["task"], line["reason"][:90]) for line in entry.lines("task_failed")]
        rig.record.write(entry.name, "runs:", entry.alive, "tasks that failed:", failed)
    return bool(late)


def end(answers: list[Answer]) -> int:
    """Returns how many requests were served in all."""
    return sum(answer.status == 200 for answer in answers)


if __name__ == "__main__":
    sys.exit(play(case, __file__, ZONES))
