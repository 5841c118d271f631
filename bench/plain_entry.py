"""An entry whose decisions are replaced by a plain baseline, for comparison in benches.

Runs like wasabidrumd, with the policy in the environment variable BENCH_POLICY: random,
round_robin, least_reported, or no_admission (fewest of this entry's own requests). All admit
everything and retry nothing.
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


class PlainTraffic(RequestScheduler):
    """Admits everything and places by one simple rule."""

    policy = os.environ.get(POLICY_VARIABLE, "no_admission")

    def __init__(self, *given: object) -> None:
        super().__init__(*given)
        # Entries do not know of each other, and start their rounds at different places.
        self._turns = itertools.count(self._rng.randrange(1000))

    async def admit(self, item: WorkItem) -> Permit:
        """Lets the request run at once."""
        self._in_progress_limit = InProgressLimit(10**9)
        pool = self._pool(item)
        return Permit(self, pool, Ticket(item.request_id, "", 2, 1.0, 1.0, item.deadline), item)

    def place(self, item: WorkItem, tried: frozenset[str] = frozenset()) -> Placement:
        """Places by the policy."""
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
        """Chooses an endpoint."""
        if self.policy == "random":
            return self._rng.choice(views)
        if self.policy == "round_robin":
            return views[next(self._turns) % len(views)]
        if self.policy == "least_reported":
            return min(views, key=reported)
        return min(views, key=lambda view: view.in_progress)

    def may_retry(self, item: WorkItem) -> bool:
        """Retries nothing."""
        return False


if __name__ == "__main__":
    entry_daemon.RequestScheduler = PlainTraffic
    sys.exit(daemon.main())
