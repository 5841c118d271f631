"""Applies messages about members to the member table, logs changes and gossips them."""

import collections.abc

from ..core.instance import Instance
from ..core.status import Status
from ..decisions.member_table import MemberTable
from ..decisions.member_update import MemberState, MemberUpdate
from ..observe.event import Event
from ..observe.event_log import EventLog
from .peer_messages import Push
from .update_log import UpdateLog


class MemberTracker:
    """Updates the member table of one process and the log of updates that its links send.

    Attributes:
      updates: The member updates to gossip.
    """

    __slots__ = ("_table", "_own_status", "_log", "_on_updates", "updates")

    def __init__(
        self,
        table: MemberTable,
        own_status: collections.abc.Callable[[], Status],
        log: EventLog,
        on_updates: collections.abc.Callable[[], None],
    ) -> None:
        """Creates a tracker.

        Args:
          own_status: Returns this process's own status.
          on_updates: Called when there are new updates to gossip.
        """
        self._table = table
        self._own_status = own_status
        self._log = log
        self._on_updates = on_updates
        self.updates = UpdateLog()

    def record_push(self, name: str, push: Push, status: Status, now: float) -> None:
        """Records a member's push; status is its complete status after the push."""
        known = self._table.get(name)
        was = known.state if known is not None else None
        if push.status is not None:
            self._table.apply_status(status, now)
        else:
            self._table.apply_heartbeat(name, push.sequence, now)
        if was is None:
            self._log.write(Event.MEMBER_JOINED, member=name)
        elif was is not MemberState.ALIVE and known.state is MemberState.ALIVE:
            self._log.write(Event.MEMBER_BACK, member=name)

    def apply_updates(self, received: collections.abc.Iterable[MemberUpdate], now: float) -> None:
        """Applies updates received from a member, and refutes a wrong one about this process."""
        refute = False
        for update in received:
            refute = self._table.apply_update(update, now) or refute
        if refute:
            self.updates.add(self._own_update())
        self._publish_updates()

    def suspect(self, name: str, refused: bool, now: float) -> None:
        """Marks a member as suspected that went silent or refuses connections."""
        if self._table.suspect(name, now, refused):
            self._log.write(Event.MEMBER_SUSPECTED, member=name, refused=refused)
        self._publish_updates()

    def apply_list(self, instances: collections.abc.Collection[Instance], now: float) -> None:
        """Applies the platform's instance list; logs it if it is implausible."""
        implausible = self._table.list_is_implausible
        self._table.apply_list(instances, now)
        if self._table.list_is_implausible and not implausible:
            self._log.write(Event.LIST_IMPLAUSIBLE, listed=len(instances))

    def tick(self, now: float) -> None:
        """Declares dead the members whose suspicion was not refuted in time."""
        for name in self._table.tick(now):
            self._log.write(Event.MEMBER_DEAD, member=name)
        self._publish_updates()

    def _publish_updates(self) -> None:
        new_updates = self._table.drain_updates()
        for update in new_updates:
            self.updates.add(update)
        if new_updates:
            self._on_updates()

    def _own_update(self) -> MemberUpdate:
        own = self._own_status()
        return MemberUpdate(own.name, MemberState.ALIVE, own.incarnation, own.sequence, own.leaving)
