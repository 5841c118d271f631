"""Shares the event loop among connections whose bytes take long to parse.

The library parses what has arrived without giving way for long: a body in chunks of one byte takes
a second for 60 KB, a head of many fields some milliseconds. Hundreds of such connections would
leave the loop no time for anything else.
"""

import asyncio
import collections

# Lines of heads and of chunks that are parsed in one iteration of the event loop, about 5 ms.
LINES_PER_ITERATION = 256
# So many lines of chunks are parsed in a turn.
LINES_PER_TURN = 64
# Heads of fewer lines wait for no turn.
FREE_HEAD_LINES = 100


class ParsingTurns:
    """Gives turns in the order in which they are asked for."""

    __slots__ = ("_waiting", "_granting")

    def __init__(self) -> None:
        self._waiting: collections.deque[tuple[asyncio.Future[None], int]] = collections.deque()
        self._granting = False

    async def wait(self, lines: int) -> None:
        """Waits for a turn to parse some lines."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append((turn, lines))
        if not self._granting:
            self._granting = True
            loop.call_soon(self._grant)
        await turn

    def _grant(self) -> None:
        granted = 0
        while self._waiting and granted < LINES_PER_ITERATION:
            turn, lines = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                granted += lines
        self._granting = bool(self._waiting)
        if self._granting:
            asyncio.get_running_loop().call_soon(self._grant)
