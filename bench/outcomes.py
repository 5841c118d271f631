"""Measures outcomes: a soak with failures throughout, planned stops, memory and latency.

The figures of the naive caller, who resends without a key, come from the same run and are
the baseline for double runs. QUICK=1 plays the short form; `--seed` plays another schedule.
"""

import argparse
import asyncio
import contextlib
import json
import signal
import statistics
import sys
import tracemalloc

from wasabidrum.decisions.idempotency_key import make_key
from wasabidrum.decisions.idempotency_ledger import make_ledger
from wasabidrum.decisions.idempotency_record import StoredAnswer

from .outcomes_caller import OutcomesCaller
from .outcomes_chaos import OutcomesChaos
from .outcomes_fleet import OutcomesFleet
from .report import Aim, is_quick, print_report

SERVICES = ["tally-1", "tally-2", "tally-3"]
ENGINES = ["worker-1", "worker-2", "worker-3"]
ENTRIES = 3
CALLS = 20_200
QUICK_CALLS = 900
CALLS_PER_SECOND = 185.0
QUICK_CALLS_PER_SECOND = 70.0
LATENCY_CALLS = 300
STREAM_TOKENS = 60
MEMORY_KEYS = 20_000
ANSWER = b'{"mark": "0123456789abcdef", "by": "tally-1", "run": 1}'


def print_progress(text: str) -> None:
    """Prints one line of progress."""
    print(text, flush=True)


def measure_memory() -> float:
    """Returns the bytes of memory per idempotency key with its stored answer."""
    tracemalloc.start()
    ledger = make_ledger("0193c0ffee000-aabbccddeeff")
    before = tracemalloc.get_traced_memory()[0]
    for number in range(MEMORY_KEYS):
        key = make_key("tally-1", "0193c0ffee000-aabbccddeeff", number / 1000, 300.0)
        ledger.begin("stationers", key, number.to_bytes(16, "big"), number / 1000, 1e9)
        answer = StoredAnswer(200, "application/json", ANSWER + str(number).encode())
        ledger.end_done("stationers", key, answer, number / 1000)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / MEMORY_KEYS


async def measure_latency(fleet: OutcomesFleet) -> dict[str, float]:
    """Returns the median milliseconds of a call by kind; calls of all kinds are interleaved."""
    loop = asyncio.get_running_loop()
    keys = [await fleet.issue_key() for _ in range(LATENCY_CALLS)]
    seconds: dict[str, list[float]] = {"quote": [], "unkeyed": [], "keyed": []}
    for number in range(LATENCY_CALLS):
        for kind, times in seconds.items():
            key = keys[number] if kind == "keyed" else ""
            path = "quote" if kind == "quote" else "charge"
            began = loop.time()
            became, told = await fleet.charge(f"{kind}-{number}", key=key, path=path)
            if became == "whole":
                times.append(loop.time() - began)
    return {kind: 1000.0 * statistics.median(times) for kind, times in seconds.items()}


async def play_soak(fleet: OutcomesFleet, seed: int) -> dict[str, object]:
    """Runs calls under continuous failures; returns reported outcomes and actual runs."""
    caller = OutcomesCaller(fleet, seed)
    chaos = OutcomesChaos(fleet, caller, seed)
    for name in SERVICES:
        await chaos.slow_down(name)
    playing = asyncio.ensure_future(chaos.play())
    calls, rate = (QUICK_CALLS, QUICK_CALLS_PER_SECOND)
    if not is_quick():
        calls, rate = CALLS, CALLS_PER_SECOND
    await caller.run_open_loop(rate, calls)
    playing.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await playing
    await asyncio.sleep(1.0)
    return caller.judge() | {"failures": len(chaos.played)}


