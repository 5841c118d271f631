"""Determines the oldest version of a model's weights on which a request may still begin.

Load pattern: a new version of weights is named (published in the platform's store as the one that
the model's engines must load) while every engine still answers with the old one. If the old one
were refused at once, all callers would wait for seconds; if it were allowed for ever, an engine
that never switches would go on answering with weights that operators have replaced. So the old
version is accepted until shortly before the bound that the users set, and from then on only engines
that have switched get requests.

The bound applies to the moment at which a request begins at its engine. Between the decision here
and that moment there are links, queues and engines that stand still for seconds, and no margin
covers them all. So there are two limits: one for placing a request, and a later one at which
requests without any event so far are recalled, that is, withdrawn from their endpoint
(request_recall.py).

A process knows only that a version was named after the last answer of the store without it, and
before any process had learned of it. The bound is counted from the first of these two moments, so
that a process that learns of it late does not extend it. Processes tell each other both: one that
waited at the store when the version was named dates it to a tenth of a second, and one that follows
it knows only an answer of a second or two before. A process that learned of it much later than its
last answer, or has just started, would then often refuse all requests at once; it goes on placing
requests on the old version for UNKNOWN_NAMING_SECONDS instead.

The bound counts only while the store answers (store_outage.py): in an outage no process can learn
of the version, and engines that have not learned of it cannot have switched.

All times are of a clock that also advances while the instance is suspended.
"""

import dataclasses
import math

from ..core.placing_limit import PlacingLimit
from .request_recall import BOUND_MARGIN_SECONDS
from .store_outage import Outage

PLACE_MARGIN_SECONDS = 1.0
# Versions that may still be replacing older ones, and whose dates other processes need.
MAX_REPORTED_VERSIONS = 4
UNKNOWN_NAMING_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class NamedVersion:
    """A version that was named, and when that may have happened.

    Attributes:
      after: A time at which it had not been named yet, by the answer of the store that was dated
        latest; minus infinity if unknown.
      before: A time at which some process had certainly learned of it.
      learned_at: When this process learned of it from the store or another process.
    """

    version: int
    after: float
    before: float
    learned_at: float

    def enforced_from(self, bound: float, *outages: Outage) -> float:
        """Returns from when on requests must not begin on anything older.

        Args:
          bound: The seconds that older versions remain allowed, counted while the store answers.
          outages: The store's last outages, the oldest first.
        """
        unknown = min(self.learned_at + UNKNOWN_NAMING_SECONDS, self.before + bound)
        counted_from = self.after
        for outage in outages:
            # If the bound had passed before the outage began, the outage does not extend it.
            if counted_from + bound > outage.started_at:
                counted_from = max(counted_from, outage.ended_at)
        return max(counted_from + bound, unknown)

    def with_report(self, before: float, after: float) -> "NamedVersion":
        """Returns this version with the evidence of another process added; see the attributes."""
        # A process that knew the version is certain of it. One that dates the naming later took the
        # time at which an answer arrived for the time at which it was sent.
        earliest = min(self.before, before)
        latest = min(max(self.after, after), earliest)
        return dataclasses.replace(self, after=latest, before=earliest)


@dataclasses.dataclass(frozen=True, slots=True)
class NamingEvidence:
    """What a process knows of when a version was named.

    Attributes:
      known_for: The seconds since some process had certainly learned of it.
      unnamed_ago: The seconds since it certainly had not been named yet; infinite if unknown.
    """

    version: int
    known_for: float
    unnamed_ago: float


@dataclasses.dataclass(frozen=True, slots=True)
class BeginLimit:
    """Until when requests may begin on weights that a newer version replaces.

    Attributes:
      version: The newer version whose bound ends first.
      seconds: The seconds left until its bound; negative once that has passed.
      known_for: The seconds since some process had certainly learned of that version.
      put_off: By how many seconds outages of the store have delayed the bound.
    """

    version: int
    seconds: float
    known_for: float
    put_off: float


