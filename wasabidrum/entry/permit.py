"""The right of one request to be worked on."""

import typing

from ..decisions.ticket import Ticket
from .target_pool import TargetPool
from .work_item import WorkItem

if typing.TYPE_CHECKING:
    from .traffic import Traffic


class Permit:
    """The right to be worked on; given back once, whatever becomes of the request."""

    __slots__ = ("_traffic", "_pool", "_ticket", "_item", "_released")

    def __init__(
        self, traffic: "Traffic", pool: TargetPool, ticket: Ticket, item: WorkItem
    ) -> None:
        self._traffic = traffic
        self._pool = pool
        self._ticket = ticket
        self._item = item
        self._released = False

    def release(self) -> None:
        """Gives the right back; a second call changes nothing."""
        if not self._released:
            self._released = True
            self._traffic.release(self._pool, self._ticket, self._item)