async def play_planned_stops(fleet: OutcomesFleet, seed: int) -> dict[str, object]:
    """Replaces each sidecar by a planned stop under load, without other failures."""
    caller = OutcomesCaller(fleet, seed)
    chaos = OutcomesChaos(fleet, caller, seed)
    ended: list[str] = []

    async def stream(number: int) -> None:
        index = caller.live_entries[number % len(caller.live_entries)]
        ended.append(await fleet.caller(index).generate(f"plan {number}", STREAM_TOKENS))

    async def load() -> None:
        work = set()
        number = 0
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                number += 1
                work.add(asyncio.ensure_future(stream(number)))
                work.add(asyncio.ensure_future(caller.charge(f"p{number}", "unkeyed")))
                await asyncio.sleep(0.25)
        await asyncio.gather(*work)

    loading = asyncio.ensure_future(load())
    stopped = []
    names = [SERVICES[0], ENGINES[0]] if is_quick() else SERVICES + ENGINES
    for name in names:
        leaving = fleet.members[name].daemon
        leaving.send(signal.SIGTERM)
        stopped.append(leaving)
        # The instance list still shows the instance as live.
        await asyncio.sleep(2.0)
        await fleet.replace_sidecar(name)
        await asyncio.sleep(0.5)
    await chaos.stop_entry()
    ends = [await daemon.wait(20.0) for daemon in stopped]
    loading.cancel()
    await loading
    charges = [record.outcomes[0] for record in caller.charges.values()]
    cut = [became for became in ended if became not in ("whole", "refused")]
    return {
        "streams": len(ended),
        "cut_streams": cut,
        "refused_streams": ended.count("refused"),
        "charges": len(charges),
        "charges_not_whole": [c for c in charges if c not in ("whole", "not_run")],
        "ended_cleanly": ends.count(0),
        "stopped": len(ends),
        "last_work_seconds": max(map(last_work_seconds, stopped)),
    }


def last_work_seconds(daemon) -> float:
    """Returns the seconds from the start of leaving to the last new request received."""
    began = None
    last = 0.0
    for line in daemon.text().splitlines():
        if '"event":"daemon_leaving"' in line:
            began = json.loads(line)["t"]
        elif '"event":"work_while_leaving"' in line and began is not None:
            last = json.loads(line)["t"] - began
    return last


def make_aims(soak: dict, stops: dict, latency: dict[str, float], key_bytes: float) -> list[Aim]:
    """Returns the figures beside their targets."""
    charges = max(1, soak["charges"])
    naive = soak["naive_double_runs"] / max(1, soak["naive_quotes"])
    first = soak["first_told"].get("unknown", 0) / charges
    last = soak["last_told"].get("unknown", 0) / charges
    added = latency["keyed"] - latency["quote"]
    minted = latency["unkeyed"] - latency["quote"]
    return [
        Aim("calls", soak["calls"], "calls", QUICK_CALLS if is_quick() else 20_000, at_least=True),
        Aim("double_runs", len(soak["double_runs"]), "charges", 0, round(naive * charges, 1)),
        Aim("false_not_run", len(soak["false_not_run"]), "charges", 0),
        Aim("wrong_or_partial", soak["wrong"] + len(soak["partial"]), "answers", 0),
        Aim("cut_on_planned_stop", len(stops["cut_streams"]), "streams", 0),
        Aim("charges_lost_on_planned_stop", len(stops["charges_not_whole"]), "charges", 0),
        Aim("unknown_at_first", round(100 * first, 2), "% of charges", 5.0),
        Aim(
            "unknown_after_resends",
            round(100 * last, 2),
            "% of charges",
            2.0,
            round(100 * first, 2),
        ),
        Aim("bytes_per_key", round(key_bytes), "B", 1000),
        Aim("keyed_added", round(added, 3), "ms", 0.5, round(latency["quote"], 3)),
        Aim("minted_added", round(minted, 3), "ms", 0.5, round(latency["quote"], 3)),
        Aim("last_work_after_leaving", round(stops["last_work_seconds"], 3), "s", 2.0),
    ]


async def run(seed: int) -> int:
    """Runs all phases and prints the report; returns 1 if a guarantee was violated."""
    async with OutcomesFleet() as fleet:
        await fleet.start_all(SERVICES, ENGINES, ENTRIES)
        print_progress("fleet started")
        latency = await measure_latency(fleet)
        print_progress(f"median ms: {latency}")
        stops = await play_planned_stops(fleet, seed)
        print_progress(f"planned stops: {stops}")
        soak = await play_soak(fleet, seed)
        print_progress(f"soak: {soak}")
    aims = make_aims(soak, stops, latency, measure_memory())
    print_report("outcomes", aims, {"soak": soak, "stops": stops, "latency_ms": latency})
    broken = soak["double_runs"] or soak["false_not_run"] or soak["wrong"] or soak["partial"]
    return 1 if broken or stops["cut_streams"] else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    sys.exit(asyncio.run(run(parser.parse_args().seed)))
