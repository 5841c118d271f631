"""Limits what is sent to endpoints that are cold, summed over all entries.

Load pattern: an endpoint that has just started crashes at rates that it serves easily a few seconds
later. It looks idle, so all entries send to it at once. When a data centre comes back, that happens
to all its endpoints together; when an endpoint restarts, the entries learn of it at different
times, and some go on sending as before.

No entry counts for the others: the limit is divided among a few senders (rate_shares.py). Half of
the limit is planned for them. The other half is a reserve for what the plan does not know of:
entries that have not heard yet that the endpoint is cold send what they send to a warm one, entries
that disagree on who is alive divide differently, and links deliver late. A request that is placed
and then held up, as by a suspension of the instance, is not sent any more, because the entry would
send it together with what it has earned meanwhile.

Each entry counts the cold time from when it learned of it, which is never too short. Afterwards the
rate grows step by step to more than endpoints serve, so that those that have come back together
take up their part gradually. An endpoint that states that it is warm goes on to this at once.
"""

import collections.abc
import dataclasses

from .rate_shares import EndpointRun, Entries, ShareBucket, divide

# The part of a limit that is divided among the senders.
PLANNED_PART = 0.5
# The part of it that they may send at once.
BURST_PART = 0.3
# A request to a cold endpoint must be on its way within this time from its placement. That leaves
# room for a connection across regions, and counts in what arrives within a second.
MAX_SEND_SECONDS = 0.5
SHARE_UPDATE_SECONDS = 0.2
# A registration that arrives within this time from an event may have been written before it:
# registrations reach entries up to a second after endpoints write them.
RECORD_LAG_SECONDS = 1.2
# After the cold time the rate grows for this part of it, by this factor in all.
GROWING_PART = 1.0 / 3.0
GROWTH = 16.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimit:
    """What the endpoints of a service tolerate while they are cold.

    Attributes:
      requests: The most requests that an endpoint may get in any second from all entries.
      seconds: For how long an endpoint is cold after it has started.
    """

    requests: float
    seconds: float


class ColdRun:
    """One run of an endpoint that is cold, or that was until lately.

    Attributes:
      limit: What it tolerates.
      since: When this entry learned that it is cold.
      until: When it is warm.
      reason: Why it counts as cold.
      unregistered_at: When this entry learned last that it is cold by other means than its
        registration.
      stated_warm: Whether it has stated that it is warm.
      announced_warm: Whether the end of the cold time was returned by expire.
    """

    __slots__ = ("limit", "since", "until", "reason", "unregistered_at")
    __slots__ += ("stated_warm", "announced_warm", "_bucket", "_share_until")

    def __init__(self, limit: ColdLimit, since: float, until: float, reason: str) -> None:
        self.limit = limit
        self.since = since
        self.until = until
        self.reason = reason
        self.unregistered_at = float("-inf")
        self.stated_warm = False
        self.announced_warm = False
        self._bucket = ShareBucket()
        self._share_until = float("-inf")

    @property
    def unlimited_at(self) -> float:
        """When the rate has grown to its end."""
        return self.until + GROWING_PART * self.limit.seconds

    def seconds_until_room(
        self,
        endpoint_id: str,
        data_centre: str,
        find_entries: collections.abc.Callable[[], Entries],
        now: float,
    ) -> float:
        """Returns in how many seconds this entry may send a request there."""
        if now >= self._share_until:
            self._share_until = now + SHARE_UPDATE_SECONDS
            planned = PLANNED_PART * self.limit.requests * self._growth(now)
            burst = BURST_PART * planned
            rate = (planned - burst) / (1.0 + MAX_SEND_SECONDS)
            self._bucket.share = divide(rate, burst, endpoint_id, data_centre, find_entries())
        return min(self._bucket.seconds_until_room(now), max(0.0, self.unlimited_at - now))

    def record_sent(self) -> None:
        """Records that a request was placed there."""
        self._bucket.spend()

    def end(self, now: float) -> None:
        """Ends the cold time, as the endpoint has stated that it is warm."""
        self.until = min(self.until, now)
        self.stated_warm = True
        self._share_until = float("-inf")

    def _growth(self, now: float) -> float:
        if now <= self.until:
            return 1.0
        growing = max(GROWING_PART * self.limit.seconds, SHARE_UPDATE_SECONDS)
        return GROWTH ** min(1.0, (now - self.until) / growing)


