"""Holds what a process knows about another member."""

import dataclasses

from ..core.instance import Instance, InstanceState
from ..core.status import Status
from .member_update import MemberState, MemberUpdate

FLAP_HALF_LIFE_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """A member, combined from the instance list, its own statuses and updates from other members.

    Attributes:
      instance: The address in use.
      listed: What the list contains for its slot, or None if it is not listed.
      passed_on: The address that another member passed on for its incarnation, or None.
      unlisted_at: Since when it has been missing from the list.
      reported_leaving: Whether it has reported that it is leaving; holds for the whole incarnation.
      last_message_at: When its last message arrived at this process.
      suspected_at: When its state became SUSPECT.
      flaps: Number of recent returns to ALIVE, as of flapped_at; decays over time.
    """

    instance: Instance
    listed: Instance | None = None
    passed_on: Instance | None = None
    unlisted_at: float = 0.0
    incarnation: str = ""
    sequence: int = 0
    state: MemberState = MemberState.ALIVE
    reported_leaving: bool = False
    last_message_at: float = float("-inf")
    suspected_at: float = 0.0
    flaps: float = 0.0
    flapped_at: float = 0.0
    status: Status | None = None

    @property
    def name(self) -> str:
        """The slot that the member fills."""
        return self.instance.name

    @property
    def leaving(self) -> bool:
        """Whether it accepts no new work, according to its own statuses or to the list."""
        return self.reported_leaving or self.instance.state is InstanceState.LEAVING

    def to_update(self) -> MemberUpdate:
        """Returns the update to send to other members."""
        return MemberUpdate(
            self.name,
            self.state,
            self.incarnation,
            self.sequence,
            self.reported_leaving,
            self.instance if self.state is MemberState.ALIVE else None,
        )


def instance_from_status(status: Status) -> Instance:
    """Returns the instance that a status describes, with the addresses the daemon reports."""
    state = InstanceState.LEAVING if status.leaving else InstanceState.LIVE
    return Instance(
        status.name,
        status.role,
        status.region,
        status.data_centre,
        status.host,
        status.http_port,
        status.peer_port,
        state,
    )


def address_of(instance: Instance) -> tuple[str, int, int]:
    """Returns the host and the ports at which the daemon of an instance listens."""
    return instance.host, instance.http_port, instance.peer_port


def decayed_flaps(record: MemberRecord, now: float) -> float:
    """Returns the number of recent returns of a member, halved after every half-life."""
    if not record.flaps:
        return 0.0
    return record.flaps * 0.5 ** ((now - record.flapped_at) / FLAP_HALF_LIFE_SECONDS)
