"""Where the entry's tasks ask the decisions: who is served, where work goes, who retries."""

from ..core.errors import CodedError
from ..observe.event import Event
from ..observe.event_log import EventLog
from .endpoint_table import EndpointTable
from .placement import Placement
from .work_item import WorkItem

NO_ENDPOINT_RETRY_AFTER_SECONDS = 1.0


class Permit:
    """The right to be worked on; given back once, whatever becomes of the request."""

    __slots__ = ()

    def release(self) -> None:
        """Gives the right back."""


class Traffic:
    """Admission, placement and the retry budget of one entry."""

    __slots__ = ("_table", "_log")

    def __init__(self, table: EndpointTable, log: EventLog) -> None:
        self._table = table
        self._log = log

    async def admit(self, item: WorkItem) -> Permit:
        """Waits for the request's turn.

        Raises:
          CodedError: It is refused, with outcome NOT_RUN and when to come back.
        """
        return Permit()

    def place(self, item: WorkItem, tried: frozenset[str] = frozenset()) -> Placement:
        """Chooses an endpoint that was not tried yet.

        Raises:
          CodedError: No endpoint can take the request now; outcome NOT_RUN.
        """
        candidates = [
            view
            for view in self._table.candidates(item.model, item.service)
            if view.instance.name not in tried
        ]
        if not candidates:
            raise CodedError(
                "no_endpoint",
                "no endpoint can answer now",
                503,
                retry_after=NO_ENDPOINT_RETRY_AFTER_SECONDS,
            )
        view = min(candidates, key=lambda candidate: candidate.in_progress)
        self._log.write(
            Event.REQUEST_PLACED,
            request=item.request_id,
            workspace=item.workspace,
            endpoint=view.instance.name,
        )
        return Placement(item, view, self._table)

    def may_retry(self, item: WorkItem) -> bool:
        """Returns whether the budget allows one more attempt, and takes it from the budget."""
        return False
