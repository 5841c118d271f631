"""Judges by what endpoints saw whether entries let those rest that had asked for it."""

import collections
import collections.abc
import dataclasses

# An entry is told when it reads the answer, and what it has sent before arrives.
HEARING_SECONDS = 0.5
MAX_ARRIVALS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Rest:
    """A rest that a run of an endpoint has asked a process of an entry for.

    Attributes:
      at: When it was asked for, by the event loop's clock.
      seconds: How long it lasts.
    """

    process: str
    run: str
    at: float
    seconds: float


class RestJudge:
    """What endpoints asked for and got, and when processes of entries were suspended.

    Attributes:
      rests: The rests that were asked for.
      suspended: Spans in which a process stood still, as pairs of a start and an end.
    """

    def __init__(self) -> None:
        self.rests: list[Rest] = []
        self.suspended: dict[str, list[tuple[float, float]]] = {}
        self._arrived_at: dict[tuple[str, str], list[float]] = collections.defaultdict(list)

    def record_arrival(self, process: str, run: str, at: float) -> None:
        """Records that a request has reached a run of an endpoint."""
        self._arrived_at[process, run].append(at)

    def disturbed_rests(self) -> list[tuple[Rest, int]]:
        """Returns the rests in which too many requests came, each with their number."""
        found = []
        for rest in self.rests:
            counted = sum(self._counts(rest, at) for at in self._arrived_at[rest.process, rest.run])
            if counted > MAX_ARRIVALS:
                found.append((rest, counted))
        return found

    def _counts(self, rest: Rest, at: float) -> bool:
        if not rest.at + HEARING_SECONDS < at < rest.at + rest.seconds:
            return False
        spans = self.suspended.get(rest.process, ())
        return not any(start <= at and end >= rest.at for start, end in spans)
