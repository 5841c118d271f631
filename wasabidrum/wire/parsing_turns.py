"""Shares the event loop among connections whose bytes take long to parse.

The library parses what has arrived without giving way for long: a body in chunks of one byte takes
a second for 60 KB, a head of many fields some milliseconds, and each connection may have a request
in each iteration of the event loop. Hundreds of such connections would leave the loop no time for
anything else.
"""

import asyncio
import collections

# Lines of heads and of chunks that are parsed in one iteration of the event loop, about 5 ms.
LINES_PER_ITERATION = 256
# So many lines of chunks are parsed in a turn.
LINES_PER_TURN = 64
# What the head of a request counts at least, in lines, as its handling takes time too.
HEAD_LINES = 16
# The same at a port for metrics and events, whose answers take some milliseconds.
METRICS_LINES = 128


class ParsingTurns:
    """Gives turns in the order in which they are asked for, at once while the loop is not busy."""

    __slots__ = ("_waiting", "_granted", "_scheduled")

    def __init__(self) -> None:
        self._waiting: collections.deque[tuple[asyncio.Future[None], int]] = collections.deque()
        # Lines that may be parsed in this iteration of the event loop.
        self._granted = 0
        self._scheduled = False

    async def wait(self, lines: int) -> None:
        """Waits for a turn to parse some lines."""
        self._schedule()
        if not self._waiting and (not self._granted or self._fits(lines)):
            self._granted += lines
            return
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append((turn, lines))
        await turn

    def _fits(self, lines: int) -> bool:
        return self._granted + lines <= LINES_PER_ITERATION

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._scheduled = False
        self._granted = 0
        while self._waiting and (not self._granted or self._fits(self._waiting[0][1])):
            turn, lines = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                self._granted += lines
        if self._waiting:
            self._schedule()
