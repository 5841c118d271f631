"""Chooses the entries that read the platform's store on behalf of their data centre.

Load pattern: every entry follows the store by itself. Its calls grow with the fleet, and a change
of the configuration, some hundred kilobytes with a thousand routes, crosses the thin link between
regions once for each entry. With seven entries a region and three changes in a row, requests,
weights and the entries' own evidence wait behind it for seconds.

The first READERS entries of a data centre read the store, by an order that all of them compute
alike; the others follow one of these. A reader that is unreachable, suspended, cut off from the
store or slow is left out for a while. An entry with no reader left reads for itself, so that no
entry depends on another one for longer than it takes to notice.
"""

import collections.abc

from .configuration_lease import REPLY_TOLERANCE_SECONDS
from .entry_roster import HostPort

READERS = 2
# How long a reader that did not answer, or was late itself, is not followed; twice as long for each
# further time in a row. Noticing that a reader is silent takes a second or two.
LEFT_OUT_SECONDS = 3.0
MAX_LEFT_OUT_SECONDS = 24.0
# By how much the answer to a watch may exceed the wait that was asked for. A slow store takes a
# quarter of a second longer.
MAX_LATE_SECONDS = 0.3
# Followers are answered when their reader becomes late, which they must not take for in time.
LATE_TOLERANCE_SECONDS = 0.05
# The part of the time for a change to take effect in which a follower learns that its reader is
# silent. The rest is for another reader, or for the store itself.
MAX_HOLD_FRACTION = 0.45


def seconds_until_late(waiting_for: float, watch_seconds: float) -> float:
    """Returns for how long a reader may still wait for an answer without being late.

    Args:
      waiting_for: The seconds for which the store has owed it an answer.
      watch_seconds: How long its question may wait at the store.
    """
    return watch_seconds + MAX_LATE_SECONDS - waiting_for


def is_late(waiting_for: float, watch_seconds: float) -> bool:
    """Returns whether a reader is late, or was about to be when it answered a follower."""
    return seconds_until_late(waiting_for, watch_seconds) <= LATE_TOLERANCE_SECONDS


def hold_seconds(watch_seconds: float, configuration_bound: float) -> float:
    """Returns for how long a reader may hold a follower's question without news.

    Args:
      watch_seconds: How long the reader's own question may wait at the store.
      configuration_bound: The seconds in which a change has to take effect.
    """
    return min(watch_seconds + REPLY_TOLERANCE_SECONDS, MAX_HOLD_FRACTION * configuration_bound)


class StoreReaders:
    """The readers of one data centre, as one entry sees them."""

    __slots__ = ("_own", "_left_out_until", "_left_out_for")

    def __init__(self, own: HostPort) -> None:
        self._own = own
        self._left_out_until: dict[HostPort, float] = {}
        # For how long each reader was left out last, if it has not answered well since.
        self._left_out_for: dict[HostPort, float] = {}

    def to_follow(self, entries: collections.abc.Sequence[HostPort], now: float) -> list[HostPort]:
        """Returns the readers to follow, the preferred one first; none if this entry reads itself.

        Args:
          entries: The entries of the data centre, this one included, in the same order at each.
        """
        readers = list(entries[:READERS])
        if self._own in readers:
            return []
        # Followers are dealt out over the readers by their places.
        turn = entries.index(self._own) % len(readers)
        ordered = readers[turn:] + readers[:turn]
        return [r for r in ordered if now >= self._left_out_until.get(r, float("-inf"))]

    def record_failure(self, reader: HostPort, now: float) -> None:
        """Records that a reader did not answer or was late."""
        before = self._left_out_for.get(reader, LEFT_OUT_SECONDS / 2.0)
        self._left_out_for[reader] = min(MAX_LEFT_OUT_SECONDS, 2.0 * before)
        self._left_out_until[reader] = now + self._left_out_for[reader]

    def record_answer(self, reader: HostPort) -> None:
        """Records that a reader answered and was not late."""
        self._left_out_for.pop(reader, None)
        self._left_out_until.pop(reader, None)
