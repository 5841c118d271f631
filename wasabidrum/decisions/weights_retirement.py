"""Decides when the engine beside a sidecar must accept no more requests on replaced weights.

Load pattern: requests are delayed for seconds on a narrow link, or in the sockets of a suspended
instance. Their entry sent and recalled them in time, but the reset follows them on the same path,
so that they begin after the bound. Only a process beside the engine can prevent that.

Entries decide when requests are no longer placed on old weights, because they know of the store's
outages. Each entry reports to every sidecar how long that is. Once the limits of all entries have
passed, the engine gives up the old weights. An entry whose stream has ended is not waited for; it
decides again about the requests that it sends later. Without any entry, the bound counts from when
this process learned of the newer version.

All times are of a clock that also advances while the instance is suspended.
"""

import collections.abc
import dataclasses

from ..core.placing_limit import PlacingLimit

# How long the last placed requests are in flight where links have their proper width. Also, an
# engine whose last pieces are about to arrive is better off loading all of them at once.
IN_FLIGHT_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLimit:
    """When one entry stops placing requests on versions older than this one."""

    version: int
    stops_at: float


class WeightsRetirement:
    """The limits that each entry has reported."""

    __slots__ = ("_bound", "_limits")

    def __init__(self, bound: float) -> None:
        """Creates a record without entries.

        Args:
          bound: Seconds after a version is named until which older versions may serve.
        """
        self._bound = bound
        self._limits: dict[str, tuple[EntryLimit, ...]] = {}

    def record(
        self, entry: str, model: str, limits: collections.abc.Iterable[PlacingLimit], now: float
    ) -> None:
        """Records an entry's limits for a model, replacing its earlier ones."""
        self._limits[entry] = tuple(
            EntryLimit(limit.version, now + limit.seconds)
            for limit in limits
            if limit.model == model
        )

    def forget(self, entry: str) -> None:
        """Drops an entry's limits, for instance when its stream has ended."""
        self._limits.pop(entry, None)

    def is_due(self, weights: int, now: float, replaced_for: float = 0.0) -> bool:
        """Returns whether all known entries have stopped placing requests on a version.

        Args:
          weights: The version that the engine holds.
          replaced_for: For how many seconds this process has known of a newer version.
        """
        stops = [
            min((limit.stops_at for limit in limits if limit.version > weights), default=None)
            for limits in self._limits.values()
        ]
        if not stops:
            return replaced_for >= self._bound
        if None in stops:
            return False
        return now >= max(stops) + IN_FLIGHT_SECONDS
