"""Reads the platform's service and list for a data centre, while that is this process's part."""

import asyncio

from ..core.background_tasks import BackgroundTasks
from ..observe.event import Event
from ..observe.event_log import EventLog
from .configuration_follower import ConfigurationFollower
from .member_list_cache import MemberListCache

READER_WATCH_SECONDS = 2.0
ALONE_SECONDS = 5.0


class ServiceReader:
    """Starts and ends the reading.

    Attributes:
      reads: Whether this process reads now.
    """

    __slots__ = ("_follower", "_lists", "_tasks", "_log", "_reading", "_connected_at", "reads")

    def __init__(
        self,
        follower: ConfigurationFollower,
        lists: MemberListCache,
        tasks: BackgroundTasks,
        log: EventLog,
        now: float,
    ) -> None:
        self._follower = follower
        self._lists = lists
        self._tasks = tasks
        self._log = log
        self._reading: asyncio.Task[None] | None = None
        self._connected_at = now
        self.reads = False

    def choose(self, is_reader: bool, connected: bool, now: float) -> None:
        """Takes whether the plan names this process, and whether it has a link to anyone."""
        if connected:
            self._connected_at = now
        # A process that hears nobody would stay on its revision for ever.
        alone = now - self._connected_at > ALONE_SECONDS
        reads = alone or is_reader
        if reads == self.reads:
            return
        self.reads = reads
        self._lists.set_reads_often(reads)
        if reads:
            self._log.write(Event.READER_STARTED, alone=alone)
            work = self._follower.run(READER_WATCH_SECONDS)
            self._reading = self._tasks.start("configuration", work)
        elif self._reading is not None:
            self._log.write(Event.READER_STOPPED)
            self._reading.cancel()
