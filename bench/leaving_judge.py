"""Judges by what endpoints saw whether entries went on sending to one that says that it leaves."""

import bisect
import collections
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint; times are by the event loop's clock.

    Attributes:
      process: The process of the entry that sent it.
      run: The run of the endpoint.
      sent_at: When its caller sent it to that entry.
    """

    request: str
    process: str
    run: str
    sent_at: float
    arrived_at: float


class LeavingJudge:
    """What entries have passed on, and when their processes were suspended.

    Attributes:
      suspended: Spans in which a process stood still, as pairs of a start and an end.
    """

    def __init__(self, bound: float) -> None:
        """Creates a judge without records.

        Args:
          bound: Seconds from an answer that was passed on until nothing more may be sent.
        """
        self._bound = bound
        self._passed_on: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
        self.suspended: dict[str, list[tuple[float, float]]] = {}

    @property
    def count(self) -> int:
        """How many answers were passed on that say that their endpoint leaves."""
        return sum(map(len, self._passed_on.values()))

    def record_passed_on(self, process: str, run: str, at: float) -> None:
        """Records that a caller got an answer that says that a run of an endpoint leaves."""
        bisect.insort(self._passed_on[process, run], at)

    def late_arrivals(
        self, arrivals: collections.abc.Iterable[Arrival]
    ) -> list[tuple[float, Arrival]]:
        """Returns the arrivals that were sent too late, each after the seconds since the answer."""
        found = []
        for arrival in arrivals:
            passed_on = self._passed_on.get((arrival.process, arrival.run), [])
            before = bisect.bisect_left(passed_on, arrival.sent_at - self._bound)
            if before and not self._stood_still(arrival, passed_on[before - 1]):
                found.append((arrival.sent_at - passed_on[before - 1], arrival))
        return found

    def _stood_still(self, arrival: Arrival, since: float) -> bool:
        spans = self.suspended.get(arrival.process, ())
        return any(start <= arrival.arrived_at and end >= since for start, end in spans)
