"""The test runner: what a red test does to its exit status and to its counts."""

import contextlib
import io
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest
import unittest.mock

from . import run

PROBE = """
import unittest


class Probe(unittest.TestCase):
    def test_green(self):
        pass

    def test_other(self):
        self.assertEqual({other}, 1)
"""


class RunnerTest(unittest.TestCase):
    """Guards against red runs that are counted as green."""

    def setUp(self) -> None:
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        sys.path.insert(0, str(self.folder))
        self.addCleanup(sys.path.remove, str(self.folder))
        self.output = io.StringIO()

    def write_probe(self, name: str, other: int) -> None:
        (self.folder / f"{name}.py").write_text(PROBE.format(other=other))

    def run_process(self, *names: str) -> subprocess.CompletedProcess[str]:
        """Runs files by name, as one does by hand."""
        return subprocess.run(
            [sys.executable, "-m", "tests.run", *names],
            cwd=run.ROOT,
            env={**os.environ, "PYTHONPATH": str(self.folder)},
            capture_output=True,
            text=True,
        )

    def run_here(self, name: str, known_red: frozenset[str]) -> int:
        with contextlib.redirect_stdout(self.output), contextlib.redirect_stderr(io.StringIO()):
            return run.run_here([name], known_red)

    def test_named_file_with_red_test_exits_with_an_error(self) -> None:
        """Guards against a red file that exits with 0, also where a green one follows it."""
        self.write_probe("probe_red", 0)
        self.write_probe("probe_green", 1)
        self.assertEqual(self.run_process("probe_green").returncode, 0)
        self.assertEqual(self.run_process("probe_red").returncode, 1)
        self.assertEqual(self.run_process("probe_red", "probe_green").returncode, 1)

    def test_listed_test_that_is_red_is_no_pass(self) -> None:
        """Guards against a listed test that is red and counted among the passed."""
        self.write_probe("probe_listed", 0)
        status = self.run_here("probe_listed", frozenset({"probe_listed.Probe.test_other"}))
        self.assertIn("KNOWN RED probe_listed.Probe.test_other", self.output.getvalue())
        self.assertIn("COUNT 1 0 1\n", self.output.getvalue())
        self.assertEqual(status, 1)

    def test_listed_test_that_is_green_is_a_pass(self) -> None:
        """Guards against a list that hides a pass."""
        self.write_probe("probe_mended", 1)
        status = self.run_here("probe_mended", frozenset({"probe_mended.Probe.test_other"}))
        self.assertIn("COUNT 2 0 0\n", self.output.getvalue())
        self.assertEqual(status, 0)

    def test_whole_run_passes_over_listed_tests_only(self) -> None:
        """Guards against a whole run that is red for a listed test, or green for another."""
        for counts, status in (
            (run.Counts(passed=2), 0),
            (run.Counts(passed=1, known_red=1), 0),
            (run.Counts(passed=1, failed=1), 1),
            (run.Counts(), 1),
        ):
            with (
                self.subTest(counts),
                unittest.mock.patch.object(run, "find_test_modules", return_value=["one"]),
                unittest.mock.patch.object(run, "run_module", return_value=(counts, "")),
                contextlib.redirect_stdout(self.output),
            ):
                self.assertEqual(run.run_all(), status)

    def test_name_of_no_test_file_exits_with_an_error(self) -> None:
        """Guards against a misspelt name that counts as a green run."""
        self.assertNotEqual(self.run_process("probe_that_does_not_exist").returncode, 0)


if __name__ == "__main__":
    unittest.main()
