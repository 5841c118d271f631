"""The latest state of each item of the platform's store, for entries that cannot read it."""

import collections.abc

from ..core.store_change import StoreChange

# Room for the endpoints of a fleet of the size planned for two years ahead, and as many removals.
# Above it, the oldest removals are forgotten.
MAX_ITEMS = 4096


class KeptItems:
    """Items and removed ones by key, all of one epoch of the store."""

    __slots__ = ("_items", "_history_start")

    def __init__(self) -> None:
        self._items: dict[str, StoreChange] = {}
        # Changes up to this revision may be missing.
        self._history_start = 0

    def clear(self) -> None:
        """Forgets all items, whose revisions are given out again."""
        self._items.clear()

    def add(self, change: StoreChange) -> None:
        """Keeps an item or its removal, unless a newer one is known."""
        known = self._items.get(change.key)
        if known is not None and known.revision >= change.revision:
            return
        # Reinserted at the end, so that the oldest removals come first and can be forgotten.
        self._items.pop(change.key, None)
        self._items[change.key] = change
        if len(self._items) > MAX_ITEMS:
            oldest = next((key for key, item in self._items.items() if item.value is None), None)
            if oldest is not None:
                self._history_start = max(self._history_start, self._items.pop(oldest).revision)

    def apply_listing(self, listed: collections.abc.Collection[str], revision: int) -> None:
        """Forgets what a snapshot of a revision does not list, save for later items."""
        self._items = {
            key: item
            for key, item in self._items.items()
            if key in listed or item.revision > revision
        }
        self._history_start = revision

    def all(self) -> list[StoreChange]:
        """Returns all items that were not removed."""
        return [change for change in self._items.values() if change.value is not None]

    def changes_after(self, revision: int) -> list[StoreChange] | None:
        """Returns the changes after a revision; None if some of them may be missing."""
        if revision < self._history_start or not revision:
            return None
        return [change for change in self._items.values() if change.revision > revision]

    def count_newer(self, changes: collections.abc.Iterable[StoreChange]) -> int:
        """Returns how many items are known under a higher revision than in a snapshot."""
        known = ((self._items.get(change.key), change) for change in changes)
        return sum(item is not None and item.revision > change.revision for item, change in known)
