"""Measures admission and placement under load with real processes, against simple baselines.

Arrivals are open-loop with fixed seeds, and each caller classifies its own answer. Writes
latency figures to out/ and, in its long form, the plot docs/plots/load.png. The command line
may name the parts to run: main, late, costs.
"""

import asyncio
import pathlib
import sys

from . import load_costs, load_scenarios
from .cluster import Cluster
from .load_callers import histogram
from .load_fleet import ENTRIES, OURS, LoadFleet
from .report import OUTPUT_FOLDER, Aim, is_quick, print_report

PLOT = pathlib.Path(__file__).resolve().parent.parent / "docs" / "plots" / "load.png"
BASELINE = "no_admission"
MANY_ENTRIES = 20
LATE_SECONDS = 1.0


def print_progress(text: str) -> None:
    """Prints one line of progress."""
    print(text, flush=True)


async def measure_main(seconds: float) -> dict[str, dict]:
    """Runs all scenarios but the late load reports; returns figures by scenario and policy."""
    found: dict[str, dict] = {}
    async with Cluster() as cluster:
        fleet = LoadFleet(cluster)
        await fleet.start({OURS: ENTRIES, BASELINE: ENTRIES})
        plays = {
            "overload_1": lambda p: load_scenarios.play_overload(fleet, p, 1.0, seconds),
            "overload_2": lambda p: load_scenarios.play_overload(fleet, p, 2.0, seconds),
            "overload_5": lambda p: load_scenarios.play_overload(fleet, p, 5.0, seconds),
            "hot": lambda p: load_scenarios.play_hot(fleet, p, seconds),
            "slow": lambda p: load_scenarios.play_slow(fleet, p, seconds),
            "long": lambda p: load_scenarios.play_long(fleet, p, seconds + 2.0),
            "prefix": lambda p: load_scenarios.play_prefix(fleet, p, seconds),
            "failing": lambda p: load_scenarios.play_failing(fleet, p, seconds),
        }
        skipped = ("failing",)
        if is_quick():
            skipped += ("slow", "long", "hot", "overload_1", "overload_2", "prefix")
        found["costs"] = {OURS: await load_costs.measure_chunks(fleet)}
        print_progress(f"costs: {format_figures(found['costs'][OURS])}")
        # The baselines come last: they leave engines with long queues and limits reduced.
        for policy in (OURS, BASELINE):
            for name, play in plays.items():
                if policy == OURS or name not in skipped:
                    await fleet.settle()
                    found.setdefault(name, {})[policy] = await play(policy)
                    print_progress(f"{name} {policy}: {format_figures(found[name][policy])}")
    return found


async def measure_late(policies: list[str], seconds: float) -> dict[str, dict]:
    """Measures twenty entries whose load reports are a second late, one policy at a time."""
    found = {}
    for policy in policies:
        async with Cluster() as cluster:
            fleet = LoadFleet(cluster, load_lag_seconds=LATE_SECONDS)
            await fleet.start({policy: MANY_ENTRIES})
            found[policy] = await load_scenarios.play_late(fleet, policy, seconds)
            print_progress(f"late {policy}: {format_figures(found[policy])}")
    return found


def format_figures(figures: dict[str, object]) -> str:
    """Returns figures on one line."""
    plain = {name: value for name, value in figures.items() if not isinstance(value, list)}
    return ", ".join(f"{name} {value:.4g}" for name, value in plain.items())


def ratio(value: float, base: float) -> float:
    """Returns a ratio, rounded."""
    return round(value / base, 3) if base else 0.0


def make_late_aims(late: dict[str, dict]) -> list[Aim]:
    """Returns the target for many entries with late load reports."""
    busiest = round(late[OURS]["busiest"], 3)
    base = round(late["least_reported"]["busiest"], 3)
    return [Aim("busiest_with_late_reports", busiest, "of the mean", 1.3, base)]


