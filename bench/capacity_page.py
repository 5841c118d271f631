"""Makes docs/CAPACITY.md from what the benches measured, so that the page cannot drift.

Reads the benches' reports under docs/measured (copied there from out/ by `--take`), fits a
line to each figure that was measured at several sizes, and works it out at the size that the
users expect within two years. The slopes of the users' bench come from its sweeps in journal/.
"""

import argparse
import dataclasses
import json
import pathlib
import shutil
import statistics
import sys

from wasabidrum.decisions import endpoint_subset
from wasabidrum.peers import peer_link

from . import sweep_slopes
from .control_fleet import REGIONS
from .report import OUTPUT_FOLDER

ROOT = pathlib.Path(__file__).resolve().parent.parent
MEASURED_FOLDER = ROOT / "docs" / "measured"
PAGE = ROOT / "docs" / "CAPACITY.md"
BENCHES = ("rollout", "control", "load", "outcomes", "product")

ENTRIES = 400
WORKERS = 1900
DAEMONS = ENTRIES + WORKERS
DATA_CENTRES = 9
REPLICAS = 710
CHANGES_PER_SECOND = 1500 / 86_400
TOKENS_PER_ENTRY = 2_500_000 / ENTRIES
REQUESTS_PER_ENTRY = 12_000 / ENTRIES
SERVICE_CALLS_LIMIT = 2000.0
CORE_PERCENT_LIMIT = 1.9
BYTES_LIMIT = 8192.0
MEMORY_LIMIT_MB = 32.0
IN_FORCE_LIMIT_SECONDS = 3.0
COPIES_LIMIT = 1.05
CONTROL_KINDS = (
    ("core_percent", "% of a core", CORE_PERCENT_LIMIT),
    ("bytes_per_second", "B/s", BYTES_LIMIT),
)
# Numbers of kinds of endpoint: one, and three (a model and two services), as both firms
# have today.
GROUPS = (1, 3)
FAILURES_A_DAY = 21
KEYED_SHARE = 0.2
KEY_SECONDS = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One figure, extrapolated to the size expected in two years.

    Attributes:
      limit: The upper bound that the users state; None if they state none.
      basis: The measured sizes and how the figure is derived from them.
    """

    role: str
    name: str
    value: float
    unit: str
    limit: float | None
    mechanism: str
    basis: str

    @property
    def outside(self) -> bool:
        """Whether the figure exceeds its limit."""
        return self.limit is not None and self.value > self.limit

    def row(self) -> str:
        """Returns the figure as a row of the page's table."""
        limit = margin = "none stated"
        if self.limit is not None:
            limit = f"{self.limit:g}"
            margin = f"{100.0 * (1.0 - self.value / self.limit):.0f}%"
        cells = (self.role, self.name, f"{self.value:.3g} {self.unit}", limit, margin)
        return "| " + " | ".join((*cells, self.mechanism, self.basis)) + " |"


def read_reports() -> dict[str, dict]:
    """Returns the reports by bench; a missing report is an empty dict."""
    reports = {}
    for bench in BENCHES:
        path = MEASURED_FOLDER / f"{bench}.json"
        reports[bench] = json.loads(path.read_text(encoding="utf-8")) if path.exists() else {}
    return reports


def fit(points: list[tuple[float, float]], at: float) -> tuple[float, str]:
    """Extrapolates a figure to a size; returns the value and a description of its basis.

    Fits a line by least squares; with only one measured size the figure is taken as constant.
    """
    sizes = ", ".join(f"{size:.3g}" for size, _ in points)
    if len({size for size, _ in points}) < 2:
        return points[0][1], f"measured at {sizes} only, taken as constant"
    slope, start = statistics.linear_regression(*zip(*points, strict=True))
    if slope < 0.0:
        # A falling figure is not extrapolated, since the line would end below zero.
        return max(points)[1], f"falls from {sizes}; taken as at {max(points)[0]:g}"
    reach = at / max(size for size, _ in points)
    worked_out = max(0.0, start + slope * at)
    return worked_out, f"{start:.3g} + {slope:.3g} a member, from {sizes}; {reach:.1f} times beyond"


def find_runs(report: dict, key: str, wanted: str) -> list[dict]:
    """Returns the runs of a report whose key has the wanted value, smallest first."""
    runs = [run for run in report.get("details", {}).get("runs", []) if run.get(key) == wanted]
    return sorted(runs, key=lambda run: run.get("size", run.get("replicas", 0)))


