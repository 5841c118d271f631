"""A sidecar's report of its engine's load, small enough for a datagram."""

import msgspec

from .load import Load
from .status import Status


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The part of a sidecar's status that changes with each request.

    Fields are encoded by position and may only be appended.

    Attributes:
      host: The instance of the sidecar, as in its status.
      incarnation: The run of the sidecar, as in its status.
      sequence: Counts the statuses of one incarnation, those on streams included.
      version: The version that the engine answers with, or empty.
      switching: Whether the engine is switching versions, or is about to.
    """

    host: str
    incarnation: str
    sequence: int
    running: int = 0
    waiting: int = 0
    slots: int = 1
    pace: float = 1.0
    version: str = ""
    switching: bool = False


def make_load_report(status: Status) -> LoadReport:
    """Returns the report that a status contains."""
    load = status.load
    return LoadReport(
        status.host,
        status.incarnation,
        status.sequence,
        load.running,
        load.waiting,
        load.slots,
        load.pace,
        status.version,
        status.switching,
    )


def with_load_report(status: Status, report: LoadReport) -> Status:
    """Returns a status with the fields of a newer report of the same sidecar."""
    return msgspec.structs.replace(
        status,
        sequence=report.sequence,
        load=Load(report.running, report.waiting, report.slots, pace=report.pace),
        version=report.version,
        switching=report.switching,
    )
