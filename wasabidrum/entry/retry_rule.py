"""Which failed attempts may be made again elsewhere without drawing on the retry budget."""

from ..core.errors import CodedError
from ..core.outcome import Outcome
from .traffic import Traffic
from .work_item import WorkItem

# The budget bounds the load that retries add to endpoints. These refusals came before any
# endpoint worked, so they add none; without them a planned stop under load would spend the
# budget within a moment, and callers would see refusals although other endpoints are well.
FREE_CODES = frozenset(("endpoint_leaving", "peer_unreachable", "service_down"))
MOST_FREE_MOVES = 3


class RetryRule:
    """Counts one request's free moves; all else is asked of the budget."""

    __slots__ = ("_traffic", "_item", "_free_moves")

    def __init__(self, traffic: Traffic, item: WorkItem) -> None:
        self._traffic = traffic
        self._item = item
        self._free_moves = MOST_FREE_MOVES

    def pause_before(self, error: CodedError) -> float | None:
        """Returns seconds to wait before another attempt, or None where there is none."""
        if error.outcome is Outcome.NOT_RUN and error.code in FREE_CODES and self._free_moves:
            self._free_moves -= 1
            return 0.0
        if not self._traffic.may_retry(self._item):
            return None
        return self._traffic.retry_delay(self._item)
