"""Decides when the engine beside a sidecar must accept no more requests on replaced weights.

Load pattern: requests are delayed for seconds on a narrow link, or in the sockets of a suspended
instance. Their entry sent and recalled them in time, but the reset follows them on the same path,
so that they begin after the bound. Only a process beside the engine can prevent that.

Entries decide when requests are no longer placed on old weights, because they know of the store's
outages. Each entry reports to every sidecar how long that is. Once the limits of all entries have
passed, the engine gives up the old weights. An entry whose stream has ended is not waited for; it
decides again about the requests that it sends later. Without any entry, the bound counts from when
this process learned of the newer version.

A limit is a duration from its report, and a report may be read seconds after it was sent, when the
instance was suspended meanwhile or its link is narrow. Only an outage of the store delays a limit,
so a later report with no longer outage never moves it, also after the entry has connected anew, and
where no entry knows of an outage the bound holds from what this process knows itself.

An entry that has not reported a newer version may be suspended or cut off with its stream open. In
a large fleet one always is, so it is waited for only until the bound has nearly passed by what this
process knows itself and by the limits of an entry that has heard. Where none has heard, or one
knows of an outage, the store may be unreachable and all engines would go out of service.

All times are of a clock that also advances while the instance is suspended.
"""

import collections.abc
import dataclasses
import math

from ..core.placing_limit import PlacingLimit
from .version_floor import PLACE_MARGIN_SECONDS

# How long the last placed requests are in flight where links have their proper width. Also, an
# engine whose last pieces are about to arrive is better off loading all of them at once.
IN_FLIGHT_SECONDS = 0.5
# Entries are replaced for months while a sidecar runs.
MAX_FORMER_ENTRIES = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLimit:
    """When one entry stops placing requests on versions of a model older than this one.

    Attributes:
      put_off: By how many whole seconds an outage of the store has delayed that.
    """

    model: str
    version: int
    stops_at: float
    put_off: int


class WeightsRetirement:
    """The limits that each entry has reported."""

    __slots__ = ("_bound", "_limits", "_former")

    def __init__(self, bound: float) -> None:
        """Creates a record without entries.

        Args:
          bound: Seconds after a version is named until which older versions may serve.
        """
        self._bound = bound
        self._limits: dict[str, tuple[EntryLimit, ...]] = {}
        # The last limits of entries whose streams have ended.
        self._former: dict[str, tuple[EntryLimit, ...]] = {}

    def record(
        self, entry: str, limits: collections.abc.Iterable[PlacingLimit], now: float
    ) -> None:
        """Records an entry's limits, replacing its earlier ones.

        Those of all models are kept: an entry does not report them again while they stay the same,
        and this process may not know its engine's model yet.
        """
        earlier = {
            (limit.model, limit.version, limit.put_off): limit.stops_at
            for limit in self._limits.get(entry) or self._former.pop(entry, ())
        }
        self._limits[entry] = tuple(
            EntryLimit(
                limit.model,
                limit.version,
                min(
                    now + limit.seconds,
                    earlier.get((limit.model, limit.version, limit.put_off), math.inf),
                ),
                limit.put_off,
            )
            for limit in limits
        )

    def forget(self, entry: str) -> None:
        """Sets an entry's limits aside, for instance when its stream has ended."""
        if entry in self._limits:
            self._former[entry] = self._limits.pop(entry)
        if len(self._former) > MAX_FORMER_ENTRIES:
            del self._former[next(iter(self._former))]

    def is_due(self, model: str, weights: int, now: float, replaced_for: float = 0.0) -> bool:
        """Returns whether the known entries have stopped placing requests on a version.

        Args:
          model: The model that the engine holds.
          weights: The version of it that the engine holds.
          replaced_for: For how many seconds this process has known of a newer version.
        """
        newer = [
            [limit for limit in limits if limit.model == model and limit.version > weights]
            for limits in self._limits.values()
        ]
        delayed = any(limit.put_off for limits in newer for limit in limits)
        if replaced_for >= self._bound and all(newer) and not delayed:
            return True
        informed = [limits for limits in newer if limits]
        overdue = replaced_for >= self._bound - PLACE_MARGIN_SECONDS + IN_FLIGHT_SECONDS
        if not informed or (len(informed) < len(newer) and (delayed or not overdue)):
            return False
        stops = [min(limit.stops_at for limit in limits) for limits in informed]
        return now >= max(stops) + IN_FLIGHT_SECONDS
