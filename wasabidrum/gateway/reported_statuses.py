"""What sidecars tell of the engines beside them, which is fresher than the platform's list."""

import dataclasses

import msgspec

from ..core.listed_endpoint import ListedEndpoint
from ..core.status import Status

# A sidecar tells something every 0.75 s; what is older is left to the platform's list.
REPORT_TRUSTED_SECONDS = 2.0
# How long an engine that refused a request for its weights gets none, unless its sidecar tells of
# it meanwhile; and how late the sidecar's own account of it may be.
REFUSED_SECONDS = 1.0
REPORT_LAG_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport:
    """What a sidecar told last, and when by the event loop's clock."""

    status: Status
    at: float


class ReportedStatuses:
    """The latest account of each sidecar, by its host."""

    __slots__ = ("_told", "_refused")

    def __init__(self) -> None:
        self._told: dict[str, StatusReport] = {}
        self._refused: dict[str, float] = {}

    def take(self, status: Status, now: float) -> None:
        """Takes a sidecar's account."""
        self._told[status.host] = StatusReport(status, now)

    def record_refusal(self, endpoint_id: str, now: float) -> None:
        """Records that an engine refused a request because it does not hold the weights.

        The list names the weights that engines held before they lost power together. Taken for
        failures of theirs, the refusals would keep all engines out after they are back.
        """
        self._refused = {
            name: at for name, at in self._refused.items() if now - at <= REFUSED_SECONDS
        }
        self._refused[endpoint_id] = now

    def with_reported_weights(self, listed: ListedEndpoint, now: float) -> ListedEndpoint:
        """Returns an engine with the weights that its sidecar tells of, where that is fresher.

        The platform's list follows an engine's switch by a second. Until then entries would
        send to it under the old version, be refused, and leave an engine idle that is ready.
        """
        told = self._told.get(listed.host)
        refused_at = self._refused.get(listed.id, float("-inf"))
        told_since = told is not None and told.at >= refused_at + REPORT_LAG_SECONDS
        if now - refused_at <= REFUSED_SECONDS and not told_since:
            return msgspec.structs.replace(listed, weights=0, whole=False)
        if (
            told is None
            or now - told.at > REPORT_TRUSTED_SECONDS
            or told.status.service != listed.service
        ):
            return listed
        status = told.status
        able = status.load.slots > 0 and not status.switching
        weights = int(status.version) if able and status.version.isdecimal() else 0
        return msgspec.structs.replace(
            listed, model=status.model or listed.model, weights=weights, whole=weights > 0
        )
