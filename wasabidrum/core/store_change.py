"""What was read from the platform's store."""

import msgspec


class StoreChange(msgspec.Struct, frozen=True):
    """An item as it is since a revision.

    Attributes:
      value: None where the item is gone.
    """

    key: str
    revision: int
    value: bytes | None


class StoreReading(msgspec.Struct, frozen=True):
    """Items or changes, and the revision from which to watch on."""

    changes: tuple[StoreChange, ...]
    revision: int
