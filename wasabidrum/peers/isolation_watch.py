"""Finds out whether this process is cut off, or whether the others are gone."""

import asyncio
import collections.abc

from ..core.background_tasks import BackgroundTasks
from ..decisions.member_table import MemberTable
from ..observe.event import Event
from ..observe.event_log import EventLog

ASK_SECONDS = 2.0


class IsolationWatch:
    """Asks others once most of those that this process watches are silent."""

    __slots__ = ("_table", "_verify", "_tasks", "_log", "_asking")

    def __init__(
        self,
        table: MemberTable,
        verify: collections.abc.Callable[[], collections.abc.Awaitable[int]],
        tasks: BackgroundTasks,
        log: EventLog,
    ) -> None:
        """Takes what asks a few peers and returns how many answered."""
        self._table = table
        self._verify = verify
        self._tasks = tasks
        self._log = log
        self._asking: asyncio.Task[None] | None = None

    def judge(self, watched: list[str]) -> None:
        """Takes whom this process watches; asks in the background where they are silent."""
        if not self._table.may_be_isolated(watched):
            self._table.isolated = False
        elif self._asking is None or self._asking.done():
            if not self._table.isolated:
                self._log.write(Event.MAYBE_ISOLATED, watched=len(watched))
            self._table.isolated = True
            self._asking = self._tasks.start("isolation", self._ask())

    async def _ask(self) -> None:
        # Others that answer prove that the silent ones, and not this process, are gone.
        self._table.isolated = not await self._verify()
        await asyncio.sleep(ASK_SECONDS)
