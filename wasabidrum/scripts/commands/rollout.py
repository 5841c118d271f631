"""Shows how far a version is: replicas live of those wanted, by region, and an estimate.

A replica is wanted where the configuration in force at its sidecar wants the version, and
live once its endpoint answers with it. Bytes from the origin are counted from the start of
this command; those of an instance that dies meanwhile are lost from the count.

  wasabidrum rollout v3 --settings /etc/wasabidrum/entry.yaml
  wasabidrum rollout v3 --instances http://10.0.0.5/instances --json --seconds 600

Runs until every replica is live. Exit status: 0 live everywhere, 1 not so after --seconds,
2 wrong usage, 3 the platform's list could not be read.
"""

import argparse
import asyncio
import json
import sys
import time

from ...core.instance import InstanceRole
from ..command import EXIT_FOUND, EXIT_OK
from ..fleet_client import FleetClient
from ..fleet_options import add_fleet_arguments, run_with_fleet
from ..rollout_progress import RolloutEstimate, RolloutProgress, measure_progress

NAME = "rollout"
HELP = "show live how far a version is"
POLL_INTERVAL_SECONDS = 1.0
BAR_WIDTH = 30
MEBIBYTE = 1_048_576


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """See Command."""
    parser.add_argument("version", metavar="VERSION", help="the version as the files name it")
    parser.add_argument(
        "--seconds", type=float, default=3600.0, help="how long to look at most (default: 3600)"
    )
    add_fleet_arguments(parser)


def describe(progress: RolloutProgress, estimate: float | None) -> str:
    """Formats the progress as a line with a bar."""
    full = int(progress.fraction * BAR_WIDTH)
    bar = "#" * full + "." * (BAR_WIDTH - full)
    regions = ", ".join(
        f"{name} {region.live}/{region.wanted}" for name, region in sorted(progress.regions.items())
    )
    left = "no estimate" if estimate is None else f"about {estimate:.0f} s left"
    line = f"[{bar}] {progress.live}/{progress.wanted} live ({regions}), {left}"
    line += f", {progress.origin_bytes / MEBIBYTE:.1f} MiB from the origin"
    return line + (f", FAILED at {', '.join(progress.failed)}" if progress.failed else "")


def as_json(progress: RolloutProgress, estimate: float | None) -> str:
    """Formats the progress as a JSON line."""
    regions = {
        name: {"live": region.live, "wanted": region.wanted}
        for name, region in progress.regions.items()
    }
    line = {
        "version": progress.version,
        "live": progress.live,
        "wanted": progress.wanted,
        "fraction": round(progress.fraction, 4),
        "regions": regions,
        "origin_bytes": progress.origin_bytes,
        "seconds_left": None if estimate is None else round(estimate, 1),
        "failed": progress.failed,
    }
    return json.dumps(line)


async def query_progress(
    client: FleetClient, version: str, origin_before: float
) -> RolloutProgress:
    """Queries all sidecars once and returns the progress."""
    listed = await client.read_list()
    sidecars = [one for one in listed.instances if one.role is InstanceRole.SIDECAR]
    answers = await client.fetch_statuses(sidecars)
    origin = await client.fetch_origin_bytes(sidecars)
    statuses = [answer.answer for answer in answers if answer.answer is not None]
    fetched = max(0.0, origin - origin_before)
    return measure_progress(version, statuses, time.time(), fetched)


async def follow(client: FleetClient, options: argparse.Namespace) -> int:
    """Queries repeatedly until all replicas are live or the time is over."""
    estimate = RolloutEstimate()
    listed = await client.read_list()
    before = await client.fetch_origin_bytes(listed.instances)
    ends = time.monotonic() + options.seconds
    on_terminal = sys.stdout.isatty() and not options.json
    while True:
        progress = await query_progress(client, options.version, before)
        left = estimate.add(progress)
        if options.json:
            print(as_json(progress, left), flush=True)
        else:
            # On a terminal, each sample overwrites the line; otherwise each has its own line.
            start, end = ("\r\x1b[K", "") if on_terminal else ("", "\n")
            print(start + describe(progress, left), end=end, flush=True)
        if progress.done or time.monotonic() >= ends:
            if on_terminal:
                print()
            return EXIT_OK if progress.done else EXIT_FOUND
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def run(options: argparse.Namespace) -> int:
    """See Command."""
    return run_with_fleet(options, follow)
