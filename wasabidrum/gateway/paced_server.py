"""Takes callers' connections a few at a time, so that a busy entry stays responsive."""

import asyncio
import collections
import dataclasses
import select
import socket
import typing

from tornado import httpserver, httputil, iostream

# A request that is read and refused takes some 3 ms of processor time, measured over 400 on a
# connection each. So many hold up everything else in a turn of the event loop for 12 ms, and on an
# instance that runs four times slower for 50 ms.
CONNECTIONS_PER_TURN = 4


@typing.runtime_checkable
class CountsWaiting(typing.Protocol):
    """Something that reads a request and counts for how long it lay unread."""

    def lay_unread_since(self, came_at: float) -> None:
        """Takes that the request was here since a time, by the event loop's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingConnection:
    """A connection whose turn has not come.

    Attributes:
      came_at: When its request was here, by the event loop's clock; None where it was not yet.
    """

    stream: iostream.IOStream
    address: tuple
    came_at: float | None


class PacedServer(httpserver.HTTPServer):
    """Begins a few connections in each turn of the event loop, in the order in which they came.

    The library accepts up to 128 connections in one turn and reads the requests of all of them
    in the next. On a slow instance such a turn takes over a second, in which no event of a stream
    is passed on and no connection that a caller closed is noticed: engines work for nobody, and
    log lines of cancelled requests come late by as much. Here the others wait accepted, so that it
    is known how long their requests lay unread.
    """

    def initialize(self, *args: object, **kwargs: object) -> None:
        """Takes the settings of the library's server."""
        super().initialize(*args, **kwargs)
        self._waiting: collections.deque[WaitingConnection] = collections.deque()
        self._came_at: dict[iostream.IOStream, float] = {}
        self._begun = 0

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Takes an accepted connection; see TCPServer."""
        if self._begun < CONNECTIONS_PER_TURN and not self._waiting:
            self._begin(stream, address)
            return
        now = asyncio.get_running_loop().time()
        came_at = now if has_input(stream.socket) else None
        self._waiting.append(WaitingConnection(stream, address, came_at))

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """See HTTPServerConnectionDelegate."""
        exchange = super().start_request(server_conn, request_conn)
        came_at = self._came_at.pop(request_conn.stream, None)
        if came_at is not None and isinstance(exchange, CountsWaiting):
            exchange.lay_unread_since(came_at)
        return exchange

    def _begin(self, stream: iostream.IOStream, address: tuple) -> None:
        if not self._begun:
            asyncio.get_running_loop().call_soon(self._next_turn)
        self._begun += 1
        super().handle_stream(stream, address)

    def _next_turn(self) -> None:
        self._begun = 0
        while self._waiting and self._begun < CONNECTIONS_PER_TURN:
            waiting = self._waiting.popleft()
            # Its caller has given up unread. Read all the same, it would cost those behind it as
            # much as a request that somebody waits for, and they would be given up in their turn.
            if was_closed_by_peer(waiting.stream.socket):
                waiting.stream.close()
                continue
            if waiting.came_at is not None:
                self._came_at[waiting.stream] = waiting.came_at
            self._begin(waiting.stream, waiting.address)


def has_input(sock: socket.socket) -> bool:
    """Returns whether bytes, or the end of the connection, wait to be read."""
    return _has_event(sock, select.POLLIN)


def was_closed_by_peer(sock: socket.socket) -> bool:
    """Returns whether the other side has closed or reset, even behind bytes not read yet."""
    return _has_event(sock, select.POLLRDHUP)


def _has_event(sock: socket.socket, event: int) -> bool:
    poll = select.poll()
    poll.register(sock, event)
    return bool(poll.poll(0))
