"""Writes the value to publish: a base file and all overlays together.

One value holds them all, so that every site changes in one step. The same files always
give the same bytes. Nothing is written where there are findings. Publish the value under
a revision that is higher than every one before, through the platform's own means; this
tool cannot, because the configuration service can only be read.

  wasabidrum bundle fleet.yaml overlays/*.yaml --output fleet.json

Exit status: 0 written, 1 findings, 2 wrong usage.
"""

import argparse
import pathlib
import sys

from ...config.bundle import MAX_VALUE_BYTES, encode_bundle
from ...config.fleet_files import read_fleet_files
from ...core.digest import digest_of
from ..command import EXIT_FOUND, EXIT_OK
from .check import add_file_arguments, print_findings

NAME = "bundle"
HELP = "write the value to publish"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """See Command."""
    add_file_arguments(parser)
    parser.add_argument("--output", metavar="FILE", help="where to write; else standard output")


def run(options: argparse.Namespace) -> int:
    """See Command."""
    files = read_fleet_files(options.base, options.overlays)
    if files.findings:
        print_findings(files.findings)
        return EXIT_FOUND
    content = encode_bundle(files.bundle)
    if options.output:
        pathlib.Path(options.output).write_bytes(content)
    else:
        sys.stdout.buffer.write(content)
    share = 100.0 * len(content) / MAX_VALUE_BYTES
    digest = digest_of(content)
    print(f"{len(content)} bytes ({share:.0f}% of the most), {digest}", file=sys.stderr)
    return EXIT_OK
