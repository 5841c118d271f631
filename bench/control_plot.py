"""Plots the cost of control traffic over the size of the fleet."""

import pathlib

PLOT_FILE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "plots" / "control.png"


def draw_plot(runs: list[dict]) -> None:
    """Draws time in force, calls, CPU time and bytes over the number of daemons."""
    # Imported here, because a run without a plot does not need it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    panels = {
        "worst time in force, a reader killed (s)": lambda run: run[
            "in_force_with_a_reader_killed"
        ]["worst"],
        "calls on the service, idle (1/s)": lambda run: run["idle"]["calls_per_second"],
        "entry processor, idle (% of a core)": lambda run: run["idle"]["core_percent"]["entry"],
        "entry control bytes, idle (B/s)": lambda run: run["idle"]["bytes_per_second"]["entry"],
    }
    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7))
    for axis, (title, read) in zip(axes.flat, panels.items(), strict=True):
        for control, label in (("peers", "over peers"), ("service", "each from the service")):
            chosen = [run for run in runs if run["control"] == control]
            axis.plot([r["size"] for r in chosen], [read(r) for r in chosen], "o-", label=label)
        axis.set_title(title)
        axis.set_xlabel("daemons")
        axis.set_ylim(bottom=0)
        axis.legend()
    figure.tight_layout()
    PLOT_FILE.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(PLOT_FILE, dpi=80)
