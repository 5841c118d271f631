"""Keeps the plan of readers and links up to date with the members."""

from ..core.instance import Instance
from ..decisions.member_table import MemberTable
from ..decisions.reader_plan import ReaderPlan

MIN_PLAN_INTERVAL_SECONDS = 0.5


class ReaderAssignment:
    """Recomputes the plan when the members have changed, at most twice a second.

    Attributes:
      plan: The current plan; empty before the first.
    """

    __slots__ = ("_table", "_version", "_made_at", "plan")

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._version = -1
        self._made_at = float("-inf")
        self.plan = ReaderPlan(())

    def is_due(self, now: float) -> bool:
        """Returns whether the plan has to be recomputed."""
        return (
            self._version != self._table.version
            and now - self._made_at >= MIN_PLAN_INTERVAL_SECONDS
        )

    def make(self, own: Instance, now: float) -> list[Instance]:
        """Recomputes the plan from the members known now.

        Returns:
          The instances that this process has to watch.
        """
        self._version = self._table.version
        self._made_at = now
        usable = self._table.usable(now)
        staying = [record.instance for record in usable if not record.leaving]
        self.plan = ReaderPlan((*staying, own))
        members = {record.name: record.instance for record in usable}
        return [members[name] for name in self.plan.parents(own.name)]
