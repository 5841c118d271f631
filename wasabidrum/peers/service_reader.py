"""Polls the configuration service and the instance list while this process is a reader."""

import asyncio

from ..core.background_tasks import BackgroundTasks
from ..observe.event import Event
from ..observe.event_log import EventLog
from .configuration_follower import ConfigurationFollower
from .member_list_cache import MemberListCache

READER_WATCH_SECONDS = 2.0
DISCONNECTED_SECONDS = 5.0


class ServiceReader:
    """Starts and stops reading the service and the list on behalf of a data centre.

    Attributes:
      reads: Whether this process is reading now.
    """

    __slots__ = (
        "_follower",
        "_member_list",
        "_tasks",
        "_log",
        "_reading",
        "_connected_at",
        "reads",
    )

    def __init__(
        self,
        follower: ConfigurationFollower,
        member_list: MemberListCache,
        tasks: BackgroundTasks,
        log: EventLog,
        now: float,
    ) -> None:
        self._follower = follower
        self._member_list = member_list
        self._tasks = tasks
        self._log = log
        self._reading: asyncio.Task[None] | None = None
        self._connected_at = now
        self.reads = False

    def update(self, is_reader: bool, connected: bool, now: float) -> None:
        """Starts or stops reading.

        Args:
          is_reader: Whether the plan assigns this process as a reader.
          connected: Whether it has a live link to any peer.
        """
        if connected:
            self._connected_at = now
        # Without peers and without reading the service, it would never learn of a new revision.
        disconnected = now - self._connected_at > DISCONNECTED_SECONDS
        reads = disconnected or is_reader
        if reads == self.reads:
            return
        self.reads = reads
        self._member_list.set_reads_often(reads)
        if reads:
            self._log.write(Event.READER_STARTED, alone=disconnected)
            self._reading = self._tasks.keep_running(
                "configuration", lambda: self._follower.run(READER_WATCH_SECONDS)
            )
        elif self._reading is not None:
            self._log.write(Event.READER_STOPPED)
            self._reading.cancel()
