"""The right of one request to be worked on."""

import typing

from ..decisions.ticket import Ticket
from .target_pool import TargetPool
from .work_item import WorkItem


class PermitOwner(typing.Protocol):
    """Who gave a permit, and takes it back."""

    def release(self, pool: TargetPool, ticket: Ticket, item: WorkItem) -> None:
        """Ends a request's admission."""


class Permit:
    """The right to be worked on; given back once, whatever becomes of the request."""

    __slots__ = ("_owner", "_pool", "_ticket", "_item", "_released")

    def __init__(
        self, owner: PermitOwner, pool: TargetPool, ticket: Ticket, item: WorkItem
    ) -> None:
        self._owner = owner
        self._pool = pool
        self._ticket = ticket
        self._item = item
        self._released = False

    def release(self) -> None:
        """Gives the right back; a second call changes nothing."""
        if not self._released:
            self._released = True
            self._owner.release(self._pool, self._ticket, self._item)