def entry_figures(runs: list[dict]) -> list[Figure]:
    """Returns the cost of control at an entry, extrapolated by its number of messages.

    The size of the fleet is no basis for a line here: small fleets do not fill the endpoint
    subset, and once it is full neither streams nor messages grow with the fleet.
    """
    largest = runs[-1]["idle"]["messages_per_second"]["entry"]
    beats = 1.0 / peer_link.STATUS_HEARTBEAT_SECONDS
    gossip = max(0.0, largest - endpoint_subset.SUBSET_SIZE * beats)
    module = "entry/endpoint_watcher.py, decisions/endpoint_subset.py"
    figures = []
    for groups in GROUPS:
        streams = groups * endpoint_subset.subset_size(groups)
        messages = streams * beats + gossip
        for kind, unit, limit in CONTROL_KINDS:
            points = [
                (run["idle"]["messages_per_second"]["entry"], run["idle"][kind]["entry"])
                for run in runs
            ]
            slope, start = statistics.linear_regression(*zip(*points, strict=True))
            change = runs[-1]["changing"][kind]["entry"] - runs[-1]["idle"][kind]["entry"]
            value = start + slope * messages + CHANGES_PER_SECOND * max(0.0, change)
            what = "processor of control" if unit != "B/s" else "bytes of control"
            basis = (
                f"{start:.3g} + {slope:.3g} a message, at {messages:.0f} messages a second from "
                f"{streams} streams; measured up to {largest:.0f}"
            )
            label = f"entry, {groups} kinds of endpoint" if groups > 1 else "entry"
            figures.append(Figure(label, what, value, unit, limit, module, basis))
    return figures


def control_figures(report: dict) -> list[Figure]:
    """Returns the cost of control at each role and at the configuration service.

    Readers and distribution trees are chosen per data centre, so their cost depends on the
    number of members in one data centre, not in the fleet.
    """
    runs = find_runs(report, "control", "peers")
    if not runs:
        return []
    figures = []
    figures += entry_figures(runs)
    for role in ("sidecar", "sidecar_most"):
        for kind, unit, limit in CONTROL_KINDS:
            points = []
            for run in runs:
                idle = run["idle"][kind][role]
                # The bench publishes one change a second; the users publish 1,500 changes a day.
                change = max(0.0, run["changing"][kind][role] - idle)
                per_centre = run["size"] / len(REGIONS)
                points.append((per_centre, idle + CHANGES_PER_SECOND * change))
            value, basis = fit(points, DAEMONS / DATA_CENTRES)
            label = role.replace("_most", ", the costliest")
            what = "processor of control" if kind == "core_percent" else "bytes of control"
            module = "peers/peer_node.py, entry/endpoint_watcher.py, decisions/endpoint_subset.py"
            figures.append(Figure(label, what, value, unit, limit, module, basis))
    points = [(run["size"], run["idle"]["calls_per_second"] / len(REGIONS)) for run in runs]
    calls, basis = fit(points, DAEMONS)
    calls *= DATA_CENTRES
    module = "decisions/reader_plan.py: two readers a data centre"
    figures.append(
        Figure("configuration service", "calls", calls, "1/s", SERVICE_CALLS_LIMIT, module, basis)
    )
    points = [(run["size"] / len(REGIONS), run["in_force"]["worst"]) for run in runs]
    worst, basis = fit(points, DAEMONS / DATA_CENTRES)
    module = "peers/configuration_follower.py, two trees a data centre"
    figures.append(
        Figure("fleet", "change in force, worst", worst, "s", IN_FORCE_LIMIT_SECONDS, module, basis)
    )
    return figures


def weight_figures(report: dict) -> list[Figure]:
    """Returns the cost of a version's rollout at the origin, the thin links and each sidecar."""
    runs = find_runs(report, "way", "peers")
    if not runs:
        return []
    origin, origin_basis = fit([(r["replicas"], r["origin_copies"]) for r in runs], REPLICAS)
    thin, thin_basis = fit([(r["replicas"], r["thin_copies"]) for r in runs], REPLICAS)
    ratio, ratio_basis = fit([(r["replicas"], r["seconds"] / r["floor"]) for r in runs], REPLICAS)
    control, control_basis = fit(
        [(r["replicas"], r["control_bytes_per_instance_second"]) for r in runs], REPLICAS
    )
    work = statistics.median(r["sidecar_ms_per_mb"] for r in runs)
    plan = "decisions/chunk_plan.py, weights/"
    return [
        Figure("origin", "copies of a version", origin, "copies", COPIES_LIMIT, plan, origin_basis),
        Figure("thin link", "copies of a version", thin, "copies", COPIES_LIMIT, plan, thin_basis),
        Figure("fleet", "time to live over its floor", ratio, "times", 1.25, plan, ratio_basis),
        Figure(
            "sidecar",
            "bytes of asking, in a burst",
            control,
            "B/s",
            BYTES_LIMIT,
            plan,
            control_basis,
        ),
        Figure(
            "sidecar", "processor to move weights", work, "ms/MB", None, plan, "median of the runs"
        ),
    ]


