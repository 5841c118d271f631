"""Checks a base file and its overlays, and prints everything that is wrong with them.

Each line is FILE:LINE:COLUMN: CODE MESSAGE; docs/CONFIGURATION.md lists the codes. The same
checks run in every daemon: what this command passes is accepted at every site, and what it
refuses is accepted nowhere.

  wasabidrum check fleet.yaml overlays/*.yaml
  wasabidrum check refused-value.json

The second form takes a value as it was published. The name of an overlay file, without its
ending, is the site that it applies to.
Exit status: 0 nothing found, 1 findings, 2 wrong usage.
"""

import argparse

import msgspec

from ...config.fleet_files import read_fleet_files
from ...core.finding import Finding
from ..command import EXIT_FOUND, EXIT_OK

NAME = "check"
HELP = "find everything that is wrong with a base file and its overlays"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """See Command."""
    add_file_arguments(parser)
    parser.add_argument("--json", action="store_true", help="print one JSON object a finding")


def add_file_arguments(parser: argparse.ArgumentParser) -> None:
    """Declares the base file and the overlays."""
    parser.add_argument("base", metavar="BASE", help="the base file of the fleet")
    parser.add_argument("overlays", metavar="OVERLAY", nargs="*", help="overlay files, SITE.yaml")


def print_findings(findings: list[Finding], as_json: bool = False) -> None:
    """Prints findings, one a line."""
    for finding in findings:
        print(msgspec.json.encode(finding).decode() if as_json else finding)


def run(options: argparse.Namespace) -> int:
    """See Command."""
    files = read_fleet_files(options.base, options.overlays)
    print_findings(files.findings, options.json)
    if files.findings:
        return EXIT_FOUND
    if not options.json:
        fleet = files.bundle.base
        counts = (f"{len(fleet.get(part, {}))} {part}" for part in ("models", "endpoints"))
        print(f"{options.base}: {', '.join(counts)}, {len(files.overlays)} overlays: no findings")
    return EXIT_OK
