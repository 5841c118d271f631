"""All machines lose power, and the engines are back a second after the rest."""

import asyncio
import sys

from review.rig import BOUNDS, STABLE_SECONDS, TROUBLE, Answer, Rig, ask, play
from standins.key_value_store import HOST
from standins.rate_limiter import make_limiter_mbit
from standins.weights_origin import OriginHandler, WeightsOrigin
from wasabidrum.platform import names

ZONES = {"rift-a": "rift-valley", "rift-b": "rift-valley", "rift-c": "rift-valley"}
ENTRIES, ENGINES = 3, 6
HOSTNAME, SERVICE, MODEL = "text.example", "summaries", "m0"
PIECES, PIECE_BYTES, ORIGIN_MBIT = 48, 49_152, 15.0
FIGURES = {
    "slots": 16,
    "stride": 5,
    "step_ms": 9.27,
    "per_seq_ms": 0.0232,
    "context_per_k": 0.0322,
    "read_per_s": 20700.0,
    "pairs_per_m": 1.18,
    "chunk": 2048,
    "kvCapacityTokens": 317000,
    "usual": {"prompt": 979, "answer": 92},
    "layers": 16,
    "chunks": PIECES,
    "chunkBytes": PIECE_BYTES,
    "models": [{"name": MODEL}],
}
INTERVAL_SECONDS = 0.2
DOWN_SECONDS = 1.2
# A model worker takes longer to start than the processes of the system.
ENGINE_START_SECONDS = 1.2
RECOVERY_SECONDS = float(BOUNDS["recoveryS"])
JUDGED_SECONDS = 40.0
DEADLINE_MS = 6060


def configuration(origin: str) -> dict:
    """Returns a configuration with a route to the engines, and the origin of their weights."""
    route = {
        "name": "day-summary",
        "host": HOSTNAME,
        "prefix": "/streaming/",
        "type": "streaming",
        "timeoutMs": 6000,
        "targetLatencyMs": 505,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "public": True,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 400,
    }
    services = [
        {"name": SERVICE, "healthPath": "/healthz", "maxConnections": 354, "engine": FIGURES},
        {"name": "shopdesk", "origin": origin, "zone": "rift-a", "linkMbps": ORIGIN_MBIT},
    ]
    return {"version": 3, "routes": [route], "services": services}


async def send_all(rig: Rig, answers: list[Answer]) -> None:
    """Sends requests for text to all entries in turn, until cancelled."""
    running: set[asyncio.Task] = set()

    async def send(request: str, number: int) -> None:
        headers = {
            names.MODEL: MODEL,
            names.TOKEN_USAGE: "640,20",
            names.PROMPT_PREFIX: f"c0ffee:40,{request}:600",
        }
        entry = rig.entries[number % len(rig.entries)]
        target = "/streaming/a"
        answers.append(await ask(rig, entry, request, target, HOSTNAME, headers, b"x", DEADLINE_MS))

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


def is_served(answer: Answer) -> bool:
    """Returns whether a stream came with its last event."""
    return answer.status == 200 and b"id: 20\n" in answer.body


async def name_version(rig: Rig, origin: WeightsOrigin, version: int) -> None:
    """Names a version of the weights."""
    origin.newest = version
    value = {"model": MODEL, "version": version}
    await rig.publish(names.VERSION_PREFIX + MODEL, value, f"version {version} of the weights")


async def wait_for_weights(rig: Rig, version: int, seconds: float) -> None:
    """Waits until all engines have loaded a version."""
    async with asyncio.timeout(seconds):
        for instance in rig.instances:
            while not any(e["version"] == version for e in instance.engine.lines("loaded")):
                await asyncio.sleep(0.1)
    rig.record.write("all engines hold version", version)


async def lose_power(rig: Rig) -> None:
    """Ends all processes at once, and starts them again with nothing."""
    rig.record.write("all machines lose power")
    await asyncio.gather(*(daemon.kill() for daemon in rig.daemons))
    await asyncio.sleep(DOWN_SECONDS)
    for daemon in rig.daemons:
        daemon.settings["bootstrap"] = False
    for instance in rig.instances:
        instance.engine.command = (*instance.engine.command[:-1], "0")
    engines = [instance.engine for instance in rig.instances]
    await asyncio.gather(*(each.start() for each in rig.daemons if each not in engines))
    rig.record.write("the machines are back")
    await asyncio.sleep(ENGINE_START_SECONDS)
    await asyncio.gather(*(engine.start() for engine in engines))
    rig.record.write("the engines have started, without weights")


async def case(rig: Rig) -> bool:
    """Returns whether less than a quarter of the requests is served after the recovery."""
    rig.seeds = ENTRIES
    origin = WeightsOrigin(MODEL, PIECES, PIECE_BYTES, make_limiter_mbit(ORIGIN_MBIT))
    arguments = {"origin": origin}
    port = rig.serve([(r"/.*", OriginHandler, arguments)], HOST, 0)
    await rig.publish(names.CONFIGURATION_KEY, configuration(f"{HOST}:{port}"), "version 3")
    await name_version(rig, origin, 1)
    zones = list(ZONES)
    for number in range(ENTRIES):
        rig.add_entry(zones[number % len(zones)])
    for number in range(ENGINES):
        rig.add_instance(zones[number % len(zones)], SERVICE, FIGURES, holds=1)
    for daemon in rig.daemons:
        await daemon.start()
    await rig.wait_until_ready()
    expiring = asyncio.ensure_future(rig.expire_entries())
    answers: list[Answer] = []
    sending = asyncio.ensure_future(send_all(rig, answers))
    await asyncio.sleep(STABLE_SECONDS + 2.0)
    await name_version(rig, origin, 2)
    await wait_for_weights(rig, 2, 12.0)
    await asyncio.sleep(STABLE_SECONDS)
    lost_at = rig.record.now()
    if TROUBLE:
        await lose_power(rig)
    back_at = rig.record.now()
    await asyncio.sleep(RECOVERY_SECONDS + JUDGED_SECONDS)
    sending.cancel()
    expiring.cancel()
    await asyncio.gather(sending, expiring, return_exceptions=True)
    # The last seconds before the loss are those of requests that it cuts off.
    before = [a for a in answers if a.sent_at < lost_at - DEADLINE_MS / 1000.0]
    after = [a for a in answers if a.sent_at > back_at + RECOVERY_SECONDS]
    served_before, served = sum(map(is_served, before)), sum(map(is_served, after))
    rig.record.write("before the fault:", len(before), "sent,", served_before, "served")
    rig.record.write("sent later than recoveryS after:", len(after), ", served:", served)
    for instance in rig.instances:
        loaded = [(e["version"], e["layers"]) for e in instance.engine.lines("loaded")]
        wrong = len(instance.engine.lines("loaded_wrong"))
        rig.record.write(instance.engine.name, "has loaded", loaded, "wrong:", wrong)
    for daemon in rig.daemons:
        failed = [line["reason"][:110] for line in daemon.lines("version_failed")]
        rig.record.write(daemon.name, "runs:", daemon.alive, "versions that failed:", failed[-2:])
    if served_before < len(before) / 4:
        raise RuntimeError("too little was served before the fault")
    return served < len(after) / 4


if __name__ == "__main__":
    sys.exit(play(case, __file__, ZONES))
