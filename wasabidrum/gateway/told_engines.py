"""What sidecars tell of the engines beside them, which is fresher than the platform's list."""

import dataclasses

import msgspec

from ..core.listed_endpoint import ListedEndpoint
from ..core.status import Status

# A sidecar tells something every 0.75 s; what is older is left to the platform's list.
TOLD_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ToldStatus:
    """What a sidecar told last, and when by the event loop's clock."""

    status: Status
    at: float


class ToldEngines:
    """The latest account of each sidecar, by its host."""

    __slots__ = ("_told",)

    def __init__(self) -> None:
        self._told: dict[str, ToldStatus] = {}

    def take(self, status: Status, now: float) -> None:
        """Takes a sidecar's account."""
        self._told[status.host] = ToldStatus(status, now)

    def as_told(self, listed: ListedEndpoint, now: float) -> ListedEndpoint:
        """Returns an engine with the weights that its sidecar tells of, where that is fresher.

        The platform's list follows an engine's switch by a second. Until then entries would
        send to it under the old version, be refused, and leave an engine idle that is ready.
        """
        told = self._told.get(listed.host)
        if told is None or now - told.at > TOLD_SECONDS or told.status.service != listed.service:
            return listed
        status = told.status
        able = status.load.slots > 0 and not status.switching
        weights = int(status.version) if able and status.version.isdecimal() else 0
        return msgspec.structs.replace(
            listed, model=status.model or listed.model, weights=weights, whole=weights > 0
        )
