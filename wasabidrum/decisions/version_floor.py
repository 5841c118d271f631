"""The oldest version of a model's weights that a request may still begin on.

Load pattern: new weights are named while every engine still answers with the old ones. Refused
at once, all callers would wait for seconds; allowed for ever, an engine that never switches
would go on answering with what operators have replaced. So the old version is good until a
moment before the bound that the users set, and then only engines that have switched get work.

Grounds: MARGIN_SECONDS covers the time between a request's departure and its first token at a
full engine, and how late a change is heard of. A process that has just started cannot know for
how long a version has been wanted, unless another tells it; FIRST_SECONDS lets engines answer
that are switching now, and is over before anyone counts on this process again, three seconds
after its start.

All times are of a clock that counts while the instance is suspended.
"""

import dataclasses

MARGIN_SECONDS = 1.0
FIRST_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class WantedVersion:
    """A version that was named, and from when on older ones get no requests."""

    version: int
    binding_from: float


class VersionFloor:
    """The versions named of one model."""

    __slots__ = ("_wanted", "_bound")

    def __init__(self, bound: float) -> None:
        """Takes the seconds from a version's naming until older ones must not begin."""
        self._bound = bound
        self._wanted: list[WantedVersion] = []

    @property
    def newest(self) -> int:
        """The newest version named; zero before the first."""
        return max((wanted.version for wanted in self._wanted), default=0)

    def newest_seconds(self, now: float) -> float:
        """Returns for how long the newest version has been wanted, as far as is known."""
        newest = max(self._wanted, key=lambda wanted: wanted.version)
        return max(0.0, now - (newest.binding_from - self._bound + MARGIN_SECONDS))

    def take(self, version: int, now: float, just_started: bool = False) -> bool:
        """Takes a version that was named; returns whether it is newer than all before."""
        if version <= self.newest:
            return False
        wait = FIRST_SECONDS if just_started else self._bound - MARGIN_SECONDS
        self._wanted.append(WantedVersion(version, now + wait))
        return True

    def take_told(self, version: int, seconds: float, now: float) -> None:
        """Takes from a process that runs for longer how long a version has been wanted."""
        binding_from = now - seconds + self._bound - MARGIN_SECONDS
        self._wanted = [
            (
                WantedVersion(w.version, min(w.binding_from, binding_from))
                if w.version == version
                else w
            )
            for w in self._wanted
        ]

    def oldest_allowed(self, now: float) -> int:
        """Returns the oldest version that a request may begin on."""
        bound = [wanted.version for wanted in self._wanted if now >= wanted.binding_from]
        return max(bound, default=0)
