"""An update about a member, which one process sends to another."""

import enum

import msgspec

from ..core.instance import Instance


class MemberState(enum.IntEnum):
    """The state of a member. At the same sequence, the higher state has precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The state of a member as of one of its statuses.

    Attributes:
      incarnation: The incarnation of the member; later ones compare greater.
      sequence: The sequence of the member's last status that the sender had received. The member
        refutes a suspicion with an update of its own that has a higher sequence.
      leaving: Whether the member accepts no new work.
      instance: The addresses of the member; other members include them while it is alive.
    """

    name: str
    state: MemberState
    incarnation: str
    sequence: int
    leaving: bool = False
    instance: Instance | None = None
