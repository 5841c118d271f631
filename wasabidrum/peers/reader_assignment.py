"""Keeps the plan of who hears from whom in step with the members."""

from ..core.instance import Instance
from ..decisions.member_table import MemberTable
from ..decisions.reader_plan import ReaderPlan

PLAN_SECONDS = 0.5


class ReaderAssignment:
    """Makes the plan anew once the members have changed, twice a second at most.

    Attributes:
      plan: The last plan made; empty before the first.
    """

    __slots__ = ("_table", "_version", "_made_at", "plan")

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._version = -1
        self._made_at = float("-inf")
        self.plan = ReaderPlan(())

    def is_due(self, now: float) -> bool:
        """Returns whether the plan is to be made anew."""
        return self._version != self._table.version and now - self._made_at >= PLAN_SECONDS

    def make(self, own: Instance, now: float) -> list[Instance]:
        """Makes the plan by the members known now; returns whom this process is to watch."""
        self._version = self._table.version
        self._made_at = now
        usable = self._table.usable(now)
        staying = [record.instance for record in usable if not record.leaving]
        self.plan = ReaderPlan((*staying, own))
        members = {record.name: record.instance for record in usable}
        return [members[name] for name in self.plan.parents(own.name)]
