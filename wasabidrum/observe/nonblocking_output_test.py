"""Tests of output to a reader that is slow or has closed the pipe."""

import asyncio
import os
import unittest

from .nonblocking_output import MAX_BACKLOG_BYTES, NonBlockingOutput

LINE = "x" * 999


class NonBlockingOutputTest(unittest.IsolatedAsyncioTestCase):
    """Output to a pipe that the test reads."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.output = NonBlockingOutput(self.writer)

    def tearDown(self) -> None:
        for descriptor in (self.reader, self.writer):
            try:
                os.close(descriptor)
            except OSError:
                continue

    async def test_a_stalled_reader_does_not_block_the_writer(self) -> None:
        """The reader of the daemon's log hangs and the pipe fills. With blocking writes the daemon
        would answer no requests any more."""
        count = 2 * MAX_BACKLOG_BYTES // 1000
        for _ in range(count):
            self.output.write(LINE)
        self.assertGreater(self.output.dropped, count // 3)

    async def test_buffered_lines_arrive_complete_and_in_order(self) -> None:
        lines = [f"{number} {LINE}" for number in range(300)]
        for line in lines:
            self.output.write(line)
        os.set_blocking(self.reader, False)
        content = b""
        async with asyncio.timeout(5.0):
            while content.count(b"\n") < len(lines):
                try:
                    content += os.read(self.reader, 65_536)
                except BlockingIOError:
                    await asyncio.sleep(0.001)
        self.assertEqual(content.decode().splitlines(), lines)
        self.assertEqual(self.output.dropped, 0)

    async def test_a_closed_pipe_drops_lines_without_an_error(self) -> None:
        os.close(self.reader)
        for _ in range(3):
            self.output.write(LINE)
        self.assertEqual(self.output.dropped, 3)
