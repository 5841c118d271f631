"""When the platform's store did not answer, by this process's own calls.

Load pattern: the store does not answer for seconds while a version is named. The time within
which a version must be in force counts only while the store answers; counted from the naming,
all callers would be refused before any engine could have heard of the version.

Only what this process knows counts, and only as far as it knows it. A run of failed calls shows
that the store was away when the last of them was sent. It shows nothing where a peer has had an
answer since the run began, for then the store turns away this process alone, nor where the run is
too short for peers to have been asked, nor where this process itself was suspended.
"""

import dataclasses

# Peers are asked once the evidence is 1.7 s old, and answer within 0.6 s.
SHORTEST_OUTAGE_SECONDS = 2.5


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

    __slots__ = ("_settling", "_first", "_last", "_refused", "_latest")

    def __init__(self, settling: float) -> None:
        """Takes the seconds after an outage until the store counts as answering again."""
        self._settling = settling
        self._first: float | None = None
        self._last = 0.0
        self._refused = False
        self._latest = NO_OUTAGE

    def record_failure(
        self, asked_at: float, failed_at: float, refused: bool, held_up: bool
    ) -> None:
        """Records a call without an answer, or with a refusal, of the store.

        Args:
          asked_at: When the call was sent.
          failed_at: When it failed. A watch may have waited at a sound store for most of the time
            in between.
          refused: The store itself said that it is not available. A call that ended otherwise may
            have been lost on the way.
          held_up: Whether this process stood still between the call and its end.
        """
        if held_up and not refused:
            return
        if self._first is None:
            self._first = failed_at
        self._last = asked_at
        self._refused = refused

    def record_answer(self, evidence_date: float) -> None:
        """Records that the store answered.

        Args:
          evidence_date: When the store last answered anyone before that, as far as is known.
        """
        self._latest = self.latest(evidence_date)
        self._first = None

    def latest(self, evidence_date: float) -> Outage:
        """Returns the last outage, one that goes on included.

        Args:
          evidence_date: As for record_answer.
        """
        if self._first is None or evidence_date > self._first:
            return self._latest
        if self._last - self._first < SHORTEST_OUTAGE_SECONDS:
            return self._latest
        return Outage(self._first, self._last + (self._settling if self._refused else 0.0))