def memory_figures(report: dict) -> list[Figure]:
    """Returns the memory of each role, and the part that a large fleet file adds to it."""
    memory = report.get("details", {}).get("memory", {})
    figures = []
    for role in ("entry", "sidecar"):
        for suffix, name in (("", "resident"), (", private", "private")):
            key = f"{role} after 10 changes{suffix}"
            if key not in memory:
                continue
            basis = "a file of 2,000 endpoints, after ten changes"
            module = "core/fleet.py, config/bundle.py"
            figures.append(
                Figure(role, f"memory, {name}", memory[key], "MB", MEMORY_LIMIT_MB, module, basis)
            )
            started = memory.get(f"{role} idle{suffix}")
            if started is not None:
                name = f"memory that a file of 2,000 endpoints adds, {name}"
                basis = "after ten changes, less idle with a small file"
                added = memory[key] - started
                figures.append(Figure(role, name, added, "MB", MEMORY_LIMIT_MB, module, basis))
    return figures


def relay_figures(report: dict) -> list[Figure]:
    """Returns the cost of relaying tokens at an entry, and the cores that the peak needs."""
    costs = report.get("details", {}).get("costs", {}).get("ours", {})
    if "entry_us" not in costs:
        return []
    share = costs["entry_us"] * TOKENS_PER_ENTRY / 1e4
    basis = f"{costs['entry_us']:.0f} us a chunk, {costs['bare_us']:.0f} us for a bare relay"
    module = "entry/model_call.py, entry/model_handler.py"
    needed = ENTRIES * share / 100.0
    return [
        Figure(
            "entry", "relaying 6,250 tokens a second", share, "% of a core", 100.0, module, basis
        ),
        Figure("entry", "cores for 2.5 million tokens", needed, "cores", ENTRIES, module, basis),
    ]


def ledger_figures(report: dict) -> list[Figure]:
    """Returns the memory of the idempotency keys that a service's sidecar remembers."""
    values = {aim["name"]: aim["value"] for aim in report.get("aims", [])}
    if "bytes_per_key" not in values:
        return []
    keys = 12_000 * KEYED_SHARE / WORKERS * KEY_SECONDS
    size = keys * values["bytes_per_key"] / 1e6
    basis = (
        f"{values['bytes_per_key']:.0f} B a key, {keys:.0f} keys if a fifth of calls are charges"
    )
    module = "decisions/idempotency_ledger.py"
    return [
        Figure("sidecar", "memory of remembered keys", size, "MB", MEMORY_LIMIT_MB, module, basis)
    ]


REMEDIES = {
    "memory, resident": "the interpreter and its libraries fill the limit before we begin; counted "
    "as private memory, or as what control adds, it is inside",
    "relaying 6,250 tokens a second": "more entries, several daemons an instance, or fewer, larger "
    "pieces from the engines",
    "processor of control": "a slower beat between daemons that carry no work for each other, and "
    "several endpoints told of on one stream",
    "cores for 2.5 million tokens": "the same",
    "bytes of asking, in a burst": "larger chunks, or one question for several chunks",
    "time to live over its floor": "wider trees for small versions and a shorter first wave",
}


# What entries tell each other under load, by hand from the design notes of the parts.
EXCHANGES = [
    "## What entries tell each other under load",
    "",
    "Counted from the encoded messages, not played at 400 entries "
    "(docs/design/workspace-shares.md,",
    "uneven-demand.md, admission-order.md).",
    "",
    "| what | switched on by | sent by one entry in a second, 12 entries | 400 entries |",
    "|---|---|---|---|",
    "| meetings with demands, and changed demands told at once "
    "| always told; used where uneven | 2.8 KB at most | 5.0 KB at most |",
    "| use by workspace, 32 workspaces a report | the settings share room | 3.0 KB | 3.0 KB |",
    "| order of ranks, limits of cold endpoints, evacuations "
    "| configuration and store | none | none |",
    "",
    "Together 8.0 of the 8.2 KB that a daemon may send for control at 400 entries, which leaves",
    "no room for more. A report names 32 workspaces whatever their number: of 10,000, the others",
    "count at each entry by what it sees itself. At 400 entries an entry hears about 12 of 399",
    "within the time for which a report counts, and scales them.",
    "",
]


