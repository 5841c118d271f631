"""One attempt of a request at one endpoint, from its choice to its end."""

import msgspec
from tornado import httputil

from ..core.status import Status
from ..wire import headers
from .endpoint_table import EndpointTable, EndpointView
from .work_item import WorkItem


class Placement:
    """Tells the decisions how an attempt goes. Exactly one call of ended ends it."""

    __slots__ = ("item", "view", "_table", "_ended")

    def __init__(self, item: WorkItem, view: EndpointView, table: EndpointTable) -> None:
        self.item = item
        self.view = view
        self._table = table
        self._ended = False
        view.in_progress += 1

    def head_arrived(self, head: httputil.HTTPHeaders) -> None:
        """Takes the status that came with the head of an answer."""
        told = head.get(headers.STATUS_ON_ANSWER)
        if told is None:
            return
        try:
            self._table.take_status(msgspec.json.decode(told, type=Status))
        except msgspec.MsgspecError:
            return

    def progressed(self, tokens: int) -> None:
        """Takes how many tokens arrived just now."""

    def ended(self, code: str = "") -> None:
        """Ends the attempt: with no code where the answer was whole, else with the error's."""
        if not self._ended:
            self._ended = True
            self.view.in_progress -= 1
