"""Plans which processes of each data centre read the platform's service, and which relay it.

Load pattern: 2,300 processes each need 1,500 revisions a day within 3 s, from a service that
answers 2,000 calls a second in total. If each process watched the service, its load would grow
with the fleet. Instead two processes of each data centre read it, and each other process watches
two parents. Every process computes the same plan from the member list, so that no requests and no
election are needed. Lists that differ for a moment give plans that differ in a few places; having
two parents covers these.

Each data centre has two trees. The second has the sidecars in reverse order, so that a process near
the root of one is a leaf of the other: after any one death every process still has a parent,
and the work is shared. Entries come last in both trees, because they already receive updates from
their endpoints.
"""

import collections.abc
import hashlib

from ..core.instance import Instance, InstanceRole

READERS_PER_DATA_CENTRE = 2
FAN_OUT = 4


def rank_name(name: str) -> bytes:
    """Returns the sort key of a name: a hash, which is the same at every process."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


class ReaderPlan:
    """The readers and parents that follow from a set of members."""

    __slots__ = ("_first_trees", "_second_trees", "_centre_of")

    def __init__(self, members: collections.abc.Iterable[Instance]) -> None:
        centres: dict[str, list[tuple[bool, bytes, str]]] = {}
        self._centre_of: dict[str, str] = {}
        for member in members:
            sort_key = (member.role is InstanceRole.ENTRY, rank_name(member.name), member.name)
            centres.setdefault(member.data_centre, []).append(sort_key)
            self._centre_of[member.name] = member.data_centre
        self._first_trees: dict[str, list[str]] = {}
        self._second_trees: dict[str, list[str]] = {}
        for centre, sort_keys in centres.items():
            sort_keys.sort()
            rest = sort_keys[READERS_PER_DATA_CENTRE:]
            sidecars = [name for is_entry, _, name in rest if not is_entry]
            entries = [name for is_entry, _, name in rest if is_entry]
            self._first_trees[centre] = [name for _, _, name in sort_keys]
            self._second_trees[centre] = [
                sort_keys[min(1, len(sort_keys) - 1)][2],
                *sidecars[::-1],
                *entries,
            ]

    def readers(self, data_centre: str) -> list[str]:
        """Returns the processes that read the service for a data centre."""
        return self._first_trees.get(data_centre, [])[:READERS_PER_DATA_CENTRE]

    def is_reader(self, name: str) -> bool:
        """Returns whether a process should read the service."""
        return name in self.readers(self._centre_of.get(name, ""))

    def parents(self, name: str) -> list[str]:
        """Returns the processes to watch: two parents, or for a reader some other readers."""
        centre = self._centre_of.get(name)
        if centre is None:
            return []
        first_tree = self._first_trees[centre]
        index = first_tree.index(name)
        if index < READERS_PER_DATA_CENTRE:
            return first_tree[:index] + self._remote_readers(centre, index)
        found = [first_tree[parent_index(index)]]
        second_tree = self._second_trees[centre]
        second = second_tree[parent_index(second_tree.index(name))]
        if second not in found:
            found.append(second)
        elif first_tree[1] not in found:
            found.append(first_tree[1])
        else:
            found.append(first_tree[0])
        return found

    def _remote_readers(self, centre: str, index: int) -> list[str]:
        # Links carry updates both ways, so of two data centres only the later one opens a link.
        earlier = sorted(other for other in self._first_trees if other < centre)
        return [
            self._first_trees[other][min(index, len(self._first_trees[other]) - 1)]
            for other in earlier
        ]


def parent_index(index: int) -> int:
    """Returns the index of the parent in a tree that is stored as a list, level by level."""
    return (index - 1) // FAN_OUT
