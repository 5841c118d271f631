"""Writes lines to a descriptor without ever waiting for whoever reads it."""

import asyncio
import os

# What is kept for a reader that is slow for a moment: some thousand lines.
LARGEST_BACKLOG_BYTES = 1_048_576


class BoundedOutput:
    """Lines that wait for their reader, up to a bound; what comes beyond is dropped and counted.

    A reader of standard output that stops would otherwise stop the daemon with it: the pipe is
    full after some hundred lines, the next write waits, and no request is answered any more.

    Attributes:
      dropped: Lines that were dropped.
    """

    __slots__ = ("_descriptor", "_backlog", "_size", "_waiting", "dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._backlog: list[bytes] = []
        self._size = 0
        self._waiting = False
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes one line, or keeps it, or drops it."""
        content = line.encode() + b"\n"
        if not self._backlog:
            content = self._write_some(content)
            if not content:
                return
        elif self._size + len(content) > LARGEST_BACKLOG_BYTES:
            self.dropped += 1
            return
        self._backlog.append(content)
        self._size += len(content)
        self._wait_for_reader()

    def _write_some(self, content: bytes) -> bytes:
        """Returns what could not be written now."""
        try:
            return content[os.write(self._descriptor, content) :]
        except BlockingIOError:
            return content
        except OSError:
            # Nobody reads any more, and nobody could be told of it.
            self.dropped += 1
            return b""

    def _wait_for_reader(self) -> None:
        if self._waiting:
            return
        try:
            asyncio.get_running_loop().add_writer(self._descriptor, self._flush)
        except (RuntimeError, OSError):
            return
        self._waiting = True

    def _flush(self) -> None:
        content = self._write_some(b"".join(self._backlog))
        self._backlog = [content] if content else []
        self._size = len(content)
        if not content:
            self._waiting = False
            asyncio.get_running_loop().remove_writer(self._descriptor)
