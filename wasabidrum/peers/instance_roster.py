"""This process's copy of the platform's instance list, and the differences between lists."""

import msgspec

from ..core.digest import digest_of
from ..core.instance import Instance, InstanceList
from .peer_messages import FetchList, ListReply

MAX_STORED_LISTS = 4


class InstanceRoster:
    """The newest instance list from any source, and a few earlier ones to compute differences.

    Attributes:
      as_of: The creation time of the newest list.
      digest: The digest of the newest list.
    """

    __slots__ = ("as_of", "digest", "_lists")

    def __init__(self) -> None:
        self.as_of = 0.0
        self.digest = ""
        self._lists: dict[str, dict[str, Instance]] = {}

    @property
    def instances(self) -> tuple[Instance, ...]:
        """The instances of the newest list."""
        return tuple(self._lists.get(self.digest, {}).values())

    def find(self, name: str) -> Instance | None:
        """Returns an instance of the newest list, or None if it is not listed."""
        return self._lists.get(self.digest, {}).get(name)

    def apply(self, listed: InstanceList) -> bool:
        """Stores a list unless it is older than the newest one; returns whether the instances
        changed."""
        if listed.as_of < self.as_of:
            return False
        self.as_of = listed.as_of
        by_name = {instance.name: instance for instance in listed.instances}
        digest = digest_instances(by_name)
        if digest == self.digest:
            return False
        self.digest = digest
        self._lists.pop(digest, None)
        self._lists[digest] = by_name
        while len(self._lists) > MAX_STORED_LISTS:
            del self._lists[next(iter(self._lists))]
        return True

    def make_reply(self, request: FetchList) -> ListReply:
        """Returns the newest list, or its changes if the requester's list is still stored here."""
        current = self._lists.get(self.digest, {})
        base = self._lists.get(request.digest)
        if base is None:
            return ListReply(self.as_of, self.digest, instances=tuple(current.values()))
        changed = tuple(i for i in current.values() if base.get(i.name) != i)
        removed = tuple(name for name in base if name not in current)
        return ListReply(self.as_of, self.digest, request.digest, changed, removed)

    def expand_reply(self, reply: ListReply) -> InstanceList | None:
        """Returns the full list of a reply, or None if the reply's base is not stored here."""
        base: dict[str, Instance] = {}
        if reply.base_digest:
            if reply.base_digest not in self._lists:
                return None
            base = dict(self._lists[reply.base_digest])
        for name in reply.removed:
            base.pop(name, None)
        base |= {instance.name: instance for instance in reply.instances}
        return InstanceList(reply.as_of, tuple(base.values()))


def digest_instances(by_name: dict[str, Instance]) -> str:
    """Returns a digest that does not depend on the order of the instances."""
    return digest_of(msgspec.msgpack.encode([by_name[name] for name in sorted(by_name)]))[:16]
