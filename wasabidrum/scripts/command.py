"""The interface between the tool and its commands."""

import argparse
import typing

EXIT_OK = 0
EXIT_FOUND = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


class Command(typing.Protocol):
    """One command of the tool, implemented by a module with these names.

    Attributes:
      NAME: The name of the command on the command line.
      HELP: A line of help for the list of commands.
    """

    NAME: str
    HELP: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declares the options; the description and examples are the module's docstring."""

    def run(self, options: argparse.Namespace) -> int:
        """Runs the command and returns the exit status."""
