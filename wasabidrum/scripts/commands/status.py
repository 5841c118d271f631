"""Shows every instance that the platform lists, as its daemon says of itself.

What is wrong comes first, refused revisions before all else. Then one line an instance:
role, revision in force, state, version in force and what is being fetched, load, and how
old the account is. The list is the platform's and lags; its age stands in the first line.

  wasabidrum status --settings /etc/wasabidrum/entry.yaml
  wasabidrum status --instances http://10.0.0.5/instances --json

Exit status: 0 all as the files say, 1 something is wrong, 2 wrong usage, 3 the platform's
list could not be read.
"""

import argparse
import json
import time

import msgspec

from ...core.instance import InstanceState
from ...core.status import Status
from ..command import EXIT_FOUND, EXIT_OK
from ..fleet_answer import FleetAnswer
from ..fleet_client import FleetClient
from ..fleet_options import add_fleet_arguments, run_with_fleet
from ..fleet_report import FleetReport

NAME = "status"
HELP = "show every instance: revision, versions, state, and how old each fact is"
HEADINGS = ("NAME", "ROLE", "REGION", "REVISION", "STATE", "SERVES", "FETCHING", "LOAD", "AGE")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """See Command."""
    add_fleet_arguments(parser)


def state_of(answer: FleetAnswer[Status]) -> str:
    """Returns the state of an instance by the platform's list and its daemon."""
    listed = answer.instance.state
    if answer.answer is None:
        return f"no answer ({listed})"
    if answer.answer.leaving:
        return "leaving" if listed is InstanceState.LEAVING else "leaving (listed live)"
    return str(listed)


def row_of(answer: FleetAnswer[Status], now: float) -> tuple[str, ...]:
    """Returns the table cells of one instance."""
    instance, status = answer.instance, answer.answer
    start = (instance.name, str(instance.role), instance.region)
    if status is None:
        return (*start, "", state_of(answer), "", "", "", "")
    serves = f"{status.model or status.service} {status.version}".strip()
    fetching = ""
    if status.fetching:
        fetching = f"{status.fetching} {status.chunks_held}/{status.chunks_wanted}"
    load = status.load
    shown_load = f"{load.running}/{load.slots} +{load.waiting}" if status.model else ""
    age = f"{now - answer.at:.1f} s" + (f", up {status.uptime:.0f} s" if status.uptime else "")
    return (*start, str(status.revision), state_of(answer), serves, fetching, shown_load, age)


def print_table(rows: list[tuple[str, ...]]) -> None:
    """Prints rows in aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        print("  ".join(map(str.ljust, row, widths)).rstrip())


def print_report(report: FleetReport, now: float) -> None:
    """Prints the problems, and then all instances."""
    age = now - report.listed.as_of
    print(f"{len(report.answers)} instances in a list that is {age:.1f} s old")
    for problem in report.problems():
        print(problem)
    current = sum(status.revision == report.revision for status in report.statuses)
    print(f"revision {report.revision} in force at {current} of {len(report.answers)}")
    print_table([HEADINGS, *(row_of(answer, now) for answer in report.answers)])


def print_json(report: FleetReport, now: float) -> None:
    """Prints one JSON line for the fleet and one for each instance."""
    fleet = {"revision": report.revision, "list_age_seconds": round(now - report.listed.as_of, 3)}
    print(json.dumps(fleet | {"problems": report.problems()}))
    for answer in report.answers:
        line = {"instance": msgspec.to_builtins(answer.instance), "state": state_of(answer)}
        line["age_seconds"] = round(now - answer.at, 3)
        line["status"] = msgspec.to_builtins(answer.answer) if answer.answer else None
        print(json.dumps(line))


async def show(client: FleetClient, options: argparse.Namespace) -> int:
    """Queries all daemons and prints their statuses; returns the exit status."""
    listed = await client.read_list()
    answers = await client.fetch_statuses(listed.instances)
    report = FleetReport(listed, answers)
    (print_json if options.json else print_report)(report, time.time())
    return EXIT_FOUND if report.problems() else EXIT_OK


def run(options: argparse.Namespace) -> int:
    """See Command."""
    return run_with_fleet(options, show)
