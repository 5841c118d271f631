"""When the platform's store did not answer, by this process's own calls.

Load pattern: the store does not answer for seconds while a version is named. The time within
which a version must be in force counts only while the store answers; counted from the naming,
all callers would be refused before any engine could have heard of the version.

Only what this process knows counts, and only as far as it knows it. A run of failed calls shows
that the store was away when the last of them was sent. It shows nothing of the time before a peer
had an answer, where calls fail after that as well, for then the store turned away this process
alone; nor where the run is too short for peers to have been asked, nor where this process itself
was suspended.
"""

import dataclasses

# Peers are asked once the evidence is 1.7 s old; what they answer may itself be 2.4 s old.
SHORTEST_OUTAGE_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A time in which the store did not answer.

    Attributes:
      began: When a call had certainly failed.
      over: Until when the store certainly did not count as answering.
    """

    began: float
    over: float


NO_OUTAGE = Outage(float("inf"), float("-inf"))


class StoreOutages:
    """The store's last outage that this process can vouch for.

    All times are of a clock that counts while the instance is suspended.
    """

    __slots__ = ("_settling", "_first", "_last", "_refused", "_latest", "_peers_first")

    def __init__(self, settling: float) -> None:
        """Takes the seconds after an outage until the store counts as answering again."""
        self._settling = settling
        self._first: float | None = None
        # Since when peers said that their calls fail, before one of this process had failed.
        self._peers_first = float("inf")
        self._last = 0.0
        self._refused = False
        self._latest = NO_OUTAGE

    def record_failure(
        self,
        asked_at: float,
        failed_at: float,
        refused: bool,
        held_up: bool,
        evidence_date: float,
    ) -> None:
        """Records a call without an answer, or with a refusal, of the store.

        Args:
          asked_at: When the call was sent.
          failed_at: When it failed. A watch may have waited at a sound store for most of the time
            in between.
          refused: The store itself said that it is not available. A call that ended otherwise may
            have been lost on the way.
          held_up: Whether this process stood still between the call and its end.
          evidence_date: When the store last answered anyone, as far as is known.
        """
        if held_up and not refused:
            return
        if self._first is None or self._first < evidence_date < asked_at:
            self._first = min(failed_at, self._peers_first)
            self._peers_first = float("inf")
        self._last = asked_at
        self._refused = refused

    def record_peer(self, unanswered_since: float) -> None:
        """Records since when a peer's calls have been failing, which still do.

        A process that has just started knows nothing of how long an outage has lasted.
        """
        if self._first is not None:
            self._first = min(self._first, unanswered_since)
        elif self._latest is NO_OUTAGE:
            self._peers_first = unanswered_since

    def record_answer(self) -> None:
        """Records that the store answered."""
        self._latest = self.latest
        self._first = None
        self._peers_first = float("inf")

    @property
    def unanswered_since(self) -> float | None:
        """When the first of the calls failed that have been failing since, or None."""
        return self._first

    @property
    def latest(self) -> Outage:
        """The last outage, one that goes on included."""
        if self._first is None or self._last - self._first < SHORTEST_OUTAGE_SECONDS:
            return self._latest
        return Outage(self._first, self._last + (self._settling if self._refused else 0.0))
