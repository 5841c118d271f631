"""Statuses that sidecars report of their engines, which are fresher than the platform's list."""

import dataclasses

import msgspec

from ..core.listed_endpoint import ListedEndpoint
from ..core.status import Status

# A sidecar sends a status every 0.75 s. If the last one is older than this, the platform's list
# is used instead.
MAX_REPORT_AGE_SECONDS = 2.0
# How long an engine that refused a request for lack of its weights gets no more, unless its
# sidecar reports meanwhile that it has weights.
REFUSAL_HOLD_SECONDS = 1.0
# How old a status may be when it arrives. One that arrives sooner than this after a refusal may
# have been made before it.
REPORT_LAG_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport:
    """The last status of a sidecar, and when it arrived, by the event loop's clock."""

    status: Status
    received_at: float


class ReportedStatuses:
    """The latest status of each sidecar, by host."""

    __slots__ = ("_reports", "_refused_at")

    def __init__(self) -> None:
        self._reports: dict[str, StatusReport] = {}
        self._refused_at: dict[str, float] = {}

    def record(self, status: Status, now: float) -> None:
        """Records the status that a sidecar sent."""
        self._reports[status.host] = StatusReport(status, now)

    def record_refusal(self, endpoint_id: str, now: float) -> None:
        """Records that an engine refused a request because it does not hold the weights.

        After all engines lose power together, the platform's list still names the weights that
        they held before. If the refusals counted as failures, every engine would stay ejected
        after it is back.
        """
        self._refused_at = {
            name: at for name, at in self._refused_at.items() if now - at <= REFUSAL_HOLD_SECONDS
        }
        self._refused_at[endpoint_id] = now

    def with_reported_weights(self, listed: ListedEndpoint, now: float) -> ListedEndpoint:
        """Returns an engine with the weights that its sidecar reports, if that is fresher.

        The platform's list is a second behind an engine's switch to a new version. Until then,
        entries would send it requests for the old version, which it refuses, and an engine that
        is ready would stay idle.
        """
        report = self._reports.get(listed.host)
        refused_at = self._refused_at.get(listed.id, float("-inf"))
        reported_since = (
            report is not None and report.received_at >= refused_at + REPORT_LAG_SECONDS
        )
        if now - refused_at <= REFUSAL_HOLD_SECONDS and not reported_since:
            return msgspec.structs.replace(listed, weights=0, whole=False)
        if (
            report is None
            or now - report.received_at > MAX_REPORT_AGE_SECONDS
            or report.status.service != listed.service
        ):
            return listed
        status = report.status
        model = status.model or listed.model
        weights = int(status.version) if status.version.isdecimal() else 0
        # The list says how many layers an engine holds, as a sidecar that has just started cannot.
        whole = status.weights_known or (listed.whole and listed.weights == weights)
        # A datagram tells of weights before a status or the list names their model. Without it no
        # bound would apply to them.
        able = status.load.slots > 0 and not status.switching and bool(model)
        if not able or not whole:
            weights = 0
        return msgspec.structs.replace(listed, model=model, weights=weights, whole=weights > 0)
