"""An entry with a simple baseline scheduler, for comparison in benches.

Runs like wasabidrumd, with the policy in the environment variable BENCH_POLICY: random,
round_robin, least_reported, or no_admission (the endpoint with the fewest requests in progress from
this entry). All policies admit everything and retry nothing.
"""

import asyncio
import itertools
import os
import sys

from wasabidrum.core.errors import CodedError
from wasabidrum.decisions.in_progress_limit import InProgressLimit
from wasabidrum.decisions.ticket import Ticket
from wasabidrum.entry import daemon as entry_daemon
from wasabidrum.entry.permit import Permit
from wasabidrum.entry.placement import Placement
from wasabidrum.entry.request_scheduler import RequestScheduler
from wasabidrum.entry.work_item import WorkItem
from wasabidrum.scripts import daemon

POLICY_VARIABLE = "BENCH_POLICY"


def reported(view) -> int:
    """Returns the load that an endpoint last reported."""
    return view.status.load.running + view.status.load.waiting


class BaselineScheduler(RequestScheduler):
    """Admits everything and places requests by the policy."""

    policy = os.environ.get(POLICY_VARIABLE, "no_admission")

    def __init__(self, *given: object) -> None:
        super().__init__(*given)
        # Entries do not coordinate, so each starts its round robin at a random endpoint.
        self._turns = itertools.count(self._rng.randrange(1000))

    async def admit(self, item: WorkItem) -> Permit:
        """Admits the request without queueing."""
        self._in_progress_limit = InProgressLimit(10**9)
        pool = self._pool(item)
        return Permit(self, pool, Ticket(item.request_id, "", 2, 1.0, 1.0, item.deadline), item)

    def place(self, item: WorkItem, tried: frozenset[str] = frozenset()) -> Placement:
        """Places the request on the endpoint that the policy chooses."""
        views = [
            view
            for view in self._table.candidates(item.model, item.service)
            if view.instance.name not in tried
        ]
        pool = self._pool(item)
        now = asyncio.get_running_loop().time()
        pool.invalidate()
        pool.refresh(self._table, now)
        if not views:
            raise CodedError("no_endpoint", "no endpoint can answer now", 503, retry_after=1.0)
        view = self.choose(views)
        state = pool.states[view.instance.name]
        state.record_placed(now)
        return Placement(item, view, state, False, self)

    def choose(self, views: list):
        """Returns the endpoint that the policy chooses."""
        if self.policy == "random":
            return self._rng.choice(views)
        if self.policy == "round_robin":
            return views[next(self._turns) % len(views)]
        if self.policy == "least_reported":
            return min(views, key=reported)
        return min(views, key=lambda view: view.in_progress)

    def may_retry(self, item: WorkItem) -> bool:
        """Returns False: baselines do not retry."""
        return False


if __name__ == "__main__":
    entry_daemon.RequestScheduler = BaselineScheduler
    sys.exit(daemon.main())
