"""Compares what two sets of files put in force, value by value.

Each side is BASE or BASE,OVERLAY. Lines begin with - for the first side and + for the
second; each value is followed by the file and line that it comes from. What only moved
from one file to another, or changed its order or comments, is no difference.

  wasabidrum diff fleet.yaml,overlays/recife-a.yaml fleet.yaml,overlays/salvador-a.yaml
  wasabidrum diff old/fleet.yaml fleet.yaml

Exit status: 0 no difference, 1 differences or findings, 2 wrong usage.
"""

import argparse
import json

from ...config.fleet_files import read_fleet_files, site_of
from ...config.rendering import RenderedValue, render
from ..command import EXIT_FOUND, EXIT_OK
from .check import print_findings

NAME = "diff"
HELP = "compare what two sets of files put in force"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """See Command."""
    parser.add_argument("before", metavar="BASE[,OVERLAY]", help="the first side")
    parser.add_argument("after", metavar="BASE[,OVERLAY]", help="the second side")
    parser.add_argument("--json", action="store_true", help="print one JSON object a difference")


def read_side(side: str) -> dict[str, RenderedValue] | None:
    """Returns the values of a side by name, or prints its findings and returns None."""
    base, _, overlay = side.partition(",")
    files = read_fleet_files(base, [overlay] if overlay else [])
    if files.findings:
        print_findings(files.findings)
        return None
    rendering = render(files, site_of(overlay) if overlay else "")
    return {value.name: value for value in rendering.values()}


def print_side(mark: str, value: RenderedValue | None) -> None:
    """Prints one side of a difference."""
    if value is not None:
        shown = json.dumps(value.value, ensure_ascii=False)
        print(f"{mark} {value.name}: {shown}  # {value.source}")


def as_fields(value: RenderedValue | None) -> dict[str, object] | None:
    """Returns one side of a difference for JSON."""
    return None if value is None else {"value": value.value, "source": value.source}


def run(options: argparse.Namespace) -> int:
    """See Command."""
    before, after = read_side(options.before), read_side(options.after)
    if before is None or after is None:
        return EXIT_FOUND
    differences = 0
    for name in [*before, *(name for name in after if name not in before)]:
        old, new = before.get(name), after.get(name)
        if old is not None and new is not None and old.value == new.value:
            continue
        differences += 1
        if options.json:
            print(json.dumps({"key": name, "before": as_fields(old), "after": as_fields(new)}))
        else:
            print_side("-", old)
            print_side("+", new)
    return EXIT_FOUND if differences else EXIT_OK
