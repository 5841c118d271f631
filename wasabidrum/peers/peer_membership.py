"""Membership from the member table, which joins the list, peers' streams and gossip."""

import collections.abc

from ..core.instance import Instance
from ..decisions.member_record import MemberRecord
from ..decisions.member_table import MemberTable
from ..decisions.member_update import MemberState
from .member_view import MemberView


class PeerMembership:
    """Implements Membership with the member table and failures seen by this process."""

    __slots__ = ("_table", "_find_own", "_own_view", "_views", "_version", "_failed")

    def __init__(
        self, table: MemberTable, find_own: collections.abc.Callable[[], Instance | None]
    ) -> None:
        """Creates the view of a table.

        Args:
          find_own: Returns this process's own listed instance, or None if it is not listed.
        """
        self._table = table
        self._find_own = find_own
        self._own_view: MemberView | None = None
        self._views: dict[str, MemberView] = {}
        self._version = -1
        self._failed: dict[str, str] = {}

    @property
    def members(self) -> list[MemberView]:
        """See Membership."""
        if self._version != self._table.version:
            self._version = self._table.version
            self._views = {
                record.name: self._views.get(record.name) or MemberView(record.instance)
                for record in self._table.records
                if record.state is not MemberState.DEAD
            }
        for name, view in self._views.items():
            self._update(view, self._table.get(name))
        own = self._find_own()
        if own is not None and (self._own_view is None or self._own_view.instance != own):
            self._own_view = MemberView(own)
        # The last own view is kept, so that a list that is briefly empty does not remove this
        # process from the members.
        return [*self._views.values(), *([self._own_view] if self._own_view else [])]

    def report_failure(self, name: str) -> None:
        """See Membership."""
        record = self._table.get(name)
        if record is not None:
            self._failed[name] = record.incarnation

    def report_success(self, name: str) -> None:
        """See Membership."""
        self._failed.pop(name, None)

    def _update(self, view: MemberView, record: MemberRecord) -> None:
        view.instance = record.instance
        view.status = record.status
        view.seen_at = record.last_message_at
        # A failure seen by this process counts until the member answers it or is restarted.
        failed = self._failed.get(record.name) == record.incarnation
        view.suspected = failed or record.state is not MemberState.ALIVE
