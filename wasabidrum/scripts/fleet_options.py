"""The options of the commands that query the fleet, and the function that runs them."""

import argparse
import asyncio
import collections.abc
import sys

from ..config.settings_file import read_settings
from ..core.errors import CodedError
from ..wire import tls
from .command import EXIT_UNREACHABLE, EXIT_USAGE
from .fleet_client import FleetClient

Work = collections.abc.Callable[[FleetClient, argparse.Namespace], collections.abc.Awaitable[int]]


def add_fleet_arguments(parser: argparse.ArgumentParser) -> None:
    """Declares the options by which the fleet is found."""
    parser.add_argument(
        "--settings",
        metavar="FILE",
        help="settings of any daemon: its platform's list, and its certificates with mutual TLS",
    )
    parser.add_argument("--instances", metavar="URL", help="the platform's list of instances")
    parser.add_argument("--json", action="store_true", help="print JSON lines")


def run_with_fleet(options: argparse.Namespace, work: Work) -> int:
    """Runs a command that queries the fleet; returns its exit status."""
    url = options.instances
    if options.settings:
        settings, findings = read_settings(options.settings)
        for finding in findings:
            print(finding, file=sys.stderr)
        if settings is None:
            return EXIT_USAGE
        try:
            tls.enable_tls(settings.tls)
        except CodedError as error:
            print(error, file=sys.stderr)
            return EXIT_USAGE
        url = url or settings.platform.instances
    if not url:
        print("specify where to find the fleet with --settings or --instances", file=sys.stderr)
        return EXIT_USAGE

    async def run() -> int:
        return await work(FleetClient(url), options)

    try:
        return asyncio.run(run())
    except CodedError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    except KeyboardInterrupt:
        return EXIT_USAGE
