"""The log of a test process: its tests, the daemons that run inside it, and its event loop's lag.

It is kept where WASABIDRUM_KEEP_LOGS names a folder, in one file for each process. A test that
plays caller, entry and engine in one process is late at all three when that process is late. The
log shows for how long, and whether the process used the processor meanwhile or waited for it.
"""

import asyncio
import functools
import json
import os
import pathlib
import shutil
import time
import unittest

from bench.cluster import KEPT_FOLDER_VARIABLE

BEAT_SECONDS = 0.05
MIN_LAG_SECONDS = 0.1


@functools.cache
def log_path() -> str:
    """Returns the log file of this process, or /dev/null where logs are not kept."""
    folder = os.environ.get(KEPT_FOLDER_VARIABLE)
    if not folder:
        return os.devnull
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    return str(pathlib.Path(folder) / f"process-{os.getpid()}.log")


def write_line(event: str, **facts: object) -> None:
    """Writes a line in the format of a daemon's log."""
    line = {"t": round(time.time(), 3), "event": event, "daemon": "test"} | facts
    with open(log_path(), "a", encoding="utf-8") as log:
        log.write(json.dumps(line) + "\n")


def keep_folder(folder: pathlib.Path) -> None:
    """Copies the logs of the processes of a play to where logs are kept, if they are."""
    if kept := os.environ.get(KEPT_FOLDER_VARIABLE):
        shutil.copytree(folder, pathlib.Path(kept) / folder.name)


class LoopWatch:
    """Writes a line whenever an event loop runs its timers late."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._due = 0.0
        self._processor_seconds = 0.0
        loop.call_soon(self._schedule)

    def _schedule(self) -> None:
        self._due = self._loop.time() + BEAT_SECONDS
        self._processor_seconds = time.process_time()
        self._loop.call_at(self._due, self._beat)

    def _beat(self) -> None:
        lag = self._loop.time() - self._due
        if lag > MIN_LAG_SECONDS:
            used = time.process_time() - self._processor_seconds
            write_line("loop_lagged", lag=round(lag, 3), processor_seconds=round(used, 3))
        self._schedule()


class WatchedLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes event loops whose lag is logged."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Returns a new event loop."""
        loop = super().new_event_loop()
        LoopWatch(loop)
        return loop


class LoggedResult(unittest.TextTestResult):
    """A test result that logs when each test starts and how it ends."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Logs the start of a test."""
        write_line("test_started", test=test.id())
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Logs the end of a test."""
        red = any(test is failed for failed, _ in self.failures + self.errors)
        write_line("test_ended", test=test.id(), red=red)
        super().stopTest(test)


def start() -> type[unittest.TextTestResult]:
    """Starts the log if logs are kept; returns the type of result to run tests with."""
    if log_path() == os.devnull:
        return unittest.TextTestResult
    asyncio.set_event_loop_policy(WatchedLoopPolicy())
    return LoggedResult
