"""The admission permit of one request."""

import typing

from ..decisions.ticket import Ticket
from .target_pool import TargetPool
from .work_item import WorkItem


class PermitOwner(typing.Protocol):
    """The issuer of a permit, which takes it back."""

    def release(self, pool: TargetPool, ticket: Ticket, item: WorkItem) -> None:
        """Ends a request's admission."""


class Permit:
    """Permission to run one request; released exactly once, however the request ends."""

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
        """Releases the permit; further calls have no effect."""
        if not self._released:
            self._released = True
            self._owner.release(self._pool, self._ticket, self._item)
