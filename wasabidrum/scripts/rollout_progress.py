"""The progress of a rollout, and an estimate of the time left."""

import collections
import dataclasses

from ..core.status import Status

ESTIMATE_WINDOW_SECONDS = 15.0


@dataclasses.dataclass(slots=True)
class RegionProgress:
    """The replicas of one region.

    Attributes:
      wanted: Replicas that are to run the version.
      live: Replicas that answer with it.
      held: The fractions of its chunks that the other replicas hold, summed.
    """

    wanted: int = 0
    live: int = 0
    held: float = 0.0


@dataclasses.dataclass(slots=True)
class RolloutProgress:
    """The progress of a rollout at one time."""

    version: str
    at: float
    regions: dict[str, RegionProgress]
    origin_bytes: float = 0.0
    failed: tuple[str, ...] = ()

    @property
    def wanted(self) -> int:
        """The number of replicas that are to run the version."""
        return sum(region.wanted for region in self.regions.values())

    @property
    def live(self) -> int:
        """The number of these that answer with it."""
        return sum(region.live for region in self.regions.values())

    @property
    def fraction(self) -> float:
        """The fraction of all chunks that is present, where a live replica has all of them."""
        held = sum(region.live + region.held for region in self.regions.values())
        return held / self.wanted if self.wanted else 0.0

    @property
    def done(self) -> bool:
        """Whether all replicas answer with the version; false where none is wanted."""
        return 0 < self.wanted == self.live


def measure_progress(
    version: str, statuses: list[Status], at: float, origin_bytes: float
) -> RolloutProgress:
    """Computes the progress of a version from the statuses of the sidecars."""
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
    """Estimates the time left of a rollout from its recent progress."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: collections.deque[RolloutProgress] = collections.deque()

    def add(self, progress: RolloutProgress) -> float | None:
        """Adds a sample; returns the seconds left, or None where there is no progress to go by."""
        self._samples.append(progress)
        while progress.at - self._samples[0].at > ESTIMATE_WINDOW_SECONDS:
            self._samples.popleft()
        first = self._samples[0]
        gained = progress.fraction - first.fraction
        if progress.done:
            return 0.0
        if gained <= 0.0 or progress.at <= first.at:
            return None
        return (1.0 - progress.fraction) * (progress.at - first.at) / gained
