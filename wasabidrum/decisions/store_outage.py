"""Determines from this process's own calls when the platform's store did not respond.

Load pattern: the store does not respond for seconds while a new version is named. The time
within which a version must be in force counts only while the store responds. Counted from the
naming, all callers would be refused before any engine could have learned of the version.

Only what this process has observed counts. A run of failed calls shows that the store was down
until the last of them was sent. It shows nothing about the time before a peer got a response, if
calls fail after that as well, because the store then refuses only this process. It also shows
nothing if the run is too short for peers to have been asked, or if this process was suspended.
"""

import dataclasses

# Peers are asked once the last response is 1.7 s old; what they report may itself be 2.4 s old.
MIN_OUTAGE_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A period in which the store did not respond.

    Attributes:
      started_at: A time at which a call had certainly failed.
      ended_at: The time until which the store certainly did not count as responding.
    """

    started_at: float
    ended_at: float


NO_OUTAGE = Outage(float("inf"), float("-inf"))


class StoreOutages:
    """The store's last outage that this process has observed.

    All times are of a clock that keeps counting while the instance is suspended.
    """

    __slots__ = (
        "_settling",
        "_failing_since",
        "_last_sent_at",
        "_last_refused",
        "_last_ended",
        "_peers_failing_since",
    )

    def __init__(self, settling_seconds: float) -> None:
        """Creates a record without an outage.

        Args:
          settling_seconds: Seconds after an outage until the store counts as responding again.
        """
        self._settling = settling_seconds
        self._failing_since: float | None = None
        # Since when calls of peers have failed, if reported before a call of this process failed.
        self._peers_failing_since = float("inf")
        self._last_sent_at = 0.0
        self._last_refused = False
        self._last_ended = NO_OUTAGE

    def record_failure(
        self,
        sent_at: float,
        failed_at: float,
        refused: bool,
        paused: bool,
        last_response_at: float,
    ) -> None:
        """Records a call to the store that got no response or was refused.

        Args:
          sent_at: When the call was sent.
          failed_at: When it failed. A watch may have waited at a working store for most of the
            time in between.
          refused: Whether the store itself reported that it is unavailable. A call that failed
            otherwise may have been lost in the network.
          paused: Whether this process was paused between the call and its end.
          last_response_at: When the store last responded to any process, as far as is known.
        """
        if paused and not refused:
            return
        if self._failing_since is None or self._failing_since < last_response_at < sent_at:
            self._failing_since = min(failed_at, self._peers_failing_since)
            self._peers_failing_since = float("inf")
        self._last_sent_at = sent_at
        self._last_refused = refused

    def record_peer_failure(self, failing_since: float) -> None:
        """Records since when all calls of a peer have been failing.

        A process that has just started cannot know otherwise how long an outage has lasted.
        """
        if self._failing_since is not None:
            self._failing_since = min(self._failing_since, failing_since)
        elif self._last_ended is NO_OUTAGE:
            self._peers_failing_since = failing_since

    def record_response(self) -> None:
        """Records that the store responded."""
        self._last_ended = self.latest
        self._failing_since = None
        self._peers_failing_since = float("inf")

    @property
    def failing_since(self) -> float | None:
        """When the first of the present run of failed calls failed, or None without such a run."""
        return self._failing_since

    @property
    def latest(self) -> Outage:
        """The last outage, which may still continue."""
        if (
            self._failing_since is None
            or self._last_sent_at - self._failing_since < MIN_OUTAGE_SECONDS
        ):
            return self._last_ended
        return Outage(
            self._failing_since,
            self._last_sent_at + (self._settling if self._last_refused else 0.0),
        )
