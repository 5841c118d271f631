"""What all servers of a process hold of requests, and who gives way when that is too much."""

import asyncio
import typing

from ..decisions import giving_way
from ..decisions.giving_way import SMALL_BYTES, Holding
from .parsing_turns import ParsingTurns

# Large requests may take this fraction of the room for whole ones, so that others never wait for
# them.
LARGE_FRACTION = 0.5
# A request that is alone may take so many times the room.
ALONE_FACTOR = 2


class HoldsRequest(typing.Protocol):
    """A connection that holds a request."""

    def holding(self, now: float) -> Holding:
        """Returns what it holds."""

    def give_way(self, holding: Holding) -> None:
        """Refuses the request, and holds nothing any more."""


class RequestRoom:
    """Counts what is held of requests.

    Attributes:
      unfinished: Bytes of those that were not received whole.
      whole: Bytes of those that were, and have no answer yet.
      turns: Shares the event loop among connections that take long to parse.
      gave_way: How many were refused to make room for others, or because there was none.
    """

    def __init__(self, max_unfinished: int, max_whole: int) -> None:
        """Creates an empty room.

        Args:
          max_unfinished: The most bytes of requests that were not received whole.
          max_whole: The most bytes of those that were.
        """
        self.unfinished = 0
        self.whole = 0
        self.gave_way = 0
        self.turns = ParsingTurns()
        self._max_unfinished = max_unfinished
        self._max_whole = max_whole
        self._holders: dict[HoldsRequest, None] = {}

    def grow(self, holder: HoldsRequest, count: int) -> None:
        """Counts bytes of an unfinished request; requests give way if there are too many."""
        self.unfinished += count
        self._holders[holder] = None
        while self.unfinished > self._allowed:
            now = asyncio.get_running_loop().time()
            holders = list(self._holders)
            holdings = [each.holding(now) for each in holders]
            index = giving_way.request_to_end(holdings, holders.index(holder))
            self.gave_way += 1
            holders[index].give_way(holdings[index])
            if holders[index] is holder:
                return

    @property
    def _allowed(self) -> int:
        # A body of legal size that is alone is served in calm, also where it exceeds the room.
        return self._max_unfinished * (ALONE_FACTOR if len(self._holders) == 1 else 1)

    def release(self, holder: HoldsRequest, count: int) -> None:
        """Takes an unfinished request from the account.

        Args:
          count: All bytes that were counted for it.
        """
        self.unfinished -= count
        self._holders.pop(holder, None)

    def admit_whole(self, size: int) -> bool:
        """Counts a whole request if there is room for it; returns whether there is.

        Args:
          size: The bytes that it holds until it is answered.
        """
        fraction = LARGE_FRACTION if size > SMALL_BYTES else 1.0
        if self.whole and self.whole + size > fraction * self._max_whole:
            self.gave_way += 1
            return False
        self.whole += size
        return True

    def release_whole(self, size: int) -> None:
        """Takes a whole request from the account."""
        self.whole -= size
