"""Counts the results of the demo's requests and finds violated guarantees."""

import collections
import pathlib

from .caller import Caller

OUTCOMES = ("whole", "refused", "unknown", "failed", "wrong", "mixed", "lost")
MUST_BE_ZERO = ("wrong", "mixed", "lost", "double_runs", "false_not_run", "reverted")
MUST_BE_ZERO += ("cut_by_planned_stop", "missed")


def count_runs(folder: pathlib.Path) -> collections.Counter[str]:
    """Returns how often each charge ran, from the journals of the services."""
    runs: collections.Counter[str] = collections.Counter()
    for journal in folder.glob("*.journal"):
        runs.update(journal.read_text().split())
    return runs


def count_requests(
    caller: Caller, engines: list[dict[str, object]], folder: pathlib.Path
) -> dict[str, int]:
    """Returns the results of the requests, as seen by the caller and by the endpoints.

    Args:
      caller: The caller that sent them; a request that was resent counts once.
      engines: The counters of the engines, which detect partial and mixed weights.
      folder: The folder with the journals of the services.
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
    """Returns the names of the figures that violate a guarantee."""
    broken = [name for name in MUST_BE_ZERO if figures[name] != 0]
    if figures["replicas_live"] != figures["replicas_wanted"]:
        broken.append("replicas_live")
    if figures["whole"] == 0:
        broken.append("whole")
    return broken
