"""Limits the requests that one entry holds at once, over all models and services.

Load pattern: a burst of requests for generated text fills the entry's memory and sockets. A
charge for an idle service is then refused, or its connection never accepted, because the entry
itself has no room.

All waiting and running requests count against one limit. Generated text may not use the last
two tenths of it, and reads not the last tenth.
"""

MAX_IN_PROGRESS = 2000
RESERVED_FRACTION = 0.1


class InProgressLimit:
    """Counts the requests that an entry holds, and admits more by priority class."""

    __slots__ = ("_in_progress", "_limit")

    def __init__(self, limit: int = MAX_IN_PROGRESS) -> None:
        self._in_progress = 0
        self._limit = limit

    @property
    def in_progress(self) -> int:
        """How many requests are waiting or running."""
        return self._in_progress

    def acquire(self, priority: int) -> bool:
        """Adds a request of a priority class; returns whether there was room for it."""
        if self._in_progress >= self._limit * (1.0 - RESERVED_FRACTION * priority):
            return False
        self._in_progress += 1
        return True

    def release(self) -> None:
        """Removes a request that has ended."""
        self._in_progress -= 1
