"""An engine's report of its own state, and the list of the pieces of a version."""

import msgspec


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report of its own state.

    Attributes:
      model: The model that it holds, or empty.
      weights: The version that it answers with, or zero where it holds no complete one.
      busy: Whether an order is in progress.
      orders: How many orders it has accepted since it started.
      running: Requests that hold a slot.
      queued: Requests that wait for a slot.
      pace: By what factor it is slower than its published figures; one means as published.
      started_at: When it started, in Unix milliseconds; zero where unknown.
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
    """The digests of the pieces of a version, in order.

    Attributes:
      corrections: How often digests were replaced because content had shown that they were wrong.
    """

    model: str
    version: int
    piece_bytes: int
    digests: tuple[str, ...]
    corrections: int = 0

    @property
    def order_subject(self) -> str:
        """The subject by which processes are ordered for this version.

        It does not depend on the digests, so that the order is the same at processes that have
        corrected the list and at those that have not.
        """
        return f"{self.model}/{self.version}"
