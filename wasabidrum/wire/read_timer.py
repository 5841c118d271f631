"""Closes a connection whose request does not come in time, but never one whose request has come."""

import asyncio
import collections.abc
import dataclasses

from tornado import iostream

from ..decisions.connection_close import CloseCause
from .served_connection import has_input
from .watched_request import WatchedRequest

# How soon a connection is looked at again from which something is being read when it is due.
LOOK_AGAIN_SECONDS = 0.01


@dataclasses.dataclass(slots=True)
class ReadTimeouts:
    """For how long a server waits for its callers, in seconds.

    Attributes:
      idle: From the end of the last request to the first byte of the next one.
      body: From one part of a body to the next.
      find_published: Returns for how long callers are told that idle connections stay open, which
        is kept if it is longer than the server's own time.
      find_head: Returns the time from the first byte of a head to its end; with None, the head
        counts as a part of the idle time.
    """

    idle: float
    body: float
    find_published: collections.abc.Callable[[], float] = float
    find_head: collections.abc.Callable[[], float | None] = lambda: None


class ReadTimer:
    """Closes a connection that is due only if nothing has come that was not read yet.

    Tornado's own timers close a connection in the iteration of the event loop that has read the
    rest of its request, if that iteration is late.
    """

    __slots__ = ("_stream", "_request", "_timeouts", "_end", "_began", "_handle")

    def __init__(
        self,
        stream: iostream.IOStream,
        request: WatchedRequest,
        timeouts: ReadTimeouts,
        end: collections.abc.Callable[[CloseCause], None],
    ) -> None:
        """Starts to wait for a request.

        Args:
          end: Closes the connection.
        """
        self._end = end
        self._stream = stream
        self._request = request
        self._timeouts = timeouts
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        self._handle = loop.call_at(self._due, self._look)

    @property
    def _due(self) -> float:
        request, timeouts = self._request, self._timeouts
        if request.begun:
            return max(request.begun_at, request.read_at) + timeouts.body
        limit = timeouts.find_head()
        if request.read_since is not None and limit is not None:
            return request.read_since + limit
        return self._began + max(timeouts.idle, timeouts.find_published())

    @property
    def _cause(self) -> CloseCause:
        if self._request.begun:
            return CloseCause.BODY_LIMIT
        if self._request.read_since is not None and self._timeouts.find_head() is not None:
            return CloseCause.HEAD_LIMIT
        return CloseCause.IDLE_LIMIT

    def cancel(self) -> None:
        """Ends the waiting."""
        self._handle.cancel()

    def look_again(self) -> None:
        """Looks again when it is due now, as the first byte of a head has come."""
        self._handle.cancel()
        self._handle = asyncio.get_running_loop().call_at(self._due, self._look)

    def _look(self) -> None:
        if self._request.refused or self._request.received or self._stream.closed():
            return
        loop = asyncio.get_running_loop()
        due = self._due
        if due == float("inf"):
            return
        if loop.time() < due:
            self._handle = loop.call_at(due, self._look)
        elif self._stream.reading() and not has_input(self._stream.socket):
            self._end(self._cause)
        else:
            self._handle = loop.call_later(LOOK_AGAIN_SECONDS, self._look)
