"""The oldest version of a model's weights that a request may still begin on.

Load pattern: new weights are named while every engine still answers with the old ones. Refused
at once, all callers would wait for seconds; allowed for ever, an engine that never switches
would go on answering with what operators have replaced. So the old version is good until a
moment before the bound that the users set, and then only engines that have switched get work.

The bound counts where a request begins, which is at its engine. Between the decision here and
that moment lie links, queues and engines that stand still for seconds, and no margin covers them
all. So there are two limits: one for placing a request, and a later one at which requests that
no event has come of are recalled (request_recall.py).

A process knows of a naming only that it came after the last answer without it, and before
anyone heard of it. The bound is counted from the first of these two moments, so that a process
that hears late does not prolong it. One that heard much later than its last answer, or has just
started, would then often refuse everyone at once; it goes on for UNKNOWN_SECONDS instead.

The bound counts only while the store answers (store_outage.py): in an outage nobody can hear of
the version, and engines that have not heard of it cannot have switched.

All times are of a clock that counts while the instance is suspended.
"""

import dataclasses
import math

from ..core.placing_limit import PlacingLimit
from .request_recall import BOUND_MARGIN_SECONDS
from .store_outage import NO_OUTAGE, Outage

PLACE_MARGIN_SECONDS = 1.0
UNKNOWN_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class WantedVersion:
    """A version that was named, and when that may have been.

    Attributes:
      after: When it certainly had not been named yet; minus infinity where nothing is known.
      before: When somebody had certainly heard of it.
      heard_at: When this process heard of it.
    """

    version: int
    after: float
    before: float
    heard_at: float

    def binds_at(self, bound: float, outage: Outage) -> float:
        """Returns when nothing older may begin.

        Args:
          bound: The seconds that a version has, counted while the store answers.
          outage: The store's last outage.
        """
        unknown = min(self.heard_at + UNKNOWN_SECONDS, self.before + bound)
        counted_from = self.after
        # One that was in force before the outage stays so.
        if self.after + bound > outage.started_at:
            counted_from = max(self.after, outage.ended_at)
        return max(counted_from + bound, unknown)


class VersionFloor:
    """The versions named of one model."""

    __slots__ = ("_wanted", "_bound")

    def __init__(self, bound: float) -> None:
        """Takes the seconds from a version's naming until older ones must not begin."""
        self._bound = bound
        self._wanted: list[WantedVersion] = []

    @property
    def newest(self) -> int:
        """The newest version named; zero before the first."""
        return max((wanted.version for wanted in self._wanted), default=0)

    def newest_seconds(self, now: float) -> float:
        """Returns for how long the newest version has been wanted, as far as is known."""
        newest = max(self._wanted, key=lambda wanted: wanted.version)
        return max(0.0, now - newest.before)

    def take(self, version: int, after: float, now: float) -> bool:
        """Takes a version that was named; returns whether it is newer than all before.

        Args:
          after: When it certainly had not been named yet; minus infinity if unknown.
        """
        if version <= self.newest:
            return False
        self._wanted.append(WantedVersion(version, min(after, now), now, now))
        return True

    def record_reported(self, version: int, seconds: float, now: float) -> None:
        """Records from another process how long ago it had heard of a version."""
        self._wanted = [
            (
                dataclasses.replace(w, before=max(w.after, min(w.before, now - seconds)))
                if w.version == version
                else w
            )
            for w in self._wanted
        ]

    def oldest_to_place(self, now: float, outage: Outage = NO_OUTAGE) -> int:
        """Returns the oldest version that a request may be placed on.

        Args:
          outage: The store's last outage.
        """
        return self._oldest(now + PLACE_MARGIN_SECONDS, outage)

    def placing_limits(
        self, model: str, now: float, outage: Outage = NO_OUTAGE
    ) -> list[PlacingLimit]:
        """Returns when requests are no longer placed on what each version of the model replaces.

        Versions whose time is over are left out but for the newest of them.
        """
        limits = []
        for wanted in sorted(self._wanted, key=lambda wanted: wanted.version):
            binds_at = wanted.binds_at(self._bound, outage)
            put_off = max(0.0, binds_at - wanted.binds_at(self._bound, NO_OUTAGE))
            seconds = binds_at - PLACE_MARGIN_SECONDS - now
            limits.append(PlacingLimit(model, wanted.version, seconds, math.ceil(put_off)))
        over = max((limit.version for limit in limits if limit.seconds <= 0.0), default=0)
        return [limit for limit in limits if limit.version >= over]

    def oldest_to_begin(self, now: float, outage: Outage = NO_OUTAGE) -> int:
        """Returns the oldest version that a request on its way may still begin on."""
        return self._oldest(now + BOUND_MARGIN_SECONDS, outage)

    def _oldest(self, moment: float, outage: Outage) -> int:
        bound = (w for w in self._wanted if moment >= w.binds_at(self._bound, outage))
        return max((wanted.version for wanted in bound), default=0)
