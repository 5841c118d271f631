"""Compares placement policies under late load reports, with a simulated clock and fakes.

Twenty entries, ten engines of four slots, requests of 0.2 s at 0.7 of capacity, load reports
1 s late. The entries run the real scheduler; engines and network are the fakes of
tests.fake_fleet, so that the figures do not depend on the machine.
"""

import asyncio
import sys

from tests.fake_fleet import FakeFleet, percentile, run_with_paused_clock
from wasabidrum.entry.request_scheduler import RequestScheduler

from .plain_entry import BaselineScheduler
from .report import Aim, is_quick, print_report

ENGINES = 10
SLOTS = 4
ENTRIES = 20
CAPACITY = ENGINES * SLOTS / 0.2
LOAD = 0.7
WARM_SECONDS = 5.0


def make_baseline(policy: str) -> type[BaselineScheduler]:
    """Returns a baseline scheduler class with one policy."""
    return type(policy, (BaselineScheduler,), {"policy": policy})


def play(make_traffic: type[RequestScheduler], seconds: float) -> dict[str, float]:
    """Runs the scenario with one policy; returns its figures."""
    fleet = FakeFleet(ENGINES, SLOTS, ENTRIES, make_scheduler=make_traffic)
    fleet.report_lag = 1.0
    queues: list[float] = []

    async def watch() -> None:
        await asyncio.sleep(WARM_SECONDS)
        while True:
            await asyncio.sleep(0.1)
            queues.append(max(len(engine.waiters) for engine in fleet.engines))

    async def scenario() -> None:
        await fleet.start()
        watching = asyncio.ensure_future(watch())
        await fleet.arrive(LOAD * CAPACITY, seconds, deadline=5.0)
        watching.cancel()
        fleet.stop()

    run_with_paused_clock(scenario())
    placed = fleet.placed
    whole = [answer for answer in fleet.answers if answer.became == "whole"]
    return {
        "busiest": max(placed.values()) * ENGINES / sum(placed.values()),
        "queue_p95": percentile(queues, 0.95),
        "first_p95": percentile([answer.first for answer in whole], 0.95),
        "whole": len(whole) / len(fleet.answers),
    }


def main() -> int:
    """Runs the comparison."""
    seconds = 10.0 if is_quick() else 30.0
    policies: dict[str, type[RequestScheduler]] = {"ours": RequestScheduler}
    for policy in ("random", "round_robin", "least_reported", "no_admission"):
        policies[policy] = make_baseline(policy)
    found = {}
    for name, make_traffic in policies.items():
        found[name] = play(make_traffic, seconds)
        print(name, {key: round(value, 3) for key, value in found[name].items()}, flush=True)
    ours, base = found["ours"], found["least_reported"]
    aims = [
        Aim("busiest", round(ours["busiest"], 3), "of the mean", 1.3, round(base["busiest"], 3)),
        Aim("first_p95", round(ours["first_p95"], 3), "s", 1.2, round(base["first_p95"], 3)),
    ]
    print_report("load_policies", aims, found)
    return 0


if __name__ == "__main__":
    sys.exit(main())
