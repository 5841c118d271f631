"""Non-blocking line output to a file descriptor, with a bounded backlog."""

import asyncio
import os

# Room for some thousand lines, for a reader that is slow for a moment.
MAX_BACKLOG_BYTES = 1_048_576


class NonBlockingOutput:
    """Writes lines without blocking; buffers up to a limit, and drops and counts lines beyond it.

    With blocking writes, a reader of standard output that stops would stop the daemon: the pipe
    is full after some hundred lines, the next write blocks, and no request is answered any more.

    Attributes:
      dropped: The number of dropped lines.
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
        """Writes a line, buffers it, or drops it if the backlog is full."""
        content = line.encode() + b"\n"
        if not self._backlog:
            content = self._write_some(content)
            if not content:
                return
        elif self._size + len(content) > MAX_BACKLOG_BYTES:
            self.dropped += 1
            return
        self._backlog.append(content)
        self._size += len(content)
        self._wait_for_reader()

    def _write_some(self, content: bytes) -> bytes:
        """Writes as much as possible; returns the rest."""
        try:
            return content[os.write(self._descriptor, content) :]
        except BlockingIOError:
            return content
        except OSError:
            # The reader has closed the descriptor, and the error cannot be logged anywhere.
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
