"""The most recent member updates, which every link reads with a cursor of its own."""

import collections

from ..decisions.member_update import MemberUpdate

MAX_UPDATES = 1024


class UpdateLog:
    """A bounded log of member updates. A link that falls too far behind misses updates, and
    learns of the changes from the members' own streams and the instance list."""

    __slots__ = ("_updates", "_next")

    def __init__(self) -> None:
        self._updates: collections.deque[MemberUpdate] = collections.deque(maxlen=MAX_UPDATES)
        self._next = 0

    def add(self, update: MemberUpdate) -> None:
        """Appends an update."""
        self._updates.append(update)
        self._next += 1

    def after(self, cursor: int, limit: int) -> tuple[int, tuple[MemberUpdate, ...]]:
        """Returns the next cursor, and at most limit updates from the given cursor on."""
        first = self._next - len(self._updates)
        start = max(cursor, first)
        if start >= self._next:
            return self._next, ()
        end = min(self._next, start + limit)
        return end, tuple(self._updates[index - first] for index in range(start, end))
