"""What the demo's requests came to, and which figures break a promise."""

import collections
import pathlib

from .caller import Caller

OUTCOMES = ("whole", "refused", "unknown", "failed", "wrong", "mixed", "lost")
MUST_BE_ZERO = ("wrong", "mixed", "lost", "double_runs", "false_not_run", "reverted")
MUST_BE_ZERO += ("cut_by_planned_stop", "missed")


def count_runs(folder: pathlib.Path) -> collections.Counter[str]:
    """Returns how often each charge ran, from the journals that the services kept."""
    runs: collections.Counter[str] = collections.Counter()
    for journal in folder.glob("*.journal"):
        runs.update(journal.read_text().split())
    return runs


def count_requests(
    caller: Caller, engines: list[dict[str, object]], folder: pathlib.Path
) -> dict[str, int]:
    """Returns what became of the requests, judged by callers and by endpoints.

    Args:
      caller: Who sent them; each counts once, however often it was resent.
      engines: The counters of the engines, which know of partial and mixed weights.
      folder: Where the services' journals are.
    """
    runs = count_runs(folder)
    untrue = [mark for mark, became in caller.charges.items() if became == "refused" and runs[mark]]
    figures = {outcome: caller.counts[outcome] for outcome in OUTCOMES}
    requests = sum(figures.values())
    figures["mixed"] += sum(engine["bad_activations"] for engine in engines)
    return {
        "requests": requests,
        **figures,
        "charges": caller.counts["charges"],
        "double_runs": sum(1 for count in runs.values() if count > 1),
        "false_not_run": len(untrue),
    }


def find_broken(figures: dict[str, object]) -> list[str]:
    """Returns the names of the figures that break a promise."""
    broken = [name for name in MUST_BE_ZERO if figures[name] != 0]
    if figures["replicas_live"] != figures["replicas_wanted"]:
        broken.append("replicas_live")
    if figures["whole"] == 0:
        broken.append("whole")
    return broken
