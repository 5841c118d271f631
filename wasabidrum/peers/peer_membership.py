"""Membership from the list, from peers' streams and from news, joined in the member table."""

import collections.abc

from ..core.instance import Instance
from ..decisions.member_record import MemberRecord
from ..decisions.member_table import MemberTable
from ..decisions.member_update import MemberState
from .member_view import MemberView


class PeerMembership:
    """Implements Membership."""

    __slots__ = ("_table", "_own", "_own_view", "_views", "_version", "_failed")

    def __init__(
        self, table: MemberTable, own: collections.abc.Callable[[], Instance | None]
    ) -> None:
        """Takes the table, and what tells where the others find this process, if they do."""
        self._table = table
        self._own = own
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
        own = self._own()
        if own is not None and (self._own_view is None or self._own_view.instance != own):
            self._own_view = MemberView(own)
        # A list that is empty for a moment does not make this process unknown to its peers.
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
        # A failure met by this process counts until the member answers it, or is replaced.
        failed = self._failed.get(record.name) == record.incarnation
        view.suspected = failed or record.state is not MemberState.ALIVE
