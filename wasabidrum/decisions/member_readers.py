"""Who reads the platform's service in each data centre, and who hears it from whom.

Load pattern: 2,300 processes want each of 1,500 revisions a day within 3 s, from a service
that answers 2,000 calls a second to everyone together. If each watched the service, calls
would grow with the fleet. Here two processes of each data centre read it, and the others
hear from two parents each. Every process computes the same plan from the list, so that
nobody has to be asked or elected; lists that differ for a moment give plans that differ in
a few places, which two parents each carry.

The first tree runs down the order and the second runs up it, so that whoever stands high
in one is a leaf in the other: one death leaves everyone a parent, and the work is shared.
Entries stand last in both, because they already hear from their endpoints.
"""

import collections.abc
import hashlib

from ..core.instance import Instance, InstanceRole

READERS_PER_DATA_CENTRE = 2
FAN_OUT = 4


def rank_name(name: str) -> bytes:
    """Returns what a name is ordered by: unrelated to its spelling, the same everywhere."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


class ReaderPlan:
    """The plan that follows from a set of members."""

    __slots__ = ("_orders", "_seconds", "_centre_of")

    def __init__(self, members: collections.abc.Iterable[Instance]) -> None:
        centres: dict[str, list[tuple[bool, bytes, str]]] = {}
        self._centre_of: dict[str, str] = {}
        for member in members:
            place = (member.role is InstanceRole.ENTRY, rank_name(member.name), member.name)
            centres.setdefault(member.data_centre, []).append(place)
            self._centre_of[member.name] = member.data_centre
        self._orders: dict[str, list[str]] = {}
        self._seconds: dict[str, list[str]] = {}
        for centre, places in centres.items():
            places.sort()
            rest = places[READERS_PER_DATA_CENTRE:]
            sidecars = [name for is_entry, _, name in rest if not is_entry]
            entries = [name for is_entry, _, name in rest if is_entry]
            self._orders[centre] = [name for _, _, name in places]
            self._seconds[centre] = [places[min(1, len(places) - 1)][2], *sidecars[::-1], *entries]

    def readers(self, data_centre: str) -> list[str]:
        """Returns the processes that read the service for a data centre."""
        return self._orders.get(data_centre, [])[:READERS_PER_DATA_CENTRE]

    def is_reader(self, name: str) -> bool:
        """Returns whether a process is to read the service."""
        return name in self.readers(self._centre_of.get(name, ""))

    def parents(self, name: str) -> list[str]:
        """Returns whom a process watches: at most two, or other readers for a reader."""
        centre = self._centre_of.get(name)
        if centre is None:
            return []
        order = self._orders[centre]
        index = order.index(name)
        if index < READERS_PER_DATA_CENTRE:
            return order[:index] + self._far_readers(centre, index)
        found = [order[parent_index(index)]]
        tree = self._seconds[centre]
        second = tree[parent_index(tree.index(name))]
        if second not in found:
            found.append(second)
        elif order[1] not in found:
            found.append(order[1])
        else:
            found.append(order[0])
        return found

    def _far_readers(self, centre: str, index: int) -> list[str]:
        # A link carries both ways, so that of two data centres only the later one opens it.
        earlier = sorted(other for other in self._orders if other < centre)
        return [self._orders[other][min(index, len(self._orders[other]) - 1)] for other in earlier]


def parent_index(index: int) -> int:
    """Returns the place of the parent in a tree that is laid out in order."""
    return (index - 1) // FAN_OUT
