"""Decides which report of an engine's load an entry uses, as reports arrive on two paths.

Load pattern: a hundred engines change their load several times a second, and dozens of entries
send to all of them. On streams, every change costs each end a framed message with
acknowledgements, and entries spend more of their processor on reports than on requests, the
more the larger the fleet. So changes of load are sent as datagrams, and streams carry full statuses
and heartbeats.

Datagrams may be lost, be delivered twice or overtake each other, and a stream's messages wait
behind weights that share its link. If reports were used in the order of their arrival, the load
from before a burst could replace the one from after it, and all entries would send to a full
engine. Reports are therefore ordered by the sidecar's own sequence. A datagram only refreshes a
status that its stream has sent, so that one from an unknown sender, or from before a restart, has
no effect.
"""

from ..core.load_report import LoadReport, make_load_report, with_load_report
from ..core.status import Status


class ReportOrder:
    """The latest status of each sidecar, by host, with its latest load."""

    __slots__ = ("_latest",)

    def __init__(self) -> None:
        self._latest: dict[str, Status] = {}

    def add_status(self, status: Status) -> Status:
        """Adds a status from a stream; returns it with the load of a newer report, if any."""
        known = self._latest.get(status.host)
        same_run = known is not None and known.incarnation == status.incarnation
        if same_run and known.sequence > status.sequence:
            status = with_load_report(status, make_load_report(known))
        self._latest[status.host] = status
        return status

    def add_report(self, report: LoadReport) -> Status | None:
        """Adds a datagram's report; returns the refreshed status, or None if it is outdated."""
        known = self._latest.get(report.host)
        if known is None or known.incarnation != report.incarnation:
            return None
        if report.sequence <= known.sequence:
            return None
        status = self._latest[report.host] = with_load_report(known, report)
        return status

    def forget(self, host: str) -> None:
        """Forgets a sidecar whose stream has ended."""
        self._latest.pop(host, None)
