"""Leaves endpoints alone for as long as they have asked this entry to.

Load pattern: an endpoint that is short of something turns requests away for some seconds, and says
with each refusal for how long it wants no more. Every request that is sent there meanwhile is
turned away as well, costs a retry and a connection, and keeps the endpoint from recovering.

A rest holds for one run of an endpoint, and until it ends: answers that come meanwhile, the list of
endpoints and this entry's own measurements say nothing about it. A later refusal may prolong it and
never ends it sooner.
"""

# The name of an endpoint, and what identifies this run of it.
EndpointRun = tuple[str, int | str]

# A refusal that asks for a shorter rest counts as a failure too. Otherwise an endpoint that turns
# all requests away would cost a retry each time that such a rest ends.
MIN_REST_SECONDS = 1.0


class EndpointRests:
    """The rests that endpoints have asked one entry for, each in one run of it.

    All times are of a clock that keeps counting while the instance is suspended.
    """

    __slots__ = ("_ends",)

    def __init__(self) -> None:
        self._ends: dict[EndpointRun, float] = {}

    def record(self, run: EndpointRun, seconds: float, now: float) -> None:
        """Records that an endpoint wants no more requests for some seconds."""
        self._ends = {known: end for known, end in self._ends.items() if end > now}
        self._ends[run] = max(self._ends.get(run, 0.0), now + seconds)

    def seconds_left(self, run: EndpointRun, now: float) -> float:
        """Returns for how long an endpoint still wants no requests; zero if it takes them."""
        return max(0.0, self._ends.get(run, now) - now)

    def count(self, now: float) -> int:
        """Returns how many endpoints want no requests now."""
        return sum(end > now for end in self._ends.values())
