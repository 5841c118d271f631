"""Prints the file that is in force at a site: the base with the site's overlay applied.

With --sources each value is followed by the file and line that it comes from.

  wasabidrum render fleet.yaml overlays/recife-a.yaml --sources

Exit status: 0 printed, 1 findings, 2 wrong usage.
"""

import argparse

from ...config.fleet_files import read_fleet_files, site_of
from ...config.rendering import render
from ..command import EXIT_FOUND, EXIT_OK
from .check import print_findings

NAME = "render"
HELP = "print the file in force at a site, with each value's source on request"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """See Command."""
    parser.add_argument("base", metavar="BASE", help="the base file of the fleet")
    parser.add_argument("overlay", metavar="OVERLAY", nargs="?", help="the overlay of the site")
    parser.add_argument("--sources", action="store_true", help="say where each value comes from")


def run(options: argparse.Namespace) -> int:
    """See Command."""
    overlays = [options.overlay] if options.overlay else []
    files = read_fleet_files(options.base, overlays)
    if files.findings:
        print_findings(files.findings)
        return EXIT_FOUND
    site = site_of(options.overlay) if options.overlay else ""
    for line in render(files, site).lines(options.sources):
        print(line)
    return EXIT_OK
