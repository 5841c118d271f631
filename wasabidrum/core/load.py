"""What an endpoint reports of its load."""

import msgspec


class Load(msgspec.Struct, frozen=True):
    """Load of one endpoint, reported late.

    Attributes:
      running: Requests that hold a slot.
      waiting: Requests that wait for a slot.
      slots: Requests that can run at once.
      tokens_per_second: What the endpoint generated lately, summed over its requests.
      pace: How much slower than published the endpoint works; one is as published.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1
    tokens_per_second: float = 0.0
    pace: float = 1.0