def render_page(reports: dict[str, dict], sweeps: list[sweep_slopes.Sweep]) -> str:
    """Returns the page: figures over their limits, all figures, slopes of sweeps, failures."""
    figures = control_figures(reports["control"]) + weight_figures(reports["rollout"])
    figures += relay_figures(reports["load"]) + memory_figures(reports["product"])
    figures += ledger_figures(reports["outcomes"])
    lines = ["# Capacity at the two-year size", ""]
    lines += ["Made by `python -m bench.capacity_page` from docs/measured; do not edit.", ""]
    lines += [
        f"{ENTRIES} entries before {WORKERS:,} sidecars in 9 data centres, 12,000 requests and "
        f"2.5 million tokens a second, weights to {REPLICAS} instances, 1,500 changes a day.",
        "All figures were measured on one machine of 12 cores with stand-ins; what lies beyond the",
        "sizes measured is a straight line, not a measurement.",
        "",
        "## Outside its limit",
        "",
    ]
    outside = [figure for figure in figures if figure.outside]
    for figure in outside:
        mend = REMEDIES.get(figure.name, "not known yet")
        lines.append(
            f"- {figure.role}: {figure.name} {figure.value:.3g} {figure.unit}, "
            f"limit {figure.limit:g}. What would mend it: {mend}."
        )
    if not outside:
        lines.append("Nothing that was measured.")
    missing = [bench for bench in BENCHES if not reports[bench]]
    quick = [bench for bench in BENCHES if reports[bench].get("quick")]
    if missing:
        lines.append(f"- Not measured for this page: {', '.join(missing)}.")
    if quick:
        lines.append(f"- Measured in the short form only: {', '.join(quick)}.")
    lines += ["", "## Figures", ""]
    lines.append("| who | figure | at the two-year size | limit | margin | carried by | from |")
    lines.append("|---|---|---|---|---|---|---|")
    lines += [figure.row() for figure in figures]
    lines += ["", "The commands are `make bench-control`, `bench-rollout`, `bench-load`,"]
    lines += ["`bench-outcomes` and `python -m bench.product`.", ""]
    lines += EXCHANGES
    lines += sweep_slopes.render_lines(sweeps)
    lines += failure_lines(reports)
    return "\n".join(lines) + "\n"


def failure_lines(reports: dict[str, dict]) -> list[str]:
    """Returns the lines on the cost of failures at their expected rate."""
    values = {aim["name"]: aim["value"] for aim in reports["outcomes"].get("aims", [])}
    per_worker = 12_000 / WORKERS
    lines = ["## Failures at their expected rate", ""]
    lines += [
        f"- An instance that fails ({FAILURES_A_DAY} a day) held {per_worker:.1f} requests a "
        "second. Streams go on elsewhere, reads are tried again, and only charges that ran there "
        "at that moment may end unknown.",
    ]
    if "unknown_after_resends" in values:
        lines.append(
            f"- In the soak, with failures throughout, {values['unknown_after_resends']:.2g}% of "
            "charges stayed unknown after resends, and none ran twice."
        )
    lines += [
        "- A planned replacement (320 a day) cut no stream and lost no charge in the soak; each "
        "costs one member change told once to every daemon.",
        "- A data centre that goes takes a ninth of the workers. Its entries vanish with it; the "
        "others route around it by silence within 2 s. The return is a burst of new members: each "
        "is told once along trees of bounded width. No measurement at that size was made.",
        "- Regions apart for an hour: both sides route to what they reach. A version published "
        "meanwhile spreads on the origin's side, and crosses once the link is back.",
    ]
    return lines


def main() -> int:
    """Writes the page, after copying the reports named by --take from out/."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--take", nargs="*", default=[], help="benches whose reports to take")
    options = parser.parse_args()
    MEASURED_FOLDER.mkdir(exist_ok=True)
    for bench in options.take:
        shutil.copy(OUTPUT_FOLDER / f"{bench}.json", MEASURED_FOLDER / f"{bench}.json")
    sweeps = sweep_slopes.read_newest()
    PAGE.write_text(render_page(read_reports(), sweeps), encoding="utf-8")
    if sweeps:
        sweep_slopes.draw_plot(sweeps)
    return 0


if __name__ == "__main__":
    sys.exit(main())
