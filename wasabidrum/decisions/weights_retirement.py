"""When the engine beside a sidecar must take nothing more on weights that were replaced.

Load pattern: requests lie for seconds on a narrow link, or in the sockets of an instance that is
suspended. Their entry sent them in time and has recalled them in time, but the reset comes behind
them on the same way: they begin after the bound. Only what stands beside the engine can act then.

Entries decide when old weights are no longer placed on, because they know of the store's outages.
Each tells every sidecar how long that is. Once it has passed for all, the engine is taken off the
old weights. An entry whose stream has ended is not waited for; it judges anew what it sends later.

All times are of a clock that counts while the instance is suspended.
"""

import collections.abc
import dataclasses

from ..core.placing_limit import PlacingLimit

# What was placed last is on its way for so long where links are as wide as they should be, and an
# engine whose last pieces are about to come is better off with all of them at once.
IN_FLIGHT_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """When one entry stops placing on versions older than this one."""

    version: int
    stops_at: float


class WeightsRetirement:
    """The limits that entries have told, by entry."""

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[str, tuple[Limit, ...]] = {}

    def record(
        self, entry: str, model: str, limits: collections.abc.Iterable[PlacingLimit], now: float
    ) -> None:
        """Records an entry's limits for a model, in place of those it told before."""
        self._limits[entry] = tuple(
            Limit(limit.version, now + limit.seconds) for limit in limits if limit.model == model
        )

    def forget(self, entry: str) -> None:
        """Drops what an entry told, as when its stream has ended."""
        self._limits.pop(entry, None)

    def due(self, weights: int, now: float) -> bool:
        """Returns whether all entries known have stopped placing on some weights."""
        stops = [
            min((limit.stops_at for limit in limits if limit.version > weights), default=None)
            for limits in self._limits.values()
        ]
        if not stops or None in stops:
            return False
        return now >= max(stops) + IN_FLIGHT_SECONDS
