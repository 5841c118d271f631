"""Keeps the instance list up to date from the platform and from peers."""

import asyncio
import collections.abc
import random

from ..core.errors import CodedError
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform.instance_directory import InstanceDirectory
from . import peer_client
from .instance_roster import InstanceRoster

READER_INTERVAL_SECONDS = 2.0
DEFAULT_INTERVAL_SECONDS = 300.0


class MemberListCache:
    """Polls the platform's list, often as a reader and else rarely, and fetches newer lists of
    peers.

    Attributes:
      roster: The newest list known.
      reads_often: Whether this process reads the list for its data centre.
    """

    __slots__ = ("_directory", "_log", "_on_change", "_fetching", "_wake", "roster", "reads_often")

    def __init__(
        self,
        directory: InstanceDirectory,
        log: EventLog,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._directory = directory
        self._log = log
        self._on_change = on_change
        self._fetching: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self.roster = InstanceRoster()
        self.reads_often = False

    async def read(self) -> None:
        """Reads the platform's list once."""
        try:
            listed = await self._directory.read()
        except CodedError as error:
            self._log.write(Event.LIST_UNREACHABLE, reason=str(error))
            return
        if self.roster.apply(listed):
            self._on_change()

    def set_reads_often(self, reads_often: bool) -> None:
        """Sets whether this process is a reader, and so how often it polls."""
        self.reads_often = reads_often
        self._wake.set()

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            self._wake.clear()
            seconds = READER_INTERVAL_SECONDS if self.reads_often else DEFAULT_INTERVAL_SECONDS
            try:
                # The jitter spreads the reads of processes that started at the same time.
                async with asyncio.timeout(seconds * random.uniform(0.5, 1.0)):
                    await self._wake.wait()
            except TimeoutError:
                await self.read()
                continue
            if self.reads_often:
                await self.read()

    def handle_claim(self, as_of: float, digest: str, host: str, port: int) -> None:
        """Fetches a peer's list if the peer claims a newer one."""
        if as_of <= self.roster.as_of or digest == self.roster.digest or not port:
            return
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch(host, port))

    async def _fetch(self, host: str, port: int) -> None:
        try:
            reply = await peer_client.fetch_list(host, port, self.roster.digest)
        except CodedError:
            return
        listed = self.roster.expand_reply(reply)
        if listed is not None and self.roster.apply(listed):
            self._on_change()
