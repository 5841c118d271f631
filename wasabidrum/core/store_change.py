"""Items and changes read from the platform's store."""

import msgspec


class StoreChange(msgspec.Struct, frozen=True):
    """An item, or its removal, and the revision of that change.

    Attributes:
      value: The content, or None where the item was removed.
    """

    key: str
    revision: int
    value: bytes | None


class StoreReading(msgspec.Struct, frozen=True):
    """Items or changes, and the revision after which to continue with a watch.

    Attributes:
      epoch: Counts how often the store was restored from a copy, after which revisions are given
        out again; zero where the store does not state it.
    """

    changes: tuple[StoreChange, ...]
    revision: int
    epoch: int = 0
