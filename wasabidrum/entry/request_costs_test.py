"""Tests of the limits of workspaces."""

import random
import types
import unittest

from ..core.errors import CodedError
from .request_costs import RequestCosts
from .work_item import Priority, WorkItem

WORKSPACE = "stationers"
TOKENS_PER_SECOND = 10.0
REFUSED_CALLS = 1000


def make_costs() -> RequestCosts:
    """Returns the costs of an entry that alone enforces the limit of one workspace."""
    spec = types.SimpleNamespace(share=1.0, tokens_per_second=TOKENS_PER_SECOND)
    fleet = types.SimpleNamespace(workspaces={WORKSPACE: spec})
    follower = types.SimpleNamespace(current=types.SimpleNamespace(fleet=fleet))
    return RequestCosts(follower, lambda: 1, random.Random(1))


def make_item(**target: str) -> WorkItem:
    """Returns a request of the workspace for a model or a service."""
    return WorkItem(
        request_id="r",
        workspace=WORKSPACE,
        priority=Priority.GENERATE if "model" in target else Priority.CHARGE,
        deadline=10.0,
        idempotent=False,
        max_tokens=20,
        **target,
    )


def admitted(costs: RequestCosts) -> int:
    """Returns how many generations the workspace may start at once."""
    item = make_item(model="m")
    for count in range(REFUSED_CALLS):
        try:
            costs.charge(item, costs.make_ticket(item), 0.0)
        except CodedError:
            return count
    return REFUSED_CALLS


class RefundTest(unittest.TestCase):
    """A workspace that has used up its limit of tokens."""

    def setUp(self) -> None:
        self.costs = make_costs()
        self.assertGreater(admitted(self.costs), 0)

    def test_refused_service_calls_add_nothing_to_the_allowance(self) -> None:
        """Guards against refused calls of a plain service that pay for generations."""
        call = make_item(service="tally")
        for _ in range(REFUSED_CALLS):
            ticket = self.costs.make_ticket(call)
            self.costs.charge(call, ticket, 0.0)
            self.costs.refund(call, ticket)
        self.assertEqual(admitted(self.costs), 0)

    def test_refused_generation_is_refunded(self) -> None:
        item = make_item(model="m")
        for _ in range(REFUSED_CALLS):
            self.costs.refund(item, self.costs.make_ticket(item))
        self.assertGreater(admitted(self.costs), 0)


if __name__ == "__main__":
    unittest.main()
