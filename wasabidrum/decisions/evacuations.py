"""Which data centres are evacuated, from the operator's keys in the platform's store.

Load pattern: an operator is about to shut down a data centre, and wants its endpoints to become
idle while callers keep coming to all entries. Entries learn of the key from the store or from each
other, in any order: a read or an answer that was under way may be older than what is known already,
and an item may arrive several times. If an old one were applied, a data centre would get requests
again while it is being shut down, or would stay unused afterwards. Each item is therefore applied
only if it is newer than the last one of its data centre, by the store's revisions. A store that is
restored from a copy gives them out again, and then decides anew. An evacuation that the copy lacks
goes on for a moment, in which the operator may write it again, and then ends.

A key that names no data centre of the settings, or whose value is no JSON object, changes nothing:
an evacuation that is in force continues until its key is removed.
"""

import collections.abc
import dataclasses
import enum
import typing

from ..core.decoding import decode_json
from ..core.errors import CodedError

RESTORED_GRACE_SECONDS = 1.5


class EvacuationChange(enum.Enum):
    """What an item of the store has changed."""

    NOTHING = "nothing"
    BEGAN = "began"
    ENDED = "ended"
    UNKNOWN_NAME = "unknown name"
    NO_OBJECT = "no JSON object"


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known of one data centre.

    Attributes:
      revision: The store's revision of the last item that was applied.
      since: Since when it is evacuated; None if it is not.
      ended_at: When its last evacuation ended; None without one.
      lapses_at: When its evacuation ends because a restored store lacks it; None otherwise.
    """

    revision: int = 0
    since: float | None = None
    ended_at: float | None = None
    lapses_at: float | None = None


class Evacuations:
    """The evacuated data centres, as one entry knows them; all times are of the boot clock."""

    __slots__ = ("_known", "_refused")

    def __init__(self, data_centres: collections.abc.Iterable[str]) -> None:
        """Initializes the set.

        Args:
          data_centres: The data centres of the settings.
        """
        self._known = {name: _Known() for name in data_centres}
        # The revisions of the keys that name no data centre.
        self._refused: dict[str, int] = {}

    @property
    def count(self) -> int:
        """The number of evacuated data centres."""
        return sum(known.since is not None for known in self._known.values())

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether nothing may be sent to the endpoints of a data centre."""
        return self.since(data_centre) is not None

    def since(self, data_centre: str) -> float | None:
        """Returns since when a data centre is evacuated; None if it is not."""
        known = self._known.get(data_centre)
        return known.since if known is not None else None

    def ended_at(self, data_centre: str) -> float | None:
        """Returns when the last evacuation of a data centre ended; None without one."""
        known = self._known.get(data_centre)
        return known.ended_at if known is not None else None

    def begin_epoch(self, now: float) -> None:
        """Prepares for the first snapshot of a restored store, whose revisions start over."""
        for known in self._known.values():
            known.revision = 0
            known.lapses_at = None if known.since is None else now + RESTORED_GRACE_SECONDS
        self._refused.clear()

    def expire(self, now: float) -> list[str]:
        """Ends the evacuations that a restored store lacks and that were not written again.

        Returns:
          The data centres whose evacuations have ended.
        """
        ended = []
        for name, known in self._known.items():
            if known.lapses_at is not None and now >= known.lapses_at:
                self._end(known, now)
                ended.append(name)
        return ended

    def apply(
        self, data_centre: str, value: bytes | None, revision: int, now: float
    ) -> EvacuationChange:
        """Applies the item of a data centre.

        Args:
          value: None if the item was removed.
          revision: The store's revision of the item.
        """
        known = self._known.get(data_centre)
        if known is None:
            return self._apply_unknown(data_centre, value, revision)
        if revision <= known.revision:
            return EvacuationChange.NOTHING
        known.revision = revision
        if value is None:
            return self._end(known, now)
        known.lapses_at = None
        if not is_json_object(value):
            return EvacuationChange.NO_OBJECT
        if known.since is not None:
            return EvacuationChange.NOTHING
        known.since = now
        return EvacuationChange.BEGAN

    def apply_listing(
        self, listed: collections.abc.Collection[str], revision: int, now: float
    ) -> list[str]:
        """Applies which data centres have an item, as a full snapshot of the store lists them.

        Args:
          revision: The snapshot's revision; it says nothing about later items.

        Returns:
          The data centres whose evacuations have ended.
        """
        self._refused = {name: kept for name, kept in self._refused.items() if name in listed}
        ended = []
        for name, known in self._known.items():
            if name in listed or known.revision > revision or known.lapses_at is not None:
                continue
            known.revision = revision
            if self._end(known, now) is EvacuationChange.ENDED:
                ended.append(name)
        return ended

    def _apply_unknown(self, name: str, value: bytes | None, revision: int) -> EvacuationChange:
        if value is None:
            self._refused.pop(name, None)
            return EvacuationChange.NOTHING
        if revision <= self._refused.get(name, 0):
            return EvacuationChange.NOTHING
        self._refused[name] = revision
        return EvacuationChange.UNKNOWN_NAME

    def _end(self, known: _Known, now: float) -> EvacuationChange:
        if known.since is None:
            return EvacuationChange.NOTHING
        known.since, known.ended_at, known.lapses_at = None, now, None
        return EvacuationChange.ENDED


def is_json_object(value: bytes) -> bool:
    """Returns whether a value is a JSON object."""
    try:
        return isinstance(decode_json(value, typing.Any, "value_unreadable"), dict)
    except CodedError:
        return False
