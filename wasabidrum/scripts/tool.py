"""The operators' tool: checks, renders and bundles the fleet's files, and asks the fleet.

Files are the only way to change the fleet: edit them, check them, and publish the bundle
through the platform's configuration service.
"""

import argparse
import sys

from .command import EXIT_USAGE, Command
from .commands import bundle, check, diff, explain, render, rollout, status

COMMANDS: tuple[Command, ...] = (check, render, diff, bundle, status, explain, rollout)
EPILOG = """exit status:
  0  done, and nothing found to report
  1  findings, differences, or a fleet that is not as the files say
  2  wrong usage
  3  the platform or the daemons could not be reached

`wasabidrum COMMAND --help` explains each command with examples."""


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command line."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(
        prog="wasabidrum", description=__doc__, epilog=EPILOG, formatter_class=raw
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    for command in COMMANDS:
        own = commands.add_parser(
            command.NAME, help=command.HELP, description=command.__doc__, formatter_class=raw
        )
        command.add_arguments(own)
        own.set_defaults(run=command.run)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs one command."""
    options = make_parser().parse_args(arguments)
    try:
        return options.run(options)
    except BrokenPipeError:
        return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
