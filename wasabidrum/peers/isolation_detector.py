"""Detects whether this process is cut off from the network, or the other members are dead."""

import asyncio
import collections.abc

from ..core.background_tasks import BackgroundTasks
from ..decisions.member_table import MemberTable
from ..observe.event import Event
from ..observe.event_log import EventLog

VERIFY_INTERVAL_SECONDS = 2.0


class IsolationDetector:
    """Queries other peers when most of the members that this process watches are silent."""

    __slots__ = ("_table", "_verify", "_tasks", "_log", "_verifying")

    def __init__(
        self,
        table: MemberTable,
        verify: collections.abc.Callable[[], collections.abc.Awaitable[int]],
        tasks: BackgroundTasks,
        log: EventLog,
    ) -> None:
        """Creates a detector.

        Args:
          verify: Queries a few peers and returns how many answered.
        """
        self._table = table
        self._verify = verify
        self._tasks = tasks
        self._log = log
        self._verifying: asyncio.Task[None] | None = None

    def check(self, watched: list[str]) -> None:
        """Starts a query in the background if most of the watched members are silent."""
        if not self._table.may_be_isolated(watched):
            self._table.isolated = False
        elif self._verifying is None or self._verifying.done():
            if not self._table.isolated:
                self._log.write(Event.MAYBE_ISOLATED, watched=len(watched))
            self._table.isolated = True
            self._verifying = self._tasks.start("isolation", self._verify_once())

    async def _verify_once(self) -> None:
        # An answer of any peer proves that this process is not cut off.
        self._table.isolated = not await self._verify()
        await asyncio.sleep(VERIFY_INTERVAL_SECONDS)
