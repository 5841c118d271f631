"""Runs every test file in a separate process and prints the total counts.

Each file gets a fresh interpreter, so that a task, socket or patched clock leaked by one
cannot change the result of another. Tests listed in KNOWN-RED.txt may fail: they are
run and printed, but not counted as failed.
"""

import concurrent.futures
import pathlib
import re
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
FILES_AT_ONCE = 4
FILE_TIMEOUT_SECONDS = 400
COUNT_LINE = re.compile(r"^COUNT (\d+) (\d+)$", re.MULTILINE)


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


def id_of(test: unittest.TestCase) -> str:
    """Returns the id of a test, or for a subtest the id of the enclosing test."""
    return getattr(test, "test_case", test).id()


def run_module_here(name: str) -> int:
    """Runs one test file in this process and prints its counts, which the parent parses."""
    known_red = read_known_red()
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = unittest.TextTestRunner(verbosity=1, buffer=False).run(suite)
    # A test with several failing subtests has one entry for each, but counts once.
    red = {id_of(test) for test, _ in result.failures + result.errors}
    for test_id in sorted(red):
        print("KNOWN RED" if test_id in known_red else "FAILED", test_id)
    failed = len(red - known_red) + len(result.unexpectedSuccesses)
    print("COUNT", result.testsRun - failed, failed)
    return 0


def run_module(name: str) -> tuple[int, int, str]:
    """Runs one test file in a fresh interpreter.

    Returns:
      The number of tests that passed, the number that failed, and the output. A file
      that prints no count, because it crashed or timed out, counts as one failure.
    """
    command = [sys.executable, "-m", "tests.run", name]
    try:
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=FILE_TIMEOUT_SECONDS
        )
    except subprocess.TimeoutExpired as error:
        return 0, 1, f"{name}: no verdict after {FILE_TIMEOUT_SECONDS} s\n{error.stdout!r}"
    output = done.stdout + done.stderr
    count = COUNT_LINE.search(done.stdout)
    if count is None:
        return 0, 1, f"{name}: printed no count\n{output}"
    return int(count[1]), int(count[2]), output


def main() -> int:
    """Runs the modules named on the command line in this process, or all test files."""
    if len(sys.argv) > 1:
        return max(run_module_here(name) for name in sys.argv[1:])
    passed = failed = 0
    with concurrent.futures.ThreadPoolExecutor(FILES_AT_ONCE) as pool:
        for name, result in zip(
            find_test_modules(), pool.map(run_module, find_test_modules()), strict=True
        ):
            passed += result[0]
            failed += result[1]
            print(f"{name}: {result[0]} passed, {result[1]} failed", flush=True)
            if result[1] or "KNOWN RED" in result[2]:
                print(result[2], flush=True)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
