"""An HTTP server that starts callers' connections at a limited rate, to stay responsive."""

import asyncio
import collections
import dataclasses
import select
import socket
import typing

from tornado import httputil, iostream

from ..decisions.connection_close import CloseCause, CloseStage
from ..wire.ending_server import EndingServer
from ..wire.served_connection import has_event, has_input
from ..wire.watched_request import WatchedRequest

# Reading and refusing a request takes about 3 ms of processor time (mean over 400 requests, each
# on its own connection). This many delay everything else in an iteration of the event loop by
# 12 ms, or by 50 ms on an instance that runs four times slower.
CONNECTIONS_PER_ITERATION = 4


@typing.runtime_checkable
class TracksArrival(typing.Protocol):
    """A request delegate that takes into account how long the request waited unread."""

    def set_arrival_time(self, arrived_at: float) -> None:
        """Sets when the request arrived, by the event loop's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingConnection:
    """An accepted connection that was not started yet.

    Attributes:
      arrived_at: When its request was found to have arrived, by the event loop's clock; None if
        it had not when the connection was accepted.
    """

    stream: iostream.IOStream
    address: tuple
    arrived_at: float | None


class PacedServer(EndingServer):
    """Starts a few connections in each iteration of the event loop, in order of arrival.

    Tornado accepts up to 128 connections in one iteration and reads all their requests in the
    next. On a slow instance such an iteration takes over a second. During that time no event of
    a stream is passed on and no disconnect is noticed: engines work for callers that are gone,
    and the log lines of cancelled requests are late by as much. This server accepts the other
    connections but lets them wait, so that it knows how long their requests waited unread.

    A caller that closes its sending side after its request is answered if its connection is started
    at once; if it has to wait, it is taken for one that has given up.
    """

    def initialize(self, *args: object, **kwargs: object) -> None:
        """Initializes the server with the arguments of Tornado's HTTPServer."""
        super().initialize(*args, **kwargs)
        self._waiting: collections.deque[WaitingConnection] = collections.deque()
        self._arrival_times: dict[iostream.IOStream, float] = {}
        self._started_this_iteration = 0

    @property
    def has_unstarted(self) -> bool:
        """Whether connections were accepted that are not being read yet."""
        return bool(self._waiting) or super().has_unstarted

    @property
    def connection_count(self) -> int:
        """The number of accepted connections that are open."""
        return super().connection_count + len(self._waiting)

    @property
    def _is_full(self) -> bool:
        return super()._is_full or (
            bool(self._waiting) and self.connection_count >= self.max_connections
        )

    @property
    def unread_count(self) -> int:
        """The number of connections that were accepted and from which nothing was ever read."""
        return super().unread_count + len(self._waiting)

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Starts an accepted connection or lets it wait; see TCPServer."""
        if self._started_this_iteration < CONNECTIONS_PER_ITERATION and not self._waiting:
            self._start_connection(stream, address)
            return
        now = asyncio.get_running_loop().time()
        arrived_at = now if has_input(stream.socket) else None
        self._waiting.append(WaitingConnection(stream, address, arrived_at))

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> WatchedRequest:
        """See HTTPServerConnectionDelegate."""
        request = super().start_request(server_conn, request_conn)
        arrived_at = self._arrival_times.pop(request_conn.stream, None)
        if arrived_at is not None and isinstance(request.delegate, TracksArrival):
            request.delegate.set_arrival_time(arrived_at)
        return request

    def _start_connection(self, stream: iostream.IOStream, address: tuple) -> None:
        if not self._started_this_iteration:
            asyncio.get_running_loop().call_soon(self._start_waiting)
        self._started_this_iteration += 1
        super().handle_stream(stream, address)

    def _start_waiting(self) -> None:
        self._started_this_iteration = 0
        while self._waiting and self._started_this_iteration < CONNECTIONS_PER_ITERATION:
            connection = self._waiting.popleft()
            # The caller has given up before its request was read. Reading it anyway would delay
            # those behind it as much as any other request, until their callers give up as well.
            if is_closed_by_peer(connection.stream.socket):
                self.closes[CloseCause.CALLER_GONE, CloseStage.UNREAD] += 1
                connection.stream.close()
                continue
            if connection.arrived_at is not None:
                self._arrival_times[connection.stream] = connection.arrived_at
            self._start_connection(connection.stream, connection.address)


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Returns whether the peer has closed or reset the connection, even if data is unread.

    A peer that closed only its sending side counts as gone: until something is sent to it, it looks
    the same as one that has given up, whose request would delay those behind it.
    """
    return has_event(sock, select.POLLRDHUP)
