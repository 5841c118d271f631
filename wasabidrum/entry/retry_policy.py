"""Decides which failed attempts are retried, and which retries draw on the retry budget."""

from ..core.errors import CodedError
from ..core.outcome import Outcome
from .request_scheduler import RequestScheduler
from .work_item import WorkItem

# The budget bounds the load that retries add to endpoints. These refusals came before an endpoint
# did any work, so retrying them adds none. If they drew on the budget, a planned stop under load
# would exhaust it at once, and callers would be refused although other endpoints are healthy.
UNBUDGETED_CODES = frozenset(("endpoint_leaving", "peer_unreachable", "service_down"))
MAX_UNBUDGETED_RETRIES = 3


class RetryPolicy:
    """The retries of one request: a few without the budget, all others as the budget allows."""

    __slots__ = ("_scheduler", "_item", "_unbudgeted_left")

    def __init__(self, scheduler: RequestScheduler, item: WorkItem) -> None:
        self._scheduler = scheduler
        self._item = item
        self._unbudgeted_left = MAX_UNBUDGETED_RETRIES

    def delay_before_retry(self, error: CodedError) -> float | None:
        """Returns the seconds to wait before the next attempt, or None if there is none."""
        if (
            error.outcome is Outcome.NOT_RUN
            and error.code in UNBUDGETED_CODES
            and self._unbudgeted_left
        ):
            self._unbudgeted_left -= 1
            return 0.0
        if not self._scheduler.may_retry(self._item):
            return None
        return self._scheduler.retry_delay(self._item)
