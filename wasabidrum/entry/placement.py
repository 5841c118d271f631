"""One attempt of a request at one endpoint, from the choice of the endpoint to the end."""

import asyncio
import typing

from tornado import httputil

from ..core.decoding import decode_json
from ..core.errors import CodedError
from ..core.status import Status
from ..decisions.endpoint_state import EndpointState
from ..wire import headers
from ..wire.retry_after import read_decimal
from .endpoint_table import EndpointView
from .work_item import WorkItem


class PlacementOwner(typing.Protocol):
    """Receives the events of an attempt."""

    def record_status(self, status: Status) -> None:
        """Records a status that a response carried."""

    def record_rest(self, placement: "Placement", seconds: float) -> None:
        """Records that an endpoint wants no more requests from this entry for some time."""

    def record_progress(self, placement: "Placement", tokens: int, now: float) -> None:
        """Records that tokens of an attempt arrived."""

    def record_end(self, placement: "Placement", code: str, now: float) -> None:
        """Records the end of an attempt."""


class Placement:
    """Reports the events of one attempt to its owner; end must be called, and counts once.

    Attributes:
      rest_seconds: For how long the endpoint wants no more requests, by its response; else zero.
    """

    __slots__ = ("item", "view", "state", "started_at", "head_at", "progress_at", "tokens")
    __slots__ += ("suspect", "rest_seconds", "_owner", "_ended")

    def __init__(
        self,
        item: WorkItem,
        view: EndpointView,
        state: EndpointState,
        suspect: bool,
        owner: PlacementOwner,
    ) -> None:
        self.item = item
        self.view = view
        self.state = state
        self.suspect = suspect
        self.started_at = asyncio.get_running_loop().time()
        self.head_at: float | None = None
        self.progress_at: float | None = None
        self.tokens = 0
        self.rest_seconds = 0.0
        self._owner = owner
        self._ended = False
        view.in_progress += 1

    def record_head(self, head: httputil.HTTPHeaders) -> None:
        """Records the head of a response and the status that it carries."""
        # A refusal has a head too. Counted as a started answer, a refused connection to a dead
        # engine would make a poison suspect of a request that never ran there.
        if headers.ERROR_CODE not in head:
            self.head_at = asyncio.get_running_loop().time()
        encoded_status = head.get(headers.STATUS_ON_ANSWER)
        if encoded_status is None:
            return
        try:
            status = decode_json(encoded_status, Status, "status_unreadable")
        except CodedError:
            return
        self._owner.record_status(status)
        rest = read_decimal(head.get(headers.ENDPOINT_REST, ""))
        # A response of another endpoint says nothing about this one.
        if rest and status.name == self.view.instance.name:
            self.rest_seconds = rest
            self._owner.record_rest(self, rest)

    def record_tokens(self, tokens: int) -> None:
        """Records that tokens have just arrived."""
        if tokens > 0:
            self._owner.record_progress(self, tokens, asyncio.get_running_loop().time())

    def end(self, code: str = "") -> None:
        """Ends the attempt, with the error's code or with none if the answer was complete."""
        if not self._ended:
            self._ended = True
            self.view.in_progress -= 1
            self._owner.record_end(self, code, asyncio.get_running_loop().time())
