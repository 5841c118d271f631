"""Until when an entry places requests on weights that a newer version replaces."""

import msgspec


class PlacingLimit(msgspec.Struct, frozen=True):
    """A version that was named, and when requests are no longer placed on older ones.

    Attributes:
      seconds: From when this was told until the entry places nothing more on older versions; zero
        or less where it has stopped.
      put_off: By how many whole seconds an outage of the store has put that off.
    """

    model: str
    version: int
    seconds: float
    put_off: int = 0
