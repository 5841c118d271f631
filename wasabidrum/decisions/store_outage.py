"""Determines from this process's own calls when the platform's store did not respond.

Load pattern: the store does not respond for seconds while a new version is named. The time
within which a version must be in force counts only while the store responds. Counted from the
naming, all callers would be refused before any engine could have learned of the version.

A run of failed calls of this process shows that the store was down until the last of them was
sent, but only where nobody else had a response meanwhile (answer_gaps.py): the store may refuse
only this process, or a link may be cut or full. So a run counts as far as calls of another process
in each of the other data centres failed as well, and as far as none contradicts. A process that was
not running, or made no calls, confirms nothing. What this process alone has seen counts only if
there are no others. A run shows nothing if it is too short for others to have been asked, and it
ends where this process was suspended.
"""

import collections
import collections.abc
import dataclasses
import math

from .answer_gaps import AnswerGaps, Gap

# Peers are asked once the last response is 1.7 s old; what they report may itself be 2.4 s old.
MIN_OUTAGE_SECONDS = 4.0
# A process that makes no call for longer than this is suspended, or the store has answered it.
MAX_CALL_PAUSE_SECONDS = 1.5
# One that does not count may follow one that does.
MAX_KEPT_RUNS = 3


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


@dataclasses.dataclass(frozen=True, slots=True)
class FailedCalls:
    """A run of failed calls of this process.

    Attributes:
      failing_since: When the first call failed, here or at a peer that reported it.
      last_sent_at: When the last call was sent.
      last_failed_at: When the last call failed.
      refused: Whether the store itself refused the last call.
    """

    failing_since: float
    last_sent_at: float
    last_failed_at: float
    refused: bool

    @property
    def is_long(self) -> bool:
        """Whether it is long enough to be an outage."""
        return self.last_sent_at - self.failing_since >= MIN_OUTAGE_SECONDS


