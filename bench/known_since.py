"""Judges from when on a process must know what the store has acknowledged.

The store may be away or be restored from a copy. What it acknowledged just before may then be lost,
and a process that had no time to learn of it does not have to know it. One that had the time must
not forget it, whatever the store says later.
"""

import collections.abc
import dataclasses

Span = tuple[float, float]


@dataclasses.dataclass(slots=True)
class ProcessTimes:
    """When a process could learn of changes; all times are by the event loop's clock.

    Attributes:
      served_at: When it first served a caller; infinite before.
      suspended: Spans in which it stood still.
    """

    served_at: float = float("inf")
    suspended: list[Span] = dataclasses.field(default_factory=list)


def must_know_from(
    process: ProcessTimes,
    acknowledged: collections.abc.Iterable[float],
    store_away: collections.abc.Collection[Span],
    bound: float,
) -> float:
    """Returns from when on a process must know a change; infinite if it never had the time.

    Args:
      acknowledged: When the store acknowledged it, each time that it was written.
      store_away: Spans in which the store was away, after each of which it had come from a copy.
      bound: Seconds from the acknowledgement until it must be in force.
    """
    found = float("inf")
    for at in acknowledged:
        begins = max(at, process.served_at)
        ends = begins + bound
        had_store = not any(overlaps(span, (at, ends)) for span in store_away)
        ran = not any(overlaps(span, (begins, ends)) for span in process.suspended)
        if had_store and ran:
            found = min(found, ends)
    return found


def overlaps(first: Span, second: Span) -> bool:
    """Returns whether two spans have a moment in common."""
    return first[0] <= second[1] and second[0] <= first[1]
