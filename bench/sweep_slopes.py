"""Reads how loads and times grow with the fleet, from what the users' bench prints of its sweeps.

The journal keeps what a sweep printed; this module takes the newest sweep of each deployment.
"""

import dataclasses
import json
import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
PLOT_FILE = ROOT / "docs" / "plots" / "sweep.png"
TABLE_START = "middle / busiest"
# One cell: the middle and the busiest process, or the middle and the longest time.
CELL = re.compile(r"([\d.]+) / ([\d.]+)")
PLOTTED = ("entry: processor %", "sidecar: processor %", "entry: memory MB", "sidecar: memory MB")
NOT_STATED = "-"
# A figure that grows faster than the fleet does.
BENDS_UPWARD = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """One figure of a sweep.

    Attributes:
      busiest: The busiest process, or the longest time, at each size.
      power: The power of the fleet's size that the busiest grows as.
      at_target: What that leads to at the size of the deployment's target; not played. None if
        the deployment states no target.
    """

    name: str
    busiest: tuple[float, ...]
    power: float
    at_target: float | None

    @property
    def bends_upward(self) -> bool:
        """Whether it grows faster than the fleet."""
        return self.power > BENDS_UPWARD


@dataclasses.dataclass(frozen=True, slots=True)
class Sweep:
    """The newest sweep of one deployment.

    Attributes:
      sizes: The numbers of own machines that were played.
      target: The number of machines that the slopes are carried on to; None if none is stated.
      faults: What was wrong, by the name of the day; empty if all days were clean.
    """

    site: str
    entry: str
    sizes: tuple[int, ...]
    target: int | None
    slopes: tuple[Slope, ...]
    faults: tuple[tuple[str, str], ...]


def parse_table(digest: str) -> tuple[tuple[int, ...], int | None, tuple[Slope, ...]]:
    """Returns the sizes, the target's size and the figures of a sweep's printed table.

    Raises:
      ValueError: There is no such table.
    """
    lines = digest.splitlines()
    start = next((n for n, line in enumerate(lines) if line.startswith(TABLE_START)), None)
    if start is None:
        raise ValueError("no table of a sweep")
    head, _, stated = lines[start + 1].partition("power")
    sizes = tuple(map(int, head.split()))
    target = next(map(int, re.findall(r"\d+", stated)), None)
    slopes = []
    for line in lines[start + 2 :]:
        cells = CELL.findall(line)
        if len(cells) != len(sizes):
            continue
        name = line[: CELL.search(line).start()].strip()
        *_, power, at_target = line.split()
        carried = None if at_target == NOT_STATED else float(at_target)
        slopes.append(Slope(name, tuple(float(busy) for _, busy in cells), float(power), carried))
    return sizes, target, tuple(slopes)


def read_sweep(path: pathlib.Path) -> Sweep | None:
    """Returns the sweep of a journal entry; None for other entries and unfinished ones."""
    entry = json.loads(path.read_text(encoding="utf-8"))
    if entry.get("cmd") != "sweep" or not entry.get("days"):
        return None
    sizes, target, slopes = parse_table(entry["digest"])
    faults = []
    for day in entry["days"]:
        broken = [f"{rule} {count}" for rule, count in day["rules"].items()]
        if day["fault"] is not None:
            broken.append(day["fault"])
        if broken:
            faults.append((day["name"], "; ".join(broken)))
    return Sweep(entry["site"], entry["id"], sizes, target, slopes, tuple(faults))


def read_newest(journal: pathlib.Path = JOURNAL) -> list[Sweep]:
    """Returns the newest sweep of each deployment, by its name."""
    newest: dict[str, Sweep] = {}
    for path in sorted(journal.glob("*.json")):
        sweep = read_sweep(path)
        if sweep is not None:
            newest[sweep.site] = sweep
    return [newest[site] for site in sorted(newest)]


def render_lines(sweeps: list[Sweep]) -> list[str]:
    """Returns the lines of the capacity page on these sweeps."""
    lines = ["## Slopes of the users' bench", ""]
    if not sweeps:
        return [*lines, "No sweep was played.", ""]
    lines += [
        "The busiest process, or the longest time, by the number of own machines, from the newest",
        "sweep of each deployment in journal/. `power` is that of the number of machines as which",
        "it grows; the last column carries it on and was not played.",
        "",
    ]
    for sweep in sweeps:
        lines += [f"### {sweep.site} ({sweep.entry})", ""]
        lines += [f"- {day} is not clean: {fault}." for day, fault in sweep.faults]
        if not sweep.faults:
            lines.append("- All days were clean.")
        bends = [slope.name for slope in sweep.slopes if slope.bends_upward]
        lines.append(f"- Grows faster than the fleet: {', '.join(bends) or 'nothing'}.")
        sizes = " | ".join(str(size) for size in sweep.sizes)
        at_target = f"at {sweep.target}" if sweep.target is not None else "no target is stated"
        lines += ["", f"| figure | {sizes} | power | {at_target} |"]
        lines.append("|---" * (len(sweep.sizes) + 3) + "|")
        for slope in sweep.slopes:
            busiest = " | ".join(f"{value:g}" for value in slope.busiest)
            carried = f"{slope.at_target:g}" if slope.at_target is not None else ""
            lines.append(f"| {slope.name} | {busiest} | {slope.power:g} | {carried} |")
        lines.append("")
    return [*lines, "docs/plots/sweep.png shows processor and memory by role.", ""]


def draw_plot(sweeps: list[Sweep], path: pathlib.Path = PLOT_FILE) -> None:
    """Draws processor and memory of the busiest process of each role over the fleet's size."""
    # Imported here, because a page without a plot does not need it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7))
    for axis, name in zip(axes.flat, PLOTTED, strict=True):
        for sweep in sweeps:
            slope = next((slope for slope in sweep.slopes if slope.name == name), None)
            if slope is not None:
                axis.plot(sweep.sizes, slope.busiest, "o-", label=sweep.site)
        axis.set_title(name)
        axis.set_xlabel("own machines")
        axis.set_ylim(bottom=0)
        axis.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
