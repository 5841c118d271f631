"""Estimates the cost of requests and enforces the token limits of workspaces."""

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

MIN_RETRY_AFTER_SECONDS = 1.0


class RequestCosts:
    """Estimates what requests cost and enforces the configured limits of workspaces."""

    __slots__ = ("_follower", "_count_entries", "_rng", "_expected", "_allowance")

    def __init__(
        self,
        follower: ConfigurationFollower | None,
        count_entries: collections.abc.Callable[[], int],
        rng: random.Random,
    ) -> None:
        """Creates it; count_entries returns how many entries share each workspace's limit."""
        self._follower = follower
        self._count_entries = count_entries
        self._rng = rng
        self._expected = ExpectedCost()
        self._allowance = TokenAllowance()

    def make_ticket(self, item: WorkItem) -> Ticket:
        """Returns the admission ticket of a request, with its expected cost and its share."""
        cost = 1.0
        if item.model:
            cost = self._expected.estimate(item.workspace, item.model, item.max_tokens)
        spec = self._workspace(item)
        share = spec.share if spec is not None else 1.0
        return Ticket(
            item.request_id, item.workspace, int(item.priority), share, cost, item.deadline
        )

    def charge(self, item: WorkItem, ticket: Ticket, now: float) -> None:
        """Deducts a request's expected cost from its workspace's allowance.

        Raises:
          CodedError: The workspace has used up its allowance; nothing was started.
        """
        spec = self._workspace(item)
        if not item.model or spec is None or spec.tokens_per_second <= 0.0:
            return
        per_second = spec.tokens_per_second / max(1, self._count_entries())
        seconds = self._allowance.take(item.workspace, per_second, ticket.cost, now)
        if seconds is None:
            return
        retry = backoff.add_jitter(max(seconds, MIN_RETRY_AFTER_SECONDS), self._rng)
        raise CodedError(
            "workspace_limit", "this workspace has reached its limit", 429, retry_after=retry
        )

    def refund(self, item: WorkItem, ticket: Ticket) -> None:
        """Returns the cost that charge deducted for a request that was not admitted."""
        # Calls of plain services cost a workspace nothing.
        if item.model:
            self._allowance.correct(item.workspace, ticket.cost, 0.0)

    def settle(self, item: WorkItem, ticket: Ticket) -> float | None:
        """Replaces the expected cost of an ended request by the actual cost.

        Returns:
          The actual cost, or None if the answer was not complete: counted by its part, such a
          request would look cheap.
        """
        if item.model:
            if item.completed:
                self._expected.learn(item.workspace, item.model, item.tokens_received)
            # A request may end early or in an error; the tokens it generated are charged anyway.
            self._allowance.correct(item.workspace, ticket.cost, float(item.tokens_received))
        if not item.completed:
            return None
        return float(item.tokens_received) if item.model else 1.0

    def _workspace(self, item: WorkItem) -> WorkspaceSpec | None:
        current = self._follower.current if self._follower else None
        return current.fleet.workspaces.get(item.workspace) if current else None
