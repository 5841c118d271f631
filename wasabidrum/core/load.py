"""The load that an endpoint reports."""

import msgspec


class Load(msgspec.Struct, frozen=True):
    """The load of one endpoint, as of a somewhat earlier time.

    Attributes:
      running: Requests that hold a slot.
      waiting: Requests that wait for a slot.
      slots: The maximum number of requests that run at once.
      tokens_per_second: The recent rate of generation, summed over its requests.
      pace: By what factor it is slower than its published figures; one means as published.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1
    tokens_per_second: float = 0.0
    pace: float = 1.0
