"""What requests cost, and what of it their workspaces may still spend."""

import collections.abc
import random

from ..core.errors import CodedError
from ..core.fleet import WorkspaceSpec
from ..decisions import backoff
from ..decisions.expected_cost import ExpectedCost
from ..decisions.ticket import Ticket
from ..decisions.token_allowance import TokenAllowance
from ..peers.configuration_follower import ConfigurationFollower
from .work_item import WorkItem

SHORTEST_RETRY_SECONDS = 1.0


class RequestCosts:
    """Estimates what requests cost, and holds workspaces to the limits in the files."""

    __slots__ = ("_follower", "_count_entries", "_rng", "_expected", "_allowance")

    def __init__(
        self,
        follower: ConfigurationFollower | None,
        count_entries: collections.abc.Callable[[], int],
        rng: random.Random,
    ) -> None:
        """Takes what counts the entries that share a workspace's limit."""
        self._follower = follower
        self._count_entries = count_entries
        self._rng = rng
        self._expected = ExpectedCost()
        self._allowance = TokenAllowance()

    def make_ticket(self, item: WorkItem) -> Ticket:
        """Returns what a request waits in line with: its expected cost and its share."""
        cost = 1.0
        if item.model:
            cost = self._expected.estimate(item.workspace, item.model, item.max_tokens)
        spec = self._workspace(item)
        share = spec.share if spec is not None else 1.0
        return Ticket(
            item.request_id, item.workspace, int(item.priority), share, cost, item.deadline
        )

    def charge(self, item: WorkItem, ticket: Ticket, now: float) -> None:
        """Takes a request's expected cost from its workspace's limit.

        Raises:
          CodedError: The workspace has used up its limit; nothing was started.
        """
        spec = self._workspace(item)
        if not item.model or spec is None or spec.tokens_per_second <= 0.0:
            return
        per_second = spec.tokens_per_second / max(1, self._count_entries())
        seconds = self._allowance.take(item.workspace, per_second, ticket.cost, now)
        if seconds is None:
            return
        retry = backoff.add_jitter(max(seconds, SHORTEST_RETRY_SECONDS), self._rng)
        raise CodedError(
            "workspace_limit", "this workspace is at its limit", 429, retry_after=retry
        )

    def refund(self, item: WorkItem, ticket: Ticket) -> None:
        """Gives back what charge took for a request that was not let in."""
        self._allowance.correct(item.workspace, ticket.cost, 0.0)

    def settle(self, item: WorkItem, ticket: Ticket) -> float | None:
        """Replaces the expected cost of a request that ended by the real one.

        Returns:
          The real cost, or None where the answer was not whole: a part of it would pass for a
          cheap request.
        """
        if item.model:
            if item.whole:
                self._expected.learn(item.workspace, item.model, item.tokens_done)
            # A request may end early or in an error; what it generated is charged all the same.
            self._allowance.correct(item.workspace, ticket.cost, float(item.tokens_done))
        if not item.whole:
            return None
        return float(item.tokens_done) if item.model else 1.0

    def _workspace(self, item: WorkItem) -> WorkspaceSpec | None:
        current = self._follower.current if self._follower else None
        return current.fleet.workspaces.get(item.workspace) if current else None
