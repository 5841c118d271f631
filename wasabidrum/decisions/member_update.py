"""What one process tells another of a third."""

import enum

import msgspec

from ..core.instance import Instance


class MemberState(enum.IntEnum):
    """What is held of a member. Of one account, the higher state outranks the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A member's state as of one of its own statuses.

    Attributes:
      incarnation: Which run of the member this is about; later runs sort higher.
      sequence: The member's last status that the teller had when it said so. The member
        refutes a suspicion by telling of itself with a higher one.
      leaving: Whether the member takes no new work.
      instance: Where the member listens, told with its first news.
    """

    name: str
    state: MemberState
    incarnation: str
    sequence: int
    leaving: bool = False
    instance: Instance | None = None
