"""Items and changes read from the platform's store."""

import typing

import msgspec

# The epoch of an answer that states none.
NO_EPOCH = -1


class StoreChange(msgspec.Struct, frozen=True):
    """An item, or its removal, and the revision of that change.

    Attributes:
      value: The content, or None where the item was removed.
    """

    key: str
    revision: int
    value: bytes | None


class StorePosition(typing.NamedTuple):
    """Up to where the store's changes are known; positions are ordered by epoch, then revision.

    Attributes:
      epoch: Counts how often the store was restored from a copy, after which revisions are given
        out again; zero before the first that the store states.
    """

    epoch: int
    revision: int


class StoreReading(msgspec.Struct, frozen=True):
    """Items or changes, and the revision after which to continue with a watch.

    Attributes:
      epoch: That of the revisions, see StorePosition; NO_EPOCH where the store states none.
    """

    changes: tuple[StoreChange, ...]
    revision: int
    epoch: int = NO_EPOCH
