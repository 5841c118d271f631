"""How far a rollout is, and when it may end."""

import collections
import dataclasses

from ..core.status import Status

ESTIMATE_WINDOW_SECONDS = 15.0


@dataclasses.dataclass(slots=True)
class RegionProgress:
    """Replicas of one region: wanted, live, and the parts that the others hold."""

    wanted: int = 0
    live: int = 0
    held: float = 0.0


@dataclasses.dataclass(slots=True)
class RolloutProgress:
    """One look at a rollout."""

    version: str
    at: float
    regions: dict[str, RegionProgress]
    origin_bytes: float = 0.0
    failed: tuple[str, ...] = ()

    @property
    def wanted(self) -> int:
        """How many replicas the files want to answer with the version."""
        return sum(region.wanted for region in self.regions.values())

    @property
    def live(self) -> int:
        """How many of these answer with it."""
        return sum(region.live for region in self.regions.values())

    @property
    def fraction(self) -> float:
        """The part of all chunks that is at hand, a live replica counting as whole."""
        held = sum(region.live + region.held for region in self.regions.values())
        return held / self.wanted if self.wanted else 0.0

    @property
    def done(self) -> bool:
        """Whether every replica answers with the version."""
        return 0 < self.wanted == self.live


def measure_progress(
    version: str, statuses: list[Status], at: float, origin_bytes: float
) -> RolloutProgress:
    """Returns how far a version is, by what the sidecars say."""
    regions: dict[str, RegionProgress] = {}
    failed = []
    for status in statuses:
        if status.wanted_version != version:
            continue
        region = regions.setdefault(status.region, RegionProgress())
        region.wanted += 1
        if status.version == version:
            region.live += 1
        elif status.fetching == version and status.chunks_wanted:
            region.held += status.chunks_held / status.chunks_wanted
        if status.failed_version == version:
            failed.append(status.name)
    return RolloutProgress(version, at, regions, origin_bytes, tuple(failed))


class RolloutEstimate:
    """Tells from the latest looks when a rollout may end."""

    __slots__ = ("_looks",)

    def __init__(self) -> None:
        self._looks: collections.deque[RolloutProgress] = collections.deque()

    def take(self, progress: RolloutProgress) -> float | None:
        """Takes a look; returns seconds to the end at the pace since, or None if none shows."""
        self._looks.append(progress)
        while progress.at - self._looks[0].at > ESTIMATE_WINDOW_SECONDS:
            self._looks.popleft()
        first = self._looks[0]
        gained = progress.fraction - first.fraction
        if progress.done:
            return 0.0
        if gained <= 0.0 or progress.at <= first.at:
            return None
        return (1.0 - progress.fraction) * (progress.at - first.at) / gained
