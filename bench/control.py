"""How soon a published revision is in force everywhere, and what control costs.

For each size starts that many real daemons before one stand-in endpoint, once with
configuration and membership over peers and once, as the baseline, with every daemon
watching the platform's service. `--sizes` and `--parts` run a part of it.
"""

import argparse
import asyncio
import dataclasses
import statistics
import sys

from . import control_costs, control_members
from .cluster import Cluster
from .control_fleet import ControlFleet
from .control_plot import draw_plot
from .report import Aim, is_quick, print_report

SIZES = (10, 50, 200)
QUICK_SIZES = (10, 24)
PARTS = ("fleet", "members", "costs")
SETTLE_SECONDS = 6.0
WINDOW_SECONDS = 8.0
CHANGES_WITH_A_DEATH = 3
BASELINE = "service"
AIM_IN_FORCE_SECONDS = 3.0
AIM_CORE_PERCENT = 1.9
AIM_BYTES = 8192.0
AIM_CALLS = 40.0
CHANGES_A_DAY = 1500
AIM_MEMORY_MIB = 32.0
AIM_OUT_SECONDS = 2.0


def summarize(seconds: list[float]) -> dict[str, float]:
    """Returns the median, 99th percentile and maximum over the daemons' times."""
    ordered = sorted(seconds)
    place = min(len(ordered) - 1, int(0.99 * len(ordered)))
    return {
        "median": round(statistics.median(ordered), 3),
        "p99": round(ordered[place], 3),
        "worst": round(ordered[-1], 3),
        "samples": len(ordered),
    }


async def run_fleet(size: int, control: str) -> dict[str, object]:
    """Measures one fleet size with one kind of control."""
    async with Cluster() as cluster:
        fleet = ControlFleet(cluster, size, control)
        await fleet.start()
        await asyncio.sleep(SETTLE_SECONDS)
        idle = await fleet.measure(WINDOW_SECONDS)
        times: list[float] = []

        async def note(publish=fleet.publish_and_time) -> list[float]:
            seconds = await publish()
            times.extend(seconds)
            return seconds

        fleet.publish_and_time = note
        changing = await fleet.measure(WINDOW_SECONDS, changes_per_second=1.0)
        quiet = list(times)
        times.clear()
        for _ in range(CHANGES_WITH_A_DEATH):
            victims = await fleet.readers() or fleet.alive()
            if len(fleet.alive()) <= 3:
                break
            await victims[0].daemon.kill()
            await fleet.publish_and_time()
            await asyncio.sleep(1.0)
        return {
            "size": size,
            "control": control,
            "in_force": summarize(quiet),
            "in_force_with_a_reader_killed": summarize(times),
            "idle": dataclasses.asdict(idle),
            "changing": dataclasses.asdict(changing),
        }


async def run_members(quick: bool) -> dict[str, object]:
    """Measures how soon dead endpoints are avoided, and false deaths."""
    found: dict[str, object] = {}
    for control in ("peers", BASELINE):
        async with Cluster() as cluster:
            found[control] = await control_members.measure_deaths(cluster, control)
        if quick:
            break
    async with Cluster() as cluster:
        seconds = 6.0 if quick else 24.0
        found["lossy"] = await control_members.measure_false_deaths(cluster, seconds)
    return found


def fleet_aims(runs: list[dict]) -> list[Aim]:
    """Returns the figures of the fleets beside their targets and baselines."""
    aims = []
    for run in (r for r in runs if r["control"] != BASELINE):
        size = run["size"]
        base = next(r for r in runs if r["size"] == size and r["control"] == BASELINE)
        for name in ("in_force", "in_force_with_a_reader_killed"):
            for part in ("median", "p99", "worst"):
                value, before = run[name][part], base[name][part]
                label = f"{name} {part} at {size}"
                aims.append(Aim(label, value, "s", AIM_IN_FORCE_SECONDS, before))
        for window in ("idle", "changing"):
            calls, before = (r[window]["calls_per_second"] for r in (run, base))
            aims.append(Aim(f"{window} service calls at {size}", calls, "1/s", AIM_CALLS, before))
        for role in ("entry", "sidecar", "entry_most", "sidecar_most"):
            for key, unit, aim in (
                ("core_percent", "% of a core", AIM_CORE_PERCENT),
                ("bytes_per_second", "B/s", AIM_BYTES),
            ):
                value, before = (at_daily_rate(r, key, role) for r in (run, base))
                label = f"{role} {key} at {size}, 1,500 changes a day"
                aims.append(Aim(label, value, unit, aim, before))
    return aims


def at_daily_rate(run: dict, key: str, role: str) -> float:
    """Returns a cost at the rate of changes expected in two years.

    Interpolates between the costs at no changes and at one change a second.
    """
    idle, changing = run["idle"][key][role], run["changing"][key][role]
    return round(idle + (changing - idle) * CHANGES_A_DAY / 86_400, 3)


def members_aims(found: dict) -> list[Aim]:
    """Returns the figures on dead members beside their targets."""
    peers, base = found["peers"], found.get(BASELINE, {})
    return [
        Aim("last request to a killed endpoint", peers["killed_seconds"], "s", AIM_OUT_SECONDS,
            base.get("killed_seconds")),
        Aim("last request to a hung endpoint", peers["hung_seconds"], "s", AIM_OUT_SECONDS,
            base.get("hung_seconds")),
        Aim("false deaths under loss and pauses", found["lossy"]["false_deaths"], "", 0.0),
    ]  # fmt: skip


def costs_aims(costs: dict) -> list[Aim]:
    """Returns the costs of single steps beside their targets."""
    return [
        Aim("memory of 2,300 members", costs["members_mib"], "MiB", AIM_MEMORY_MIB),
        Aim("event loop stall of a revision", costs["longest_stall_ms"], "ms", 69.0),
    ]


def main() -> int:
    """Runs the parts asked for and prints the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", help="numbers of daemons, with commas between")
    parser.add_argument("--parts", default=",".join(PARTS), help="of fleet, members, costs")
    options = parser.parse_args()
    sizes = QUICK_SIZES if is_quick() else SIZES
    if options.sizes:
        sizes = tuple(int(size) for size in options.sizes.split(","))
    parts = options.parts.split(",")
    details: dict[str, object] = {}
    aims: list[Aim] = []
    if "costs" in parts:
        details["costs"] = control_costs.measure_costs()
        aims += costs_aims(details["costs"])
    if "fleet" in parts:
        runs = []
        for size in sizes:
            for control in (BASELINE, "peers"):
                runs.append(asyncio.run(run_fleet(size, control)))
                print(runs[-1], flush=True)
        details["runs"] = runs
        aims += fleet_aims(runs)
        if not is_quick():
            draw_plot(runs)
    if "members" in parts:
        details["members"] = asyncio.run(run_members(is_quick()))
        print(details["members"], flush=True)
        aims += members_aims(details["members"])
    print_report("control", aims, details)
    return 0


if __name__ == "__main__":
    sys.exit(main())