def make_aims(found: dict[str, dict]) -> list[Aim]:
    """Returns the measured figures beside the targets that the users set."""

    def figure(scenario: str, name: str, policy: str = OURS) -> float | None:
        return found.get(scenario, {}).get(policy, {}).get(name)

    def base_ratio(scenario: str, over: str, under: str) -> float | None:
        value, base = figure(scenario, over, BASELINE), figure(scenario, under, BASELINE)
        return None if value is None or not base else ratio(value, base)

    at_capacity = figure("overload_1", "good_per_second")
    base_at_capacity = figure("overload_1", "good_per_second", BASELINE)
    aims = []
    for times in (2, 5):
        name = f"overload_{times}"
        base = figure(name, "good_per_second", BASELINE)
        aims.append(
            Aim(
                f"goodput_at_{times}_times_capacity",
                ratio(figure(name, "good_per_second"), at_capacity),
                "of that at capacity",
                0.95,
                ratio(base, base_at_capacity) if base and base_at_capacity else None,
                at_least=True,
            )
        )
    refused = round(1000 * figure("overload_5", "refused_p95"), 1)
    aims.append(Aim("refusal_p95_at_5_times", refused, "ms", 50.0))
    lost = figure("overload_5", "charges_not_whole")
    base = figure("overload_5", "charges_not_whole", BASELINE)
    aims.append(Aim("charges_not_whole_at_5_times", lost, "charges", 0.0, base))
    for aim_name, scenario, over, under, aim in (
        ("others_p95_beside_hot_workspace", "hot", "beside_p95", "without_p95", 1.2),
        ("callers_p95_with_slow_endpoint", "slow", "after_p95", "before_p95", 1.3),
        ("short_p95_among_long", "long", "among_p95", "alone_p95", 1.5),
    ):
        value = ratio(figure(scenario, over), figure(scenario, under))
        aims.append(Aim(aim_name, value, "times", aim, base_ratio(scenario, over, under)))
    share = round(figure("slow", "slow_share_after_2s"), 4)
    aims.append(Aim("slow_endpoint_share_after_2s", share, "of new work", 0.05))
    hits = ratio(figure("prefix", "hit_rate"), figure("prefix", "best_hit_rate"))
    base = base_ratio("prefix", "hit_rate", "best_hit_rate")
    aims.append(Aim("prefix_hits", hits, "of the best possible", 0.9, base, at_least=True))
    busiest = round(figure("prefix", "busiest"), 3)
    base = figure("prefix", "busiest", BASELINE)
    aims.append(Aim("busiest_with_prefixes", busiest, "of the mean", 1.3, base))
    tries = round(figure("failing", "attempts_per_request"), 3)
    aims.append(Aim("attempts_with_all_failing", tries, "of offered", 1.1))
    cost = ratio(figure("costs", "entry_us"), figure("costs", "bare_us"))
    aims.append(Aim("processor_time_per_chunk", cost, "of the bare relay's", 1.0))
    decide = found["decide"]
    flat = ratio(decide["1900"], decide["10"])
    aims.append(Aim("time_to_decide_at_1900_endpoints", flat, "of that at 10", 1.2))
    return aims


def draw(found: dict[str, dict]) -> None:
    """Draws latency distributions at five times capacity, and goodput by offered load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    percents = [0.1 * step for step in range(1, 1000)]
    for policy in (OURS, BASELINE):
        offered = [1, 2, 5]
        good = [found[f"overload_{times}"][policy]["good_per_second"] for times in offered]
        left.plot(offered, good, marker="o", label=policy)
        latencies = found["overload_5"][policy]["latencies"]
        if latencies:
            made = histogram(latencies)
            values = [made.get_value_at_percentile(percent) / 1e6 for percent in percents]
            right.plot(values, percents, label=policy)
    left.set(xlabel="offered, times capacity", ylabel="good answers a second", ylim=0)
    right.set(xlabel="seconds to a whole answer at 5 times capacity", ylabel="percent of whole")
    left.legend()
    right.legend()
    figure.tight_layout()
    PLOT.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(PLOT, dpi=80)


async def measure(parts: list[str]) -> dict[str, dict]:
    """Measures the parts named: main, late, costs."""
    found: dict[str, dict] = {}
    if "costs" in parts:
        async with Cluster() as cluster:
            fleet = LoadFleet(cluster)
            await fleet.start({OURS: 1})
            found["costs"] = {OURS: await load_costs.measure_chunks(fleet)}
            print_progress(f"costs: {format_figures(found['costs'][OURS])}")
    if "main" in parts:
        found = await measure_main(2.0 if is_quick() else 4.0)
        found["decide"] = await load_costs.measure_decisions()
        print_progress(f"decide, microseconds: {format_figures(found['decide'])}")
    if "late" in parts:
        policies = [OURS, "random", "round_robin", "least_reported"]
        found["late"] = await measure_late(policies, 10.0)
    return found


def main() -> int:
    """Runs the bench."""
    parts = sys.argv[1:] or (["main"] if is_quick() else ["main", "late"])
    found = asyncio.run(measure(parts))
    if "main" in parts and not is_quick():
        draw(found)
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    for scenario in found.values():
        for figures in scenario.values():
            if isinstance(figures, dict):
                figures.pop("latencies", None)
    aims = make_aims(found) if "main" in parts else []
    if "late" in parts:
        aims += make_late_aims(found["late"])
    print_report("load", aims, found)
    return 0


if __name__ == "__main__":
    sys.exit(main())
