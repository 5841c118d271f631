"""Tells from the daemons' logs which requests were lost, when, and for what cause.

    python3 -m bench.lost_requests LOG [--window SECONDS] [--from SECONDS] [--to SECONDS]

LOG holds the daemons' JSON lines; other text may precede the JSON on a line. Times are seconds
since the first request ended, and each row counts the requests that ended in its window.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import sys

REFUSED = "request_refused"
FAILED = "request_failed"
DONE = "request_done"
# Events that change how many requests can be served; they are listed after the rows.
MILESTONES = frozenset(
    (
        "version_named",
        "version_wanted",
        "version_staged",
        "engine_ordered",
        "version_in_force",
        "version_failed",
        "store_lost",
        "store_back",
        "engine_lost",
        "engine_back",
        "daemon_started",
        "daemon_stopped",
    )
)
# Statuses of invalid or unauthorized requests, whose refusal does not count as a loss.
PROPER_STATUSES = frozenset((400, 401, 403, 404, 413, 431))
SERVED = "served"


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    Attributes:
      at: The timestamp by the daemon's clock, in seconds.
      daemon: The name of the daemon that wrote the line.
      event: The name of the event.
      fields: The other fields of the line.
    """

    at: float
    daemon: str
    event: str
    fields: dict[str, object]


def read_line(text: str) -> LogLine | None:
    """Returns the log line at the end of a line of text, or None if there is none."""
    start = text.find('{"t"')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except json.JSONDecodeError:
        return None
    return LogLine(
        fields.pop("t"), str(fields.pop("daemon", "")), str(fields.pop("event", "")), fields
    )


def find_cause(line: LogLine) -> str | None:
    """Returns why a request was lost, SERVED if it was served, None for other lines."""
    fields = line.fields
    if line.event == DONE:
        return SERVED
    if line.event not in (REFUSED, FAILED) or fields.get("status") in PROPER_STATUSES:
        return None
    code = str(fields.get("code"))
    if line.event == FAILED:
        return f"failed: {code}"
    if code == "no_endpoint" and not fields.get("endpoints_known", 1):
        return "no endpoint holds the wanted weights"
    return code


def count_by_window(
    lines: list[LogLine], began: float, window: float
) -> dict[int, collections.Counter[str]]:
    """Returns the number of requests by cause, by the first second of the window."""
    rows: dict[int, collections.Counter[str]] = collections.defaultdict(collections.Counter)
    for line in lines:
        cause = find_cause(line)
        if cause is not None:
            rows[int((line.at - began) // window * window)][cause] += 1
    return rows


def find_beginning(lines: list[LogLine]) -> float:
    """Returns the time at which the first counted request ended."""
    return min((line.at for line in lines if find_cause(line) is not None), default=0.0)


def format_tables(lines: list[LogLine], window: float, first: float, last: float) -> list[str]:
    """Returns the totals by cause, the rows by window, and the milestones."""
    began = find_beginning(lines)
    rows = count_by_window(lines, began, window)
    totals: collections.Counter[str] = collections.Counter()
    for row in rows.values():
        totals.update(row)
    text = ["cause, requests"]
    text += [f"  {cause}, {count}" for cause, count in totals.most_common()]
    text.append("second, requests by cause")
    for second in sorted(rows):
        if first <= second <= last:
            causes = ", ".join(f"{cause} {count}" for cause, count in rows[second].most_common())
            text.append(f"  {second}: {causes}")
    text.append("second, daemon, milestone")
    for line in lines:
        at = line.at - began
        if line.event in MILESTONES and first <= at <= last:
            facts = " ".join(f"{key}={value}" for key, value in line.fields.items() if key != "n")
            text.append(f"  {at:.2f} {line.daemon} {line.event} {facts[:100]}")
    return text


def main(arguments: list[str]) -> int:
    """Prints the tables of one log."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log", type=pathlib.Path)
    parser.add_argument("--window", type=float, default=2.0, help="seconds a row")
    parser.add_argument("--from", dest="first", type=float, default=float("-inf"))
    parser.add_argument("--to", dest="last", type=float, default=float("inf"))
    options = parser.parse_args(arguments)
    with options.log.open(encoding="utf-8", errors="replace") as file:
        lines = [line for line in map(read_line, file) if line is not None]
    print("\n".join(format_tables(lines, options.window, options.first, options.last)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