class StoreOutages:
    """The store's last outages that this process has observed.

    Attributes:
      answers: When nobody is known to have had a response.
      places: The data centres from which a peer has to confirm an outage; none if there are no
        peers.

    All times are of a clock that keeps counting while the instance is suspended.
    """

    __slots__ = ("_settling", "_run", "_long_runs", "_confirmed", "_peers_failing_since")
    __slots__ += ("answers", "places", "_known", "_known_from")

    def __init__(self, settling_seconds: float) -> None:
        """Creates a record without an outage.

        Args:
          settling_seconds: Seconds after an outage until the store counts as responding again.
        """
        self._settling = settling_seconds
        # The run that continues, or None, and the last ones that were long enough for an outage.
        self._run: FailedCalls | None = None
        self._long_runs: collections.deque[FailedCalls] = collections.deque(maxlen=MAX_KEPT_RUNS)
        # Since when calls of peers have failed, if reported before a call of this process failed.
        self._peers_failing_since = math.inf
        # The last spans in which calls of other processes failed, by data centre.
        self._confirmed: dict[str, tuple[Gap, ...]] = {}
        self.places: frozenset[str] = frozenset()
        self.answers = AnswerGaps(MIN_OUTAGE_SECONDS)
        # The outages as they were last determined, and what from.
        self._known: tuple[Outage, ...] = ()
        self._known_from: tuple[object, ...] = ()

    def record_peer_gaps(self, gaps: collections.abc.Collection[Gap]) -> None:
        """Records in which spans no process had a response, as far as a peer knows."""
        self.answers.merge(gaps)

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
        run = self._run
        if (
            run is None
            or run.failing_since < last_response_at
            or sent_at - run.last_failed_at > MAX_CALL_PAUSE_SECONDS
        ):
            self._end_run()
            since = self._clip(self._peers_failing_since, failed_at)
            self._peers_failing_since = math.inf
        else:
            since = run.failing_since
        self._run = FailedCalls(since, sent_at, failed_at, refused)

    def record_peer_failures(self, place: str, span: Gap) -> None:
        """Records that all calls of a peer failed in a span.

        Args:
          place: The data centre of the peer.
        """
        spans: list[Gap] = []
        known = self._confirmed.get(place, ())
        for later in sorted((*known, span), key=lambda each: each.started_at):
            earlier = spans[-1] if spans else None
            if earlier is None or later.started_at - earlier.ended_at > MAX_CALL_PAUSE_SECONDS:
                spans.append(later)
            else:
                spans[-1] = Gap(earlier.started_at, max(earlier.ended_at, later.ended_at))
        # The last one may become longer. Of the others, those too short for an outage would push
        # out those that confirm one.
        long_spans = [each for each in spans[:-1] if each.seconds >= MIN_OUTAGE_SECONDS]
        kept = (*long_spans[-MAX_KEPT_RUNS:], spans[-1])
        # Replaced rather than changed, so that a change shows by comparing.
        self._confirmed = self._confirmed | {place: kept}

    def record_peer_failing(self, failing_since: float) -> None:
        """Records since when all calls of a peer have been failing.

        A process that has just started cannot know otherwise how long an outage has lasted.
        """
        if self._run is not None:
            earliest = self._clip(failing_since, self._run.failing_since)
            self._run = dataclasses.replace(self._run, failing_since=earliest)
        elif not self._long_runs:
            self._peers_failing_since = failing_since

    def record_response(self) -> None:
        """Records that the store responded."""
        self._end_run()
        self._peers_failing_since = math.inf

    @property
    def failing_since(self) -> float | None:
        """When the first of the present run of failed calls failed, or None without such a run."""
        return self._run.failing_since if self._run is not None else None

    @property
    def last_failures(self) -> Gap | None:
        """The span of the present run of failed calls, or of the last long one."""
        run = self._run or (self._long_runs[-1] if self._long_runs else None)
        return Gap(run.failing_since, run.last_failed_at) if run is not None else None

    @property
    def last_failure_at(self) -> float:
        """When the last call of a run was sent that may be an outage; minus infinity for none."""
        return max((run.last_sent_at for run in self._runs_to_judge()), default=-math.inf)

    @property
    def latest(self) -> Outage:
        """The last outage, which may still continue."""
        return self.known[-1] if self.known else NO_OUTAGE

    @property
    def known(self) -> tuple[Outage, ...]:
        """The last outages, the oldest first; the last one may still continue."""
        # Read once for each endpoint that a request may be placed on.
        runs = self._runs_to_judge()
        if not runs:
            return ()
        judged_from = (self.answers.changes, self.places, self._run, runs, self._confirmed)
        if judged_from != self._known_from:
            self._known_from = judged_from
            outages = (self._outage_of(run) for run in runs)
            self._known = tuple(outage for outage in outages if outage is not None)
        return self._known

    def _runs_to_judge(self) -> list[FailedCalls]:
        """Returns the runs that are long enough for an outage, the oldest first."""
        present = [self._run] if self._run is not None and self._run.is_long else []
        return [*self._long_runs, *present]

    def _end_run(self) -> None:
        if self._run is not None and self._run.is_long:
            self._long_runs.append(self._run)
        self._run = None

    def _clip(self, failing_since: float, failed_at: float) -> float:
        """Returns since when calls have been failing, by a peer and since the last answer.

        Args:
          failing_since: Since when all calls of the peer have been failing.
          failed_at: When the first call of this process failed.
        """
        return min(failed_at, max(failing_since, self.answers.last_answer_before(failed_at)))

    def _outage_of(self, run: FailedCalls) -> Outage | None:
        """Returns the last part of a run in which nobody had a response, if it is long enough."""
        parts = [Gap(run.failing_since, run.last_sent_at)]
        for spans in (*(self._confirmed.get(place, ()) for place in self.places), self.answers):
            common = [part.intersection(span) for part in parts for span in spans]
            parts = [part for part in common if part.seconds >= MIN_OUTAGE_SECONDS]
        if not parts:
            return None
        last = max(parts, key=lambda part: part.started_at)
        return Outage(last.started_at, last.ended_at + (self._settling if run.refused else 0.0))
