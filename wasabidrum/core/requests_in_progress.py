"""Counts the requests that a graceful shutdown has to wait for."""

import asyncio
import collections.abc
import contextlib

from . import waiting


class RequestsInProgress:
    """The number of requests that a daemon has started and not finished."""

    __slots__ = ("_count", "_idle")

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """The number of requests in progress."""
        return self._count

    @contextlib.contextmanager
    def track(self) -> collections.abc.Iterator[None]:
        """Counts one request for the duration of a with block."""
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._idle.set()

    async def wait_until_idle(self, seconds: float) -> bool:
        """Waits until no request is in progress; returns whether that was within the time."""
        try:
            await waiting.wait_for(self._idle.wait(), seconds)
        except TimeoutError:
            return False
        return True
