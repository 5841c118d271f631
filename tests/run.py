"""Runs every test file in a separate process and prints the total counts.

Each file gets a fresh interpreter, so that a task, socket or patched clock leaked by one
cannot change the result of another. Tests listed in KNOWN-RED.txt are run and printed, and
counted by themselves: they are neither passed nor failed. Files named on the command line run
in this process, and there a red test fails the run whether it is listed or not. The files under
tests/crowds/ run one at a time after all others, as what they start fills a process to its limits.
"""

import concurrent.futures
import pathlib
import re
import subprocess
import sys
import unittest
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from . import process_log

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
FILES_AT_ONCE = 4
FILE_TIMEOUT_SECONDS = 400
COUNT_LINE = re.compile(r"^COUNT (\d+) (\d+) (\d+)$", re.MULTILINE)


class Counts(NamedTuple):
    """How many tests passed, failed, and failed while they are listed in KNOWN-RED.txt."""

    passed: int = 0
    failed: int = 0
    known_red: int = 0

    def add(self, other: "Counts") -> "Counts":
        """Returns the sums of both."""
        return Counts(*(mine + its for mine, its in zip(self, other, strict=True)))


def read_known_red() -> frozenset[str]:
    """Returns the ids of the tests that may fail: the text of each line up to the first comma."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return frozenset(line.split(",")[0].strip() for line in lines if line.strip())


def find_test_modules() -> list[str]:
    """Returns the dotted names of all test files, those under tests/ first."""
    paths = sorted(ROOT.glob("tests/*_test.py")) + sorted(
        path
        for folder in ("wasabidrum", "standins", "bench")
        for path in ROOT.glob(folder + "/**/*_test.py")
    )
    return [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]


def find_crowd_modules() -> list[str]:
    """Returns the dotted names of the test files beside which nothing else runs."""
    paths = sorted(ROOT.glob("tests/crowds/*_test.py"))
    return [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]


def id_of(test: unittest.TestCase) -> str:
    """Returns the id of a test, or for a subtest the id of the enclosing test."""
    return getattr(test, "test_case", test).id()


def run_module_here(name: str, known_red: frozenset[str]) -> Counts:
    """Runs one test file in this process and prints its counts, which the parent parses."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    runner = unittest.TextTestRunner(verbosity=1, resultclass=process_log.start())
    result = runner.run(suite)
    # A test with several failing subtests has one entry for each, but counts once.
    red = {id_of(test) for test, _ in result.failures + result.errors}
    red |= {id_of(test) for test in result.unexpectedSuccesses}
    for test_id in sorted(red):
        print("KNOWN RED" if test_id in known_red else "FAILED", test_id)
    listed = len(red & known_red)
    # The id of a failed class or module fixture is red, but it is no test that ran.
    counts = Counts(max(result.testsRun - len(red), 0), len(red) - listed, listed)
    print("COUNT", *counts, flush=True)
    return counts


def run_module(name: str) -> tuple[Counts, str]:
    """Runs one test file in a fresh interpreter.

    Returns:
      The counts and the output. A file that prints no count, because it crashed or
      timed out, counts as one failure.
    """
    command = [sys.executable, "-m", "tests.run", name]
    try:
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=FILE_TIMEOUT_SECONDS
        )
    except subprocess.TimeoutExpired as error:
        text = f"{name}: no verdict after {FILE_TIMEOUT_SECONDS} s\n{error.stdout!r}"
        return Counts(failed=1), text
    output = done.stdout + done.stderr
    count = COUNT_LINE.search(done.stdout)
    if count is None:
        return Counts(failed=1), f"{name}: printed no count\n{output}"
    return Counts(*map(int, count.groups())), output


def run_here(names: Sequence[str], known_red: frozenset[str]) -> int:
    """Runs the named files in this process; returns 1 where a test is red or none ran."""
    total = Counts()
    for name in names:
        total = total.add(run_module_here(name, known_red))
    return 1 if total.failed or total.known_red or not total.passed else 0


def report(names: Sequence[str], runs: Iterable[tuple[Counts, str]]) -> Counts:
    """Prints the result of each file as it comes, and the output of red ones; returns the sums."""
    total = Counts()
    for name, (counts, output) in zip(names, runs, strict=True):
        total = total.add(counts)
        print(f"{name}: {counts.passed} passed, {counts.failed} failed", flush=True)
        if counts.failed or counts.known_red:
            print(output, flush=True)
    return total


def run_all() -> int:
    """Runs all test files in processes of their own; returns 1 where an unlisted test is red."""
    names = find_test_modules()
    with concurrent.futures.ThreadPoolExecutor(FILES_AT_ONCE) as pool:
        total = report(names, pool.map(run_module, names))
    crowds = find_crowd_modules()
    total = total.add(report(crowds, map(run_module, crowds)))
    print(f"known red: {total.known_red}")
    print(f"{total.passed} passed, {total.failed} failed")
    return 1 if total.failed or not total.passed else 0


def main() -> int:
    """Runs the files named on the command line, or all test files."""
    if len(sys.argv) > 1:
        return run_here(sys.argv[1:], read_known_red())
    return run_all()


if __name__ == "__main__":
    sys.exit(main())
