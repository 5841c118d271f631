"""A lock that lets one process at a time send commands to an endpoint.

A sidecar that was replaced may resume, because it was paused and not dead. Without the lock two
processes would command the same engine, the older one from an old configuration. The lock is a
socket in the kernel's abstract namespace: it needs no disk, is local to the instance, and the
kernel releases it however its holder ends.
"""

import asyncio
import socket
import urllib.parse

from ..observe.event import Event
from ..observe.event_log import EventLog

RETRY_SECONDS = 0.5


class CommandLock:
    """The exclusive right to command one endpoint; held until released or the process ends."""

    __slots__ = ("_address", "_socket", "_log")

    def __init__(self, endpoint_url: str, log: EventLog) -> None:
        host_and_port = urllib.parse.urlsplit(endpoint_url).netloc
        self._address = f"\0wasabidrum/orderer/{host_and_port}"
        self._socket: socket.socket | None = None
        self._log = log

    @property
    def held(self) -> bool:
        """Whether this process holds the lock."""
        return self._socket is not None

    def try_acquire(self) -> bool:
        """Tries to acquire the lock; returns whether this process holds it now."""
        if self._socket is not None:
            return True
        acquired = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            acquired.bind(self._address)
        except OSError:
            acquired.close()
            return False
        self._socket = acquired
        return True

    async def acquire(self) -> None:
        """Waits until the lock is acquired."""
        logged = False
        while not self.try_acquire():
            if not logged:
                logged = True
                self._log.write(Event.ORDERER_WAITS, lock=self._address[1:])
            await asyncio.sleep(RETRY_SECONDS)

    def release(self) -> None:
        """Releases the lock."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