class ColdEndpoints:
    """The endpoints that are cold, as one entry knows them.

    All times are of a clock that keeps counting while the instance is suspended. What is known of
    an endpoint that is not cold is nothing, so that asking for it costs one look-up.
    """

    __slots__ = ("_runs", "_next_end")

    def __init__(self) -> None:
        self._runs: dict[EndpointRun, ColdRun] = {}
        self._next_end = float("inf")

    def __bool__(self) -> bool:
        return bool(self._runs)

    def is_cold(self, run: EndpointRun, now: float) -> bool:
        """Returns whether an endpoint is cold."""
        return self.seconds_left(run, now) > 0.0

    def seconds_left(self, run: EndpointRun, now: float) -> float:
        """Returns for how long an endpoint is cold; zero if it is warm."""
        known = self._runs.get(run)
        return 0.0 if known is None else max(0.0, known.until - now)

    def count(self, now: float) -> int:
        """Returns the number of endpoints that are cold."""
        return sum(now < known.until for known in self._runs.values())

    def record_cold(
        self, run: EndpointRun, limit: ColdLimit, until: float, reason: str, now: float
    ) -> bool:
        """Records that an endpoint is cold until a time, or later if it is known to be.

        Returns:
          Whether it was not known to be cold.
        """
        if until <= now:
            return False
        known = self._runs.get(run)
        if known is None or now >= known.until:
            self._runs[run] = ColdRun(limit, now, until, reason)
            self._next_end = min(self._next_end, until)
            return True
        known.until = max(known.until, until)
        return False

    def record_restart(
        self,
        run: EndpointRun,
        limit: ColdLimit,
        reason: str,
        now: float,
        restarted_at: float | None = None,
    ) -> bool:
        """Records that an endpoint may have started again, for its whole cold time.

        What it has registered before says nothing about it now.

        Args:
          restarted_at: When it may have; None for now.

        Returns:
          Whether it was not known to be cold.
        """
        until = limit.seconds + (now if restarted_at is None else restarted_at)
        return self._record_unregistered(run, limit, until, reason, now)

    def record_listing(
        self,
        run: EndpointRun,
        limit: ColdLimit,
        stated: float | None,
        started: bool,
        written_after: float,
        now: float,
    ) -> bool:
        """Records a new registration of an endpoint.

        Args:
          written_after: A time before which the store had certainly not got it.
          stated: For how many seconds it was cold when it registered; None if it does not say.
          started: Whether this is the first registration of a run that may have just started.

        Returns:
          Whether it was not known to be cold.
        """
        if started:
            seconds = max(limit.seconds, stated or 0.0)
            return self.record_cold(run, limit, now + seconds, "started", now)
        if stated is not None and stated > 0.0:
            return self.record_cold(run, limit, now + stated, "registered", now)
        known = self._runs.get(run)
        if stated is not None and known is not None and now < known.until:
            learned_at = known.unregistered_at
            if written_after >= learned_at and now >= learned_at + RECORD_LAG_SECONDS:
                self._end(known, now)
        return False

    def record_answer(
        self, run: EndpointRun, limit: ColdLimit, stated: float, placed_at: float, now: float
    ) -> bool:
        """Records what an endpoint has stated in an answer.

        Args:
          stated: For how many seconds it is cold.
          placed_at: When the request was placed. The answer to an earlier one may have lain unread
            since before the endpoint became cold.

        Returns:
          Whether it was not known to be cold.
        """
        if stated > 0.0:
            return self._record_unregistered(run, limit, now + stated, "answered", now)
        known = self._runs.get(run)
        if known is not None and known.since <= placed_at and now < known.until:
            self._end(known, now)
        return False

    def seconds_until_room(
        self,
        run: EndpointRun,
        data_centre: str,
        find_entries: collections.abc.Callable[[], Entries],
        now: float,
    ) -> float:
        """Returns in how many seconds this entry may send a request to an endpoint.

        Args:
          find_entries: Returns the entries that share the limits.

        Returns:
          Zero if it may now.
        """
        known = self._runs.get(run)
        if known is None:
            return 0.0
        return known.seconds_until_room(run[0], data_centre, find_entries, now)

    def allows_placed_at(self, run: EndpointRun, placed_at: float, now: float) -> bool:
        """Returns whether a request that was placed at a time may still be sent."""
        known = self._runs.get(run)
        if known is None or now >= known.until:
            return True
        return placed_at >= known.since and now - placed_at <= MAX_SEND_SECONDS

    def record_sent(self, run: EndpointRun) -> None:
        """Records that a request was placed at an endpoint."""
        known = self._runs.get(run)
        if known is not None:
            known.record_sent()

    def expire(self, now: float) -> list[tuple[EndpointRun, ColdRun]]:
        """Forgets endpoints that are unlimited again; returns those newly found to be warm."""
        if now < self._next_end:
            return []
        warm = []
        for run, known in self._runs.items():
            if now >= known.until and not known.announced_warm:
                known.announced_warm = True
                warm.append((run, known))
        self._runs = {run: k for run, k in self._runs.items() if now < k.unlimited_at}
        ends = (k.unlimited_at if now >= k.until else k.until for k in self._runs.values())
        self._next_end = min(ends, default=float("inf"))
        return warm

    def _record_unregistered(
        self, run: EndpointRun, limit: ColdLimit, until: float, reason: str, now: float
    ) -> bool:
        """Records that an endpoint is cold, which its registrations may say later only."""
        new = self.record_cold(run, limit, until, reason, now)
        known = self._runs.get(run)
        if known is not None and now < known.until:
            known.unregistered_at = now
        return new

    def _end(self, known: ColdRun, now: float) -> None:
        known.end(now)
        self._next_end = min(self._next_end, now)
