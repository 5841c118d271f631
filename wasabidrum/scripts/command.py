"""The seam between the tool and its commands."""

import argparse
import typing

EXIT_OK = 0
EXIT_FOUND = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


class Command(typing.Protocol):
    """One command of the tool: a module with these names.

    Attributes:
      NAME: The word on the command line.
      HELP: One line for the list of commands.
    """

    NAME: str
    HELP: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declares the command's options; its description and examples come from its module."""

    def run(self, options: argparse.Namespace) -> int:
        """Runs the command and returns the exit status."""
