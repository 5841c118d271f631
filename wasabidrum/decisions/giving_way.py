"""Decides which connection or unfinished request gives way when there is no room for another one.

Load pattern: clients send most of a request, or nothing, and stay connected. Refusing whoever comes
then would leave the room to those who do not go on.

A request costs what it holds times how long it has held it. One that is sent without a pause ends
soon and costs little. One that stands still, or is sent a byte at a time, costs more with each
second, whatever it announces. Nothing gives way while there is room for all, so that a single slow
upload is served; and nothing within its first second, except to requests that are small.
"""

import dataclasses
import enum
from collections.abc import Sequence

# For how long a connection or a request is left to its client, in seconds.
PROTECTED_SECONDS = 1.0
# A request that holds no more is small: one of a usual size never waits for large ones.
SMALL_BYTES = 65_536


class Stage(enum.IntEnum):
    """How far a connection has come: in the order in which connections are ended for others."""

    UNUSED = 0
    IDLE = 1
    RECEIVING = 2
    ANSWERING = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """What one connection holds.

    Attributes:
      stage: UNUSED until the first byte of its first request, IDLE between two requests, RECEIVING
        until a request was received whole, and ANSWERING until its answer was sent.
      held: Bytes that the request holds.
      age: Seconds since the stage began.
    """

    stage: Stage
    held: int
    age: float

    @property
    def cost(self) -> float:
        """What the request has cost so far, in bytes times seconds."""
        return self.held * self.age


def connection_to_end(holdings: Sequence[Holding]) -> int | None:
    """Returns the index of the connection that ends for a new one.

    That is one from which nothing came, or else the one that was idle for longest, or else the one
    that has been sending the same request for longest.

    Returns:
      None if the new one has to be refused: all others are being answered, or are new themselves.
    """
    best: int | None = None
    for index, holding in enumerate(holdings):
        if holding.stage is Stage.ANSWERING:
            continue
        if holding.stage is not Stage.IDLE and holding.age < PROTECTED_SECONDS:
            continue
        if best is None or order_of_connection(holding) < order_of_connection(holdings[best]):
            best = index
    return best


def order_of_connection(holding: Holding) -> tuple[int, float]:
    """Returns the order in which connections end for others."""
    return holding.stage, -holding.age


def request_to_end(holdings: Sequence[Holding], grown: int) -> int:
    """Returns the index of the unfinished request that gives way, as all hold too much together.

    Args:
      holdings: Those that hold something, all in the stage RECEIVING.
      grown: The index of the one that has received something now.
    """
    protected = [holding.age < PROTECTED_SECONDS for holding in holdings]
    costs = [0.0 if safe else each.cost for each, safe in zip(holdings, protected, strict=True)]
    costliest = max(range(len(holdings)), key=costs.__getitem__)
    if not protected[costliest]:
        return costliest
    if holdings[grown].held > SMALL_BYTES:
        return grown
    return max(range(len(holdings)), key=lambda index: holdings[index].held)
