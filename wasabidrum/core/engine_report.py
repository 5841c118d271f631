"""What an engine says of itself, and what a list of weights says of a version."""

import msgspec


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's own account.

    Attributes:
      model: The model that it holds, empty for none.
      weights: The version that it answers with, zero where it holds no whole one.
      busy: An order is in progress.
      orders: How many orders it has accepted since it started.
      running: Requests that hold a slot.
      queued: Requests that wait for one.
      pace: How much slower than published it works; one is as published.
      started_at: Unix milliseconds of its start; zero where it was not told.
    """

    model: str = ""
    weights: int = 0
    busy: bool = False
    orders: int = 0
    running: int = 0
    queued: int = 0
    pace: float = 1.0
    started_at: int = 0


class PieceList(msgspec.Struct, frozen=True):
    """The digests of a version's pieces, in order."""

    model: str
    version: int
    piece_bytes: int
    digests: tuple[str, ...]
