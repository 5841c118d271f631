"""The time after which an entry no longer places requests on a replaced version."""

import msgspec


class PlacingLimit(msgspec.Struct, frozen=True):
    """A version of a model, and when requests are no longer placed on older ones.

    Attributes:
      seconds: The time from this report until the entry stops placing requests on older versions;
        zero or less where it has stopped.
      put_off: By how many whole seconds an outage of the store has delayed that.
    """

    model: str
    version: int
    seconds: float
    put_off: int = 0
