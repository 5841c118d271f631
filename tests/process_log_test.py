"""The log of a test process: what it tells of a process that was held up."""

import asyncio
import json
import os
import pathlib
import tempfile
import time
import unittest
from unittest import mock

from bench.cluster import KEPT_FOLDER_VARIABLE

from . import process_log

HELD_UP_SECONDS = 0.3
# Lines give milliseconds.
ROUNDING_SECONDS = 0.001


class LoopWatchTest(unittest.TestCase):
    """Guards against red tests whose own process was late without a trace of it."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.enterContext(mock.patch.dict(os.environ, {KEPT_FOLDER_VARIABLE: folder}))
        process_log.log_path.cache_clear()
        self.addCleanup(process_log.log_path.cache_clear)
        self.path = pathlib.Path(process_log.log_path())

    def lags_after(self, hold_up) -> list[dict]:
        """Runs a loop that is held up by a call; returns the lags that were logged."""

        async def work() -> None:
            await asyncio.sleep(2 * process_log.BEAT_SECONDS)
            hold_up()
            await asyncio.sleep(2 * process_log.BEAT_SECONDS)

        loop = process_log.WatchedLoopPolicy().new_event_loop()
        loop.run_until_complete(work())
        loop.close()
        if not self.path.exists():
            return []
        lines = [json.loads(line) for line in self.path.read_text().splitlines()]
        return [line for line in lines if line["event"] == "loop_lagged"]

    def test_time_without_processor_is_told_from_work(self) -> None:
        def work() -> None:
            ends = time.process_time() + HELD_UP_SECONDS
            while time.process_time() < ends:
                pass

        # On a busy machine the loop may be late before and after the call as well.
        waits = self.lags_after(lambda: time.sleep(HELD_UP_SECONDS))
        longest = max(waits, key=lambda line: line["lag"])
        # The call may begin right after a beat was scheduled.
        least = HELD_UP_SECONDS - process_log.BEAT_SECONDS - ROUNDING_SECONDS
        self.assertGreaterEqual(longest["lag"], least)
        self.assertLess(longest["processor_seconds"], HELD_UP_SECONDS / 2)
        works = self.lags_after(work)
        self.assertGreaterEqual(
            max(line["processor_seconds"] for line in works), HELD_UP_SECONDS - ROUNDING_SECONDS
        )

    def test_nothing_is_written_where_logs_are_not_kept(self) -> None:
        with mock.patch.dict(os.environ):
            del os.environ[KEPT_FOLDER_VARIABLE]
            process_log.log_path.cache_clear()
            self.assertEqual(process_log.log_path(), os.devnull)
            self.assertIs(process_log.start(), unittest.TextTestResult)


if __name__ == "__main__":
    unittest.main()
