"""What a process holds of one other."""

import dataclasses

from ..core.instance import Instance, InstanceState
from ..core.status import Status
from .member_update import MemberState, MemberUpdate

FLAP_HALF_LIFE_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """A member, joined from the list, its own word and the word of others.

    Attributes:
      listed: What the list says of the slot, or None where it is not listed.
      unlisted_at: Since when the list has lacked it.
      says_leaving: It said itself that it is leaving; holds for the whole incarnation.
      heard_at: When it was last heard directly.
      suspected_at: When its state became SUSPECT.
      flaps: How often it came back lately, decaying.
    """

    instance: Instance
    listed: Instance | None = None
    unlisted_at: float = 0.0
    incarnation: str = ""
    sequence: int = 0
    state: MemberState = MemberState.ALIVE
    says_leaving: bool = False
    heard_at: float = float("-inf")
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
        """Whether it takes no new work, by its own word or by the list's."""
        return self.says_leaving or self.instance.state is InstanceState.LEAVING

    def news(self) -> MemberUpdate:
        """Returns what to tell others."""
        return MemberUpdate(
            self.name,
            self.state,
            self.incarnation,
            self.sequence,
            self.says_leaving,
            self.instance if self.state is MemberState.ALIVE else None,
        )


def instance_from(status: Status) -> Instance:
    """Returns where a daemon listens, by its own word."""
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
    """Returns where an instance's daemon listens."""
    return instance.host, instance.http_port, instance.peer_port


def flaps_now(record: MemberRecord, now: float) -> float:
    """Returns how often a member came back lately, each return counting half as much after
    every half-life."""
    if not record.flaps:
        return 0.0
    return record.flaps * 0.5 ** ((now - record.flapped_at) / FLAP_HALF_LIFE_SECONDS)
