"""One attempt of a request at one endpoint, from its choice to its end."""

import asyncio
import typing

import msgspec
from tornado import httputil

from ..core.status import Status
from ..decisions.endpoint_state import EndpointState
from ..wire import headers
from .endpoint_table import EndpointView
from .work_item import WorkItem


class PlacementOwner(typing.Protocol):
    """Whom an attempt tells how it goes."""

    def take_status(self, status: Status) -> None:
        """Takes a status that came on an answer."""

    def record_progress(self, placement: "Placement", tokens: int, now: float) -> None:
        """Records tokens that arrived at one attempt."""

    def record_end(self, placement: "Placement", code: str, now: float) -> None:
        """Records the end of one attempt."""


class Placement:
    """Tells the decisions how an attempt goes. Exactly one call of ended ends it."""

    __slots__ = ("item", "view", "state", "began", "head_at", "progress_at", "tokens")
    __slots__ += ("suspect", "_owner", "_ended")

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
        self.began = asyncio.get_running_loop().time()
        self.head_at: float | None = None
        self.progress_at: float | None = None
        self.tokens = 0
        self._owner = owner
        self._ended = False
        view.in_progress += 1

    def head_arrived(self, head: httputil.HTTPHeaders) -> None:
        """Takes the status that came with the head of an answer."""
        # A refusal has a head too. Taken for the head of an answer, a refused connection to a
        # dead engine would count as a death that the request was there at.
        if headers.ERROR_CODE not in head:
            self.head_at = asyncio.get_running_loop().time()
        told = head.get(headers.STATUS_ON_ANSWER)
        if told is None:
            return
        try:
            self._owner.take_status(msgspec.json.decode(told, type=Status))
        except msgspec.MsgspecError:
            return

    def progressed(self, tokens: int) -> None:
        """Takes how many tokens arrived just now."""
        if tokens > 0:
            self._owner.record_progress(self, tokens, asyncio.get_running_loop().time())

    def ended(self, code: str = "") -> None:
        """Ends the attempt: with no code where the answer was whole, else with the error's."""
        if not self._ended:
            self._ended = True
            self.view.in_progress -= 1
            self._owner.record_end(self, code, asyncio.get_running_loop().time())
