"""Tests of explaining a request from log files."""

import argparse
import contextlib
import io
import json
import tempfile
import unittest

from ..command import EXIT_FOUND, EXIT_OK, EXIT_USAGE
from . import explain

PLACED = {"t": 2.0, "n": 2001, "event": "request_placed", "daemon": "e1", "request": "r1", "x": 1}
REFUSED = {"t": 1.0, "n": 2002, "event": "request_refused", "daemon": "e2", "request": "r1"}
OTHER = {"t": 1.5, "n": 2001, "event": "request_placed", "daemon": "e1", "request": "r11"}


class ExplainLogsTest(unittest.TestCase):
    """Log lines with the prefixes that a log collector adds, and broken ones."""

    def explain(self, request_id: str, *lines: str) -> tuple[int, list[str]]:
        """Runs the command on a file with the given lines."""
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write("\n".join(lines))
            file.flush()
            options = argparse.Namespace(request_id=request_id, log=[file.name], json=False)
            printed = io.StringIO()
            with contextlib.redirect_stdout(printed):
                status = explain.run(options)
        return status, printed.getvalue().splitlines()

    def test_prints_only_the_events_of_the_request_ordered_by_time(self) -> None:
        lines = (f"  12.5 e1 {json.dumps(PLACED)}", json.dumps(OTHER), json.dumps(REFUSED))
        status, printed = self.explain("r1", *lines)
        self.assertEqual(status, EXIT_OK)
        self.assertEqual(
            [line.split()[2] for line in printed], ["request_refused", "request_placed"]
        )
        self.assertIn("x=1", printed[1])

    def test_broken_lines_are_skipped(self) -> None:
        """A log is truncated in the middle of a line when a process is killed. The other lines
        must still be read."""
        complete = json.dumps(PLACED)
        status, printed = self.explain("r1", complete[:40], "r1 {", "", complete)
        self.assertEqual((status, len(printed)), (EXIT_OK, 1))

    def test_a_request_without_events_gives_the_status_not_found(self) -> None:
        self.assertEqual(self.explain("r2", json.dumps(PLACED))[0], EXIT_FOUND)

    def test_an_unreadable_file_gives_the_status_usage(self) -> None:
        options = argparse.Namespace(request_id="r1", log=["/nowhere/at/all"], json=False)
        with contextlib.redirect_stderr(io.StringIO()):
            self.assertEqual(explain.run(options), EXIT_USAGE)
