r"""Compares two ways of a decision on the same days of the users' bench, from the journal.

    python3 -m bench.compare_ways --before ID [ID ...] --after ID [ID ...] [--journal FOLDER]
        [--plot FILE]

An ID is an entry of the journal, or the beginning of one. Days are paired by deployment, name and
seed; several plays of one day by one way count by their mean. A difference is told as none if it is
within twice its standard error over the pairs, or within NOISE where there are too few pairs.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import statistics
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
# The difference in worth that the bench itself calls noise.
NOISE = 0.03
MIN_PAIRS = 3
WORST_WINDOWS = "worst windows"


class JournalError(Exception):
    """An entry of the journal that is missing, ambiguous or unreadable."""


@dataclasses.dataclass(frozen=True, slots=True)
class DayKey:
    """What identifies a day: the deployment, the day's name and its seed."""

    site: str
    name: str
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class DayResult:
    """The result of one play of a day, as shares of what was owed.

    Attributes:
      worth: What callers got, less prices.
      worst: The part of the worst windows.
      broken: Whether a rule was broken or the day was given up.
    """

    worth: float
    served: float
    refused: float
    worst: float
    broken: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Pair:
    """The mean results of one day in the two ways."""

    day: DayKey
    before: DayResult
    after: DayResult

    @property
    def gain(self) -> float:
        """The difference in worth."""
        return self.after.worth - self.before.worth


def find_entry(journal: pathlib.Path, identity: str) -> pathlib.Path:
    """Returns the file of an entry.

    Raises:
      JournalError: No entry or several have an id that begins so.
    """
    found = sorted(journal.glob(f"*-{identity}*.json"))
    if len(found) != 1:
        raise JournalError(f"{len(found)} entries of {journal} have an id that begins {identity}")
    return found[0]


def read_entry(path: pathlib.Path) -> list[tuple[DayKey, DayResult]]:
    """Returns the days of an entry.

    Raises:
      JournalError: The entry holds no days.
    """
    try:
        entry = json.loads(path.read_text(encoding="utf-8"))
        days = [read_day(entry["site"], day) for day in entry["days"]]
    except (KeyError, TypeError, ValueError) as error:
        raise JournalError(f"{path.name} cannot be read: {error!r}") from error
    if not days:
        raise JournalError(f"{path.name} holds no days; its run did not finish")
    return days


def read_day(site: str, day: dict) -> tuple[DayKey, DayResult]:
    """Returns one day of an entry."""
    parts = {name: value for name, _, value in day["parts"]}
    return DayKey(site, day["name"], day["seed"]), DayResult(
        day["G"],
        day["served"],
        day["refused"],
        parts.get(WORST_WINDOWS, 0.0),
        bool(day["rules"]) or day["fault"] is not None,
    )


def mean_result(results: list[DayResult]) -> DayResult:
    """Returns the means of several plays of a day; broken if one of them was."""
    return DayResult(
        *(
            statistics.mean(getattr(result, name) for result in results)
            for name in ("worth", "served", "refused", "worst")
        ),
        any(result.broken for result in results),
    )


def read_way(journal: pathlib.Path, identities: list[str]) -> dict[DayKey, DayResult]:
    """Returns the mean result of each day that the entries of one way hold.

    Raises:
      JournalError: An entry cannot be read.
    """
    plays: dict[DayKey, list[DayResult]] = collections.defaultdict(list)
    for identity in identities:
        for key, result in read_entry(find_entry(journal, identity)):
            plays[key].append(result)
    return {key: mean_result(results) for key, results in plays.items()}


def pair_days(before: dict[DayKey, DayResult], after: dict[DayKey, DayResult]) -> list[Pair]:
    """Returns the days that both ways have played."""
    return [Pair(key, result, after[key]) for key, result in before.items() if key in after]


def describe_gain(pairs: list[Pair]) -> str:
    """Returns the mean difference in worth, and whether it is more than its spread."""
    gains = [pair.gain for pair in pairs]
    mean = statistics.mean(gains)
    if len(gains) < MIN_PAIRS:
        spread, limit = "too few pairs for a spread", NOISE
    else:
        error = statistics.stdev(gains) / len(gains) ** 0.5
        spread, limit = f"standard error {error:.3f} over {len(gains)} pairs", 2.0 * error
    verdict = "none" if abs(mean) <= limit else "better" if mean > 0.0 else "worse"
    return f"difference in worth {mean:+.3f}, {spread}: {verdict}"


def format_table(pairs: list[Pair]) -> list[str]:
    """Returns the lines of the comparison."""
    lines = ["| day | worth | difference | served | refused | worst windows |"]
    lines.append("|---|---|---|---|---|---|")
    for pair in pairs:
        a, b = pair.before, pair.after
        marks = "".join(f" ({w} way broken)" for w, r in (("first", a), ("second", b)) if r.broken)
        lines.append(
            f"| {pair.day.site} {pair.day.name}{marks} | {a.worth:.3f} {b.worth:.3f}"
            f" | {pair.gain:+.3f} | {a.served:.3f} {b.served:.3f}"
            f" | {a.refused:.3f} {b.refused:.3f} | {a.worst:.2f} {b.worst:.2f} |"
        )
    return [*lines, "", describe_gain(pairs)]


def draw_plot(pairs: list[Pair], path: pathlib.Path) -> None:
    """Draws the worth of each day in both ways."""
    # Imported here, because a table without a plot does not need it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(8, 1.5 + 0.35 * len(pairs)))
    rows = range(len(pairs))
    axis.hlines(rows, [p.before.worth for p in pairs], [p.after.worth for p in pairs], "grey")
    axis.plot([p.before.worth for p in pairs], rows, "o", label="first way")
    axis.plot([p.after.worth for p in pairs], rows, "s", label="second way")
    axis.set_yticks(rows, [f"{p.day.site} {p.day.name}" for p in pairs])
    axis.set_xlabel("worth")
    axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main(arguments: list[str]) -> int:
    """Prints the comparison; returns 2 if there is nothing to compare."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--before", nargs="+", required=True, metavar="ID")
    parser.add_argument("--after", nargs="+", required=True, metavar="ID")
    parser.add_argument("--journal", type=pathlib.Path, default=JOURNAL, metavar="FOLDER")
    parser.add_argument("--plot", type=pathlib.Path, metavar="FILE", help="a PNG file to write")
    options = parser.parse_args(arguments)
    try:
        pairs = pair_days(
            read_way(options.journal, options.before), read_way(options.journal, options.after)
        )
        if not pairs:
            raise JournalError("the two ways have no day in common")
    except JournalError as error:
        print(error, file=sys.stderr)
        return 2
    print("\n".join(format_table(pairs)))
    if options.plot is not None:
        draw_plot(pairs, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