class VersionFloor:
    """The versions named for one model."""

    __slots__ = ("_named", "_bound")

    def __init__(self, bound: float) -> None:
        """Creates a floor without versions.

        Args:
          bound: The seconds from a version's naming until requests must not begin on older ones.
        """
        self._bound = bound
        self._named: list[NamedVersion] = []

    @property
    def newest(self) -> int:
        """The newest version named; zero before the first."""
        return max((named.version for named in self._named), default=0)

    def newest_seconds(self, now: float) -> float:
        """Returns for how many seconds the newest version has been known to be named."""
        newest = max(self._named, key=lambda named: named.version)
        return max(0.0, now - newest.before)

    def add(self, version: int, after: float, now: float) -> bool:
        """Adds a version that was named; returns whether it is newer than all before.

        Args:
          after: A time at which it certainly had not been named yet; minus infinity if unknown.
        """
        if version <= self.newest:
            return False
        self._named.append(NamedVersion(version, min(after, now), now, now))
        return True

    def evidence(self, now: float) -> list[NamingEvidence]:
        """Returns what is known of the namings of the newest versions, the newest first."""
        newest = sorted(self._named, key=lambda named: named.version, reverse=True)
        return [
            NamingEvidence(named.version, max(0.0, now - named.before), max(0.0, now - named.after))
            for named in newest[:MAX_REPORTED_VERSIONS]
        ]

    def record_reported(
        self, version: int, seconds: float, now: float, unnamed_at: float = float("-inf")
    ) -> None:
        """Records what another process reported of a version.

        The store tells only the newest version to a process that reads it late. The ones before it
        have bounds of their own, which end sooner. A restored store may lack the newest ones.

        Args:
          seconds: How many seconds ago it learned of the version.
          unnamed_at: A time at which the version certainly had not been named yet.
        """
        before = now - seconds
        known = any(named.version == version for named in self._named)
        if not known:
            self._named.append(NamedVersion(version, min(unnamed_at, before), before, now))
        self._named = [
            named.with_report(before, unnamed_at) if named.version == version else named
            for named in self._named
        ]

    def oldest_to_place(self, now: float, *outages: Outage) -> int:
        """Returns the oldest version on which a request may be placed.

        Args:
          outages: The store's last outages, the oldest first.
        """
        return self._oldest(now + PLACE_MARGIN_SECONDS, outages)

    def placing_limits(self, model: str, now: float, *outages: Outage) -> list[PlacingLimit]:
        """Returns, for each version of the model, when requests stop being placed on older ones.

        Of the versions whose limit has passed, only the newest is included.
        """
        limits = []
        for named in sorted(self._named, key=lambda named: named.version):
            enforced_from = named.enforced_from(self._bound, *outages)
            put_off = max(0.0, enforced_from - named.enforced_from(self._bound))
            seconds = enforced_from - PLACE_MARGIN_SECONDS - now
            limits.append(PlacingLimit(model, named.version, seconds, math.ceil(put_off)))
        over = max((limit.version for limit in limits if limit.seconds <= 0.0), default=0)
        return [limit for limit in limits if limit.version >= over]

    def begin_limit(self, weights: int, now: float, *outages: Outage) -> BeginLimit | None:
        """Returns until when requests may begin on a version; None while none is newer."""
        limits = [
            (named.enforced_from(self._bound, *outages), named)
            for named in self._named
            if named.version > weights
        ]
        if not limits:
            return None
        enforced_from, named = min(limits, key=lambda limit: limit[0])
        return BeginLimit(
            named.version,
            enforced_from - now,
            max(0.0, now - named.before),
            max(0.0, enforced_from - named.enforced_from(self._bound)),
        )

    def oldest_to_begin(self, now: float, *outages: Outage) -> int:
        """Returns the oldest version on which a request that was already sent may begin."""
        return self._oldest(now + BOUND_MARGIN_SECONDS, outages)

    def _oldest(self, moment: float, outages: tuple[Outage, ...]) -> int:
        bound = (w for w in self._named if moment >= w.enforced_from(self._bound, *outages))
        return max((named.version for named in bound), default=0)
