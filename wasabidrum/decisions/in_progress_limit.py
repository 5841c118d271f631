"""How much one entry holds at once, over all models and services.

Load pattern: a flood of requests for text fills the entry's memory and its sockets; a charge
for an idle service is then refused, or never accepted, for want of room in the entry itself.

All that wait or run are counted against one bound, of which generated text may not use the
last two tenths and reads not the last tenth.
"""

MOST_IN_PROGRESS = 2000
RESERVED_FRACTION = 0.1


class InProgressLimit:
    """Requests that an entry holds, by class."""

    __slots__ = ("_held", "_most")

    def __init__(self, most: int = MOST_IN_PROGRESS) -> None:
        self._held = 0
        self._most = most

    @property
    def held(self) -> int:
        """How many requests wait or run."""
        return self._held

    def take(self, priority: int) -> bool:
        """Takes room for one request of a class; returns whether there was any."""
        if self._held >= self._most * (1.0 - RESERVED_FRACTION * priority):
            return False
        self._held += 1
        return True

    def give_back(self) -> None:
        """Gives back what one request took."""
        self._held -= 1
