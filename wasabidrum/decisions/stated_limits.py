"""Keeps to the limits that endpoints state, summed over all entries.

Load pattern: an endpoint in need states in its answers how many requests a second it takes from all
entries together. Every entry goes on sending, because none knows what the others send; or each
sends one request only, which together are still too many for a limit of one a second.

Each limit is divided among a few entries, the senders of the endpoint (rate_shares.py). The senders
are few enough that their buckets together hold no more than the platform leaves above the rate.

The last statement holds, whoever heard it. Entries exchange statements with their age, so that
those that send nothing also learn of a change. Where nobody has heard anything for a while, an
entry sends a single request as a probe, because a limit that nobody tests would never end. The
wait for it begins with the first request that finds no room: otherwise the probes of all entries
would become due in a quiet time, and be sent together when callers come back.
"""

import dataclasses
import random

from .rate_shares import NO_SHARE, EndpointRun, Entries, Share, ShareBucket, divide

# What the platform leaves above four seconds of the limit, less a reserve for entries that have
# not heard of a limit or of a new entry yet.
BURST_SECONDS = 2.0
BURST_REQUESTS = 2.0
PROBE_SECONDS = 5.0
# The part of PROBE_SECONDS for each entry over which the probes of all entries are spread.
PROBE_SPREAD = 1.0
SHARE_UPDATE_SECONDS = 0.5
FORGET_SECONDS = 60.0
# A limit outlasts quiet times; a probe tells whether it still holds.
FORGET_LIMIT_SECONDS = 3600.0
MAX_EXCHANGED_STATEMENTS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What an endpoint has stated.

    Attributes:
      limit: Requests a second from all entries together; None if it states no limit any more.
      heard_at: When an entry heard it.
    """

    limit: float | None
    heard_at: float


def share_of(limit: float, endpoint_id: str, data_centre: str, entries: Entries) -> Share:
    """Returns this entry's part of an endpoint's limit.

    Args:
      limit: Requests a second.
      data_centre: That of the endpoint; entries there are its senders first.
    """
    if limit <= 0.0:
        return NO_SHARE
    burst = BURST_SECONDS * limit + BURST_REQUESTS
    return divide(limit, burst, endpoint_id, data_centre, entries)


class StatedLimit:
    """The last statement of one run of an endpoint, and what this entry may send there."""

    __slots__ = ("statement", "_bucket", "_share_until", "_probed_at")
    __slots__ += ("_jitter", "_shared_among", "_blocked_since", "_blocked_at")

    def __init__(self, statement: Statement, jitter: float) -> None:
        """Creates the state of an endpoint that has stated a limit.

        Args:
          jitter: A random number from zero to one, which spreads the probes of the entries.
        """
        self.statement = statement
        self._bucket = ShareBucket()
        # The limit and the entries that the share was worked out from.
        self._shared_among: tuple[float, Entries] | None = None
        self._share_until = float("-inf")
        self._probed_at = float("-inf")
        # Since when, and when last, requests have found no room here.
        self._blocked_since = float("-inf")
        self._blocked_at = float("-inf")
        self._jitter = jitter

    @property
    def lifetime(self) -> float:
        """Seconds after which the statement is forgotten."""
        return FORGET_SECONDS if self.statement.limit is None else FORGET_LIMIT_SECONDS

    def replace(self, statement: Statement) -> None:
        """Replaces the statement by a later one."""
        if self.statement.limit is None:
            self._bucket.empty()
        if statement.limit != self.statement.limit:
            self._share_until = float("-inf")
        self.statement = statement

    def seconds_until_room(
        self, endpoint_id: str, data_centre: str, entries: Entries, now: float
    ) -> float:
        """Returns in how many seconds this entry may send a request there; infinite if unknown."""
        limit = self.statement.limit
        if limit is None:
            return 0.0
        if now >= self._share_until:
            self._share_until = now + SHARE_UPDATE_SECONDS
            if self._shared_among != (limit, entries):
                self._shared_among = (limit, entries)
                self._bucket.share = share_of(limit, endpoint_id, data_centre, entries)
        missing = self._bucket.seconds_until_room(now)
        if not missing:
            return 0.0
        number = entries.count or len(entries.reachable)
        return min(missing, self._seconds_until_probe(number, now))

    def record_sent(self, now: float, jitter: float) -> None:
        """Records that a request was sent there.

        Args:
          jitter: As at the creation, for the next probe.
        """
        if not self._bucket.spend():
            self._probed_at = now
            self._jitter = jitter

    def _seconds_until_probe(self, entries: int, now: float) -> float:
        if now - self._blocked_at > PROBE_SECONDS:
            self._blocked_since = now
        self._blocked_at = now
        wait = PROBE_SECONDS * (1.0 + PROBE_SPREAD * entries * self._jitter)
        began = max(self.statement.heard_at, self._probed_at, self._blocked_since)
        return max(0.0, began + wait - now)


class StatedLimits:
    """The limits that endpoints have stated, as one entry knows them.

    All times are of a clock that keeps counting while the instance is suspended.
    """

    __slots__ = ("_limits", "_rng", "_forget_at")

    def __init__(self, rng: random.Random) -> None:
        self._limits: dict[EndpointRun, StatedLimit] = {}
        self._rng = rng
        self._forget_at = float("-inf")

    @property
    def count(self) -> int:
        """The number of endpoints whose last statement is a limit."""
        return sum(known.statement.limit is not None for known in self._limits.values())

    def __bool__(self) -> bool:
        return bool(self._limits)

    def record(self, run: EndpointRun, limit: float | None, heard_at: float) -> bool:
        """Records a statement, unless a later one is known; returns whether the limit changed.

        Args:
          limit: Requests a second; None if the endpoint states no limit.
        """
        known = self._limits.get(run)
        if known is None:
            if limit is None:
                return False
            self._forget(heard_at)
            self._limits[run] = StatedLimit(Statement(limit, heard_at), self._rng.random())
            return True
        if heard_at < known.statement.heard_at:
            return False
        changed = known.statement.limit != limit
        known.replace(Statement(limit, heard_at))
        return changed

    def seconds_until_room(
        self, run: EndpointRun, data_centre: str, entries: Entries, now: float
    ) -> float:
        """Returns in how many seconds this entry may send a request to an endpoint.

        Returns:
          Zero if it may now, as where no limit is stated; infinite if that cannot be told.
        """
        known = self._limits.get(run)
        return 0.0 if known is None else known.seconds_until_room(run[0], data_centre, entries, now)

    def record_sent(self, run: EndpointRun, now: float) -> None:
        """Records that a request was sent to an endpoint."""
        known = self._limits.get(run)
        if known is not None:
            known.record_sent(now, self._rng.random())

    def statements(self, now: float) -> list[tuple[EndpointRun, Statement]]:
        """Returns the latest statements, for the other entries."""
        self._forget(now)
        held = [(run, known.statement) for run, known in self._limits.items()]
        held.sort(key=lambda item: -item[1].heard_at)
        return held[:MAX_EXCHANGED_STATEMENTS]

    def _forget(self, now: float) -> None:
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_SECONDS / 4.0
        self._limits = {
            run: known
            for run, known in self._limits.items()
            if now - known.statement.heard_at <= known.lifetime
        }
