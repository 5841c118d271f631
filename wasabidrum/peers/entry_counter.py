"""Counts the active entries, among which the limits of workspaces are divided."""

import asyncio

from ..core.instance import InstanceRole
from ..decisions.member_table import MemberTable
from ..decisions.member_update import MemberState

COUNT_INTERVAL_SECONDS = 2.0


class EntryCounter:
    """Caches the number of entries: the table holds thousands of members, so each count is slow."""

    __slots__ = ("_table", "_own_name", "_count", "_counted_at")

    def __init__(self, table: MemberTable, own_name: str) -> None:
        self._table = table
        self._own_name = own_name
        self._count = 1
        self._counted_at = float("-inf")

    def count(self) -> int:
        """Returns how many entries accept work, including this one."""
        now = asyncio.get_running_loop().time()
        if now - self._counted_at >= COUNT_INTERVAL_SECONDS:
            self._counted_at = now
            self._count = 1 + sum(
                record.instance.role is InstanceRole.ENTRY
                and record.name != self._own_name
                and record.state is not MemberState.DEAD
                and not record.leaving
                for record in self._table.records
            )
        return self._count
