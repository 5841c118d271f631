"""Tells callers that come back from new ones by the time that they say they will wait.

Load pattern: callers that were refused under overload come back a second or two later, at another
entry, on a new connection and with a new request id. Their objective has passed, so that an answer
is late wherever they are placed. Placed like others they take a third of the slots of an
overloaded service, and callers whose answers would be in time are refused, come back, and are late
in turn.

A caller states how long it waits, and one that comes back states what it has left of that. New
callers of one route state similar times, which are learnt while nobody is refused, so that nobody
comes back. One that states clearly less than all but few of them is coming back. A caller that
only has less patience than others is then taken for one that comes back, which matters only while
there is too much work.
"""

import collections
import collections.abc

# Samples that are kept, and how many are needed before any caller is judged.
MAX_SAMPLES = 64
MIN_SAMPLES = 12
# The shortest wait lies this many times as far below the median as the low quantile does. The
# shortest sample itself may be of a caller that came back, or of a test of the route.
LOW_QUANTILE = 0.1
SPREAD_FACTOR = 1.5
# Below this distance from the median a difference is no evidence, however alike the samples are.
MIN_SPREAD_FRACTION = 0.05


class StatedWaits:
    """The waits in seconds that new callers of one route state."""

    __slots__ = ("_samples", "_shortest")

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)
        # The shortest wait that a new caller states; None until it is known or after a change.
        self._shortest: float | None = None

    def record(self, wait: float) -> None:
        """Records the wait that a caller has stated while nobody came back."""
        self._samples.append(wait)
        self._shortest = None

    def is_return(self, wait: float) -> bool:
        """Returns whether a caller that states a wait, in seconds, has waited before."""
        if len(self._samples) < MIN_SAMPLES:
            return False
        if self._shortest is None:
            self._shortest = shortest_of(self._samples)
        return wait < self._shortest


def shortest_of(samples: collections.abc.Iterable[float]) -> float:
    """Returns the shortest wait of new callers, estimated from samples with few outliers."""
    ordered = sorted(samples)
    median = ordered[len(ordered) // 2]
    low = ordered[int(LOW_QUANTILE * len(ordered))]
    return median - max(SPREAD_FACTOR * (median - low), MIN_SPREAD_FRACTION * median)
