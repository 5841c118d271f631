"""Who is next: classes first, then workspaces by what they were served for their share.

Load pattern: at midnight one workspace sends ten times its share. First come, first served
gives it ten elevenths of the fleet, and every other workspace waits behind its backlog.

Each workspace has a virtual clock that moves by cost divided by share with each request
served; the waiting workspace whose clock is furthest behind goes next (start-time fair
queueing). A workspace that was idle starts at the present and is owed nothing for the past.
Between two that both wait, what they were served for their share differs by at most one
request of each (the bound of start-time fair queueing; fair_queue_test.py holds it).
"""

import collections
import collections.abc

from .ticket import Ticket


class FairQueue:
    """Waiting requests of one class, chosen fairly among workspaces."""

    __slots__ = ("_waiting", "_clocks", "_present", "_cost", "_count")

    def __init__(self) -> None:
        self._waiting: dict[str, collections.deque[Ticket]] = {}
        self._clocks: dict[str, float] = {}
        self._present = 0.0
        self._cost = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def cost(self) -> float:
        """What all that wait are expected to cost."""
        return self._cost

    def cost_of(self, workspace: str) -> float:
        """What those of one workspace that wait are expected to cost."""
        return sum(ticket.cost for ticket in self._waiting.get(workspace, ()))

    def shares_waiting(self) -> float:
        """The shares of all workspaces that wait, added up."""
        return sum(waiting[0].share for waiting in self._waiting.values())

    def add(self, ticket: Ticket) -> None:
        """Adds a request behind those of its workspace."""
        waiting = self._waiting.get(ticket.workspace)
        if waiting is None:
            waiting = self._waiting[ticket.workspace] = collections.deque()
            clock = self._clocks.get(ticket.workspace, 0.0)
            self._clocks[ticket.workspace] = max(clock, self._present)
        waiting.append(ticket)
        self._cost += ticket.cost
        self._count += 1

    def remove(self, ticket: Ticket) -> None:
        """Takes out a request that is given up."""
        waiting = self._waiting[ticket.workspace]
        waiting.remove(ticket)
        self._forget(ticket, waiting)

    def pop(self, may_run: collections.abc.Callable[[Ticket], bool]) -> Ticket | None:
        """Takes out the request that is next, and moves its workspace's clock.

        Args:
          may_run: Whether a request may run now; where not, another workspace is next.
        """
        ranked = sorted(self._waiting, key=lambda name: (self._clocks[name], name))
        workspace = next((name for name in ranked if may_run(self._waiting[name][0])), None)
        if workspace is None:
            return None
        waiting = self._waiting[workspace]
        ticket = waiting.popleft()
        self._present = max(self._present, self._clocks[workspace])
        self.charge(workspace, ticket.cost, ticket.share)
        self._forget(ticket, waiting)
        return ticket

    def pass_by(self, ticket: Ticket) -> None:
        """Counts a request that is served without having waited."""
        clock = self._clocks.get(ticket.workspace, 0.0)
        self._clocks[ticket.workspace] = max(clock, self._present)
        self.charge(ticket.workspace, ticket.cost, ticket.share)

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Moves a workspace's clock, back where a request cost less than expected."""
        clock = self._clocks.get(workspace, self._present)
        self._clocks[workspace] = clock + cost / max(share, 1e-6)

    def _forget(self, ticket: Ticket, waiting: collections.deque[Ticket]) -> None:
        self._cost -= ticket.cost
        self._count -= 1
        if not waiting:
            del self._waiting[ticket.workspace]
        if not self._count:
            # Nobody waits, so nobody is owed anything: all start level. This also drops the
            # clocks of workspaces that the configuration no longer names.
            self._cost = 0.0
            self._clocks.clear()
            self._present = 0.0
