"""Tells what became of a request: where it was placed, queued or refused, and why.

Each daemon keeps its latest events in memory, as far back as 2 MB of them reach; there is
nothing older, and nothing of a daemon that was replaced. The request's id is in the header
X-Request-Id of every answer and in every error.

  wasabidrum explain 3e2823e5cea92b40364b9e58 --settings /etc/wasabidrum/entry.yaml

Where logs are kept, it reads them instead and asks nobody; a hyphen is standard input. What stands
before a line's JSON, such as the time or name that a log keeper adds, is passed over.

  wasabidrum explain 3e2823e5cea92b40364b9e58 --log entry-1.log --log entry-2.log

Exit status: 0 found, 1 no daemon remembers it, 2 wrong usage, 3 the platform's list could
not be read.
"""

import argparse
import collections.abc
import json
import sys
import time

from ...observe.event_buffer import belongs_to_request
from ...observe.events_handler import FoundEvents
from ..command import EXIT_FOUND, EXIT_OK, EXIT_USAGE
from ..fleet_answer import FleetAnswer
from ..fleet_client import FleetClient
from ..fleet_options import add_fleet_arguments, run_with_fleet

NAME = "explain"
HELP = "tell why a request was placed, queued or refused where it was"
# Keys that are printed in columns of their own, or that the operator gave.
COMMON_FACTS = frozenset(("t", "n", "event", "daemon", "request"))


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """See Command."""
    parser.add_argument("request_id", metavar="REQUEST-ID", help="the id on the answer or error")
    parser.add_argument(
        "--log", metavar="FILE", action="append", help="daemons' log lines; - is standard input"
    )
    add_fleet_arguments(parser)


def clock_of(seconds: float) -> str:
    """Formats a time as the local time of day with milliseconds."""
    return time.strftime("%H:%M:%S", time.localtime(seconds)) + f".{int(seconds * 1000) % 1000:03d}"


def print_events(request_id: str, events: list[dict[str, object]]) -> None:
    """Prints the events of all daemons, one a line."""
    for event in events:
        facts = " ".join(f"{key}={event[key]}" for key in event if key not in COMMON_FACTS)
        attempt = str(event["request"]).removeprefix(request_id)
        print(f"{clock_of(event['t'])}  {event['daemon']}  {event['event']}{attempt}  {facts}")


def print_memory(answers: list[FleetAnswer[FoundEvents]]) -> None:
    """Prints how far back the daemons' event memories reach, and which daemons did not answer."""
    silent = [answer.instance.name for answer in answers if answer.answer is None]
    oldest = [answer.answer.oldest for answer in answers if answer.answer is not None]
    known = [seconds for seconds in oldest if seconds is not None]
    if known:
        print(f"asked {len(answers)} daemons; the shortest memory begins {clock_of(max(known))}")
    if silent:
        print(f"no answer from {', '.join(silent)}")


def print_found(options: argparse.Namespace, found: list[dict[str, object]]) -> int:
    """Prints events ordered by time, as text or as JSON; returns the exit status."""
    found.sort(key=lambda event: event["t"])
    if options.json:
        for event in found:
            print(json.dumps(event))
    else:
        print_events(options.request_id, found)
    return EXIT_OK if found else EXIT_FOUND


async def show(client: FleetClient, options: argparse.Namespace) -> int:
    """Queries all daemons and prints the events that they hold; returns the exit status."""
    listed = await client.read_list()
    answers = await client.fetch_events(listed.instances, options.request_id)
    found = [event for answer in answers if answer.answer for event in answer.answer.events]
    status = print_found(options, found)
    if not options.json:
        print_memory(answers)
    return status


def read_events(lines: collections.abc.Iterable[str], request_id: str) -> list[dict[str, object]]:
    """Returns the events of a request in log lines; lines that are not events are skipped."""
    events = []
    for line in lines:
        if request_id not in line or "{" not in line:
            continue
        try:
            event = json.loads(line[line.index("{") :])
        except ValueError:
            continue
        if isinstance(event, dict) and belongs_to_request(
            str(event.get("request", "")), request_id
        ):
            events.append(event)
    return events


def show_logs(options: argparse.Namespace) -> int:
    """Prints the events of a request in log files; returns the exit status."""
    found: list[dict[str, object]] = []
    for name in options.log:
        try:
            with open(0 if name == "-" else name, encoding="utf-8", errors="replace") as lines:
                found += read_events(lines, options.request_id)
        except OSError as error:
            print(f"{name}: {error.strerror}", file=sys.stderr)
            return EXIT_USAGE
    return print_found(options, found)


def run(options: argparse.Namespace) -> int:
    """See Command."""
    return show_logs(options) if options.log else run_with_fleet(options, show)
