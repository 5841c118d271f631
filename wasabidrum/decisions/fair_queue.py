"""Selects the next waiting request of a class by weighted fair queueing among workspaces.

Load pattern: at midnight one workspace sends ten times its share. In order of arrival it would
get ten elevenths of the fleet, and all other workspaces would wait behind its backlog.

Each workspace has a virtual clock that advances by cost divided by share with each request
served. The waiting workspace whose clock is furthest behind is served next (start-time fair
queueing). The clock of a workspace that was idle is set to the current virtual time: idle
workspaces accumulate no credit. The service per share of two workspaces that both have waiting
requests differs by at most one request of each (the bound of start-time fair queueing;
fair_queue_test.py holds it).
"""

import collections
import collections.abc

from .ticket import Ticket


class FairQueue:
    """The waiting requests of one priority class, served fairly among workspaces."""

    __slots__ = ("_waiting", "_clocks", "_virtual_time", "_cost", "_count")

    def __init__(self) -> None:
        self._waiting: dict[str, collections.deque[Ticket]] = {}
        self._clocks: dict[str, float] = {}
        self._virtual_time = 0.0
        self._cost = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def cost(self) -> float:
        """Expected cost of all waiting requests."""
        return self._cost

    def workspace_cost(self, workspace: str) -> float:
        """Returns the expected cost of the waiting requests of a workspace."""
        return sum(ticket.cost for ticket in self._waiting.get(workspace, ()))

    def waiting_shares(self) -> float:
        """Returns the sum of the shares of all workspaces that have waiting requests."""
        return sum(waiting[0].share for waiting in self._waiting.values())

    def add(self, ticket: Ticket) -> None:
        """Adds a request behind the others of its workspace."""
        waiting = self._waiting.get(ticket.workspace)
        if waiting is None:
            waiting = self._waiting[ticket.workspace] = collections.deque()
            clock = self._clocks.get(ticket.workspace, 0.0)
            self._clocks[ticket.workspace] = max(clock, self._virtual_time)
        waiting.append(ticket)
        self._cost += ticket.cost
        self._count += 1

    def remove(self, ticket: Ticket) -> None:
        """Removes a request that will not be served."""
        waiting = self._waiting[ticket.workspace]
        waiting.remove(ticket)
        self._remove_cost(ticket, waiting)

    def pop(self, may_run: collections.abc.Callable[[Ticket], bool]) -> Ticket | None:
        """Removes and returns the next request, and advances its workspace's clock.

        Args:
          may_run: Whether a request may run now; if not, the next workspace is tried.
        """
        ranked = sorted(self._waiting, key=lambda name: (self._clocks[name], name))
        workspace = next((name for name in ranked if may_run(self._waiting[name][0])), None)
        if workspace is None:
            return None
        waiting = self._waiting[workspace]
        ticket = waiting.popleft()
        self._virtual_time = max(self._virtual_time, self._clocks[workspace])
        self.charge(workspace, ticket.cost, ticket.share)
        self._remove_cost(ticket, waiting)
        return ticket

    def charge_unqueued(self, ticket: Ticket) -> None:
        """Charges a request that is served without having waited."""
        clock = self._clocks.get(ticket.workspace, 0.0)
        self._clocks[ticket.workspace] = max(clock, self._virtual_time)
        self.charge(ticket.workspace, ticket.cost, ticket.share)

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Advances a workspace's clock by a cost.

        The cost is negative if a request cost less than was expected.
        """
        clock = self._clocks.get(workspace, self._virtual_time)
        self._clocks[workspace] = clock + cost / max(share, 1e-6)

    def _remove_cost(self, ticket: Ticket, waiting: collections.deque[Ticket]) -> None:
        self._cost -= ticket.cost
        self._count -= 1
        if not waiting:
            del self._waiting[ticket.workspace]
        if not self._count:
            # No request is waiting, so no workspace is behind another and all clocks restart.
            # This also drops the clocks of workspaces that are no longer configured.
            self._cost = 0.0
            self._clocks.clear()
            self._virtual_time = 0.0
