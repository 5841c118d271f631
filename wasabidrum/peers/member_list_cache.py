"""Keeps the instance list: from the platform where this process reads it, else from peers."""

import asyncio
import collections.abc
import random

from ..core.errors import CodedError
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform.instance_directory import InstanceDirectory
from . import peer_client
from .instance_roster import InstanceRoster

READER_SECONDS = 2.0
OTHERS_SECONDS = 300.0


class MemberListCache:
    """Reads the list at start and rarely, as a reader often, and takes it from peers.

    Attributes:
      reads_often: Whether this process reads the list for its data centre.
    """

    __slots__ = ("_directory", "_log", "_on_list", "_fetching", "_wake", "roster", "reads_often")

    def __init__(
        self,
        directory: InstanceDirectory,
        log: EventLog,
        on_list: collections.abc.Callable[[], None],
    ) -> None:
        self._directory = directory
        self._log = log
        self._on_list = on_list
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
        if self.roster.take(listed):
            self._on_list()

    def set_reads_often(self, reads_often: bool) -> None:
        """Takes whether this process is a reader now."""
        self.reads_often = reads_often
        self._wake.set()

    async def run(self) -> None:
        """Reads for ever."""
        while True:
            self._wake.clear()
            seconds = READER_SECONDS if self.reads_often else OTHERS_SECONDS
            try:
                # The jitter keeps processes that started together from reading together.
                async with asyncio.timeout(seconds * random.uniform(0.5, 1.0)):
                    await self._wake.wait()
            except TimeoutError:
                await self.read()
                continue
            if self.reads_often:
                await self.read()

    def take_claim(self, as_of: float, digest: str, host: str, port: int) -> None:
        """Takes a peer's word that it holds a later list."""
        if as_of <= self.roster.as_of or digest == self.roster.digest or not port:
            return
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch(host, port))

    async def _fetch(self, host: str, port: int) -> None:
        try:
            reply = await peer_client.fetch_list(host, port, self.roster.digest)
        except CodedError:
            return
        listed = self.roster.open(reply)
        if listed is not None and self.roster.take(listed):
            self._on_list()
