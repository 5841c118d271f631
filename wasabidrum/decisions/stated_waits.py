"""Distinguishes callers that come back from new ones by the wait that they state.

Load pattern: callers that were refused under overload come back a second or two later, at another
entry, on a new connection and with a new request id. Their objective has passed, so that an answer
is late wherever they are placed. Placed like others they take a third of the slots of an
overloaded service, and callers whose answers would be in time are refused, come back, and are late
in turn.

A caller states how long it waits, and one that comes back states what it has left of that. New
callers of one route state similar times, and those of the longest times are new callers however
many come back. So the spread of the long times tells how short a time a new caller states, and who
states less is coming back. The more callers come back, the wider the spread seems, so that some
pass for new ones. A caller that only has less patience than others is taken for one that comes
back, which matters only while there is too much work.
"""

import collections
import collections.abc
import statistics

# Samples that are kept, and how many are needed before any caller is judged.
MAX_SAMPLES = 128
MIN_SAMPLES = 24
# The quantiles between which the spread of the long waits is measured; a few callers may state far
# longer waits than all others.
LOW_QUANTILE = 0.5
HIGH_QUANTILE = 0.95
# How far the mean between these quantiles lies below the higher one, as a fraction of the spread
# of all waits of new callers, if these are spread evenly.
MEAN_DISTANCE = 0.225
# Room for waits that are not spread evenly, in spreads.
MARGIN = 0.25
# Below this distance from the long waits a difference is no evidence, however alike these are.
MIN_SPREAD_FRACTION = 0.05


class StatedWaits:
    """The waits in seconds that callers of one route state with new requests."""

    __slots__ = ("_samples", "_shortest")

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)
        # The shortest wait that a new caller states; None until it is known or after a change.
        self._shortest: float | None = None

    def record(self, wait: float) -> None:
        """Records the wait that a caller has stated."""
        self._samples.append(wait)
        self._shortest = None

    def is_return(self, wait: float) -> bool:
        """Returns whether a caller that states a wait, in seconds, has waited before."""
        if len(self._samples) < MIN_SAMPLES:
            return False
        if self._shortest is None:
            self._shortest = shortest_of_new(self._samples)
        return wait < self._shortest


def shortest_of_new(samples: collections.abc.Iterable[float]) -> float:
    """Returns the shortest wait of new callers, estimated from the longer waits of all callers."""
    ordered = sorted(samples)
    high = int(HIGH_QUANTILE * len(ordered))
    longest = ordered[high]
    spread = (longest - statistics.fmean(ordered[int(LOW_QUANTILE * len(ordered)) : high + 1])) / (
        MEAN_DISTANCE
    )
    return longest - max((HIGH_QUANTILE + MARGIN) * spread, MIN_SPREAD_FRACTION * longest)
