"""An HTTP server that can end without leaving a request that it has read unanswered."""

import asyncio
import select
import socket
import struct

from tornado import httpserver, httputil

from ..core.requests_in_progress import RequestsInProgress
from .connection_counts import ConnectionCounts

# How soon connections on which a request was being read are looked at again.
CLOSE_INTERVAL_SECONDS = 0.01
# struct tcp_info of Linux: of a listening socket, tcpi_unacked is the length of its backlog.
TCP_INFO_SIZE = 104
TCPI_UNACKED_OFFSET = 24


class WatchedRequest(httputil.HTTPMessageDelegate):
    """Passes a request on to its delegate, and notes that it was received completely.

    Attributes:
      delegate: Receives the request.
      begun: Whether its head was received.
      received: Whether it was received completely.
    """

    def __init__(self, delegate: httputil.HTTPMessageDelegate) -> None:
        self.delegate = delegate
        self.begun = False
        self.received = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> object:
        """See HTTPMessageDelegate."""
        self.begun = True
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> object:
        """See HTTPMessageDelegate."""
        return self.delegate.data_received(chunk)

    def finish(self) -> None:
        """See HTTPMessageDelegate."""
        self.received = True
        self.delegate.finish()

    def on_connection_close(self) -> None:
        """See HTTPMessageDelegate."""
        self.delegate.on_connection_close()


class EndingServer(httpserver.HTTPServer):
    """An HTTP server for callers who keep their connections.

    A request counts as in progress only once its handler runs. If the process ended as soon as none
    is in progress, callers whose request was just read would get no answer.

    Attributes:
      counts: How its connections have ended.
    """

    def initialize(self, *args: object, **kwargs: object) -> None:
        """Initializes the server with the arguments of Tornado's HTTPServer."""
        super().initialize(*args, **kwargs)
        # The latest request of each open connection, from the time at which it is waited for.
        self._latest: dict[object, WatchedRequest] = {}
        self.counts = ConnectionCounts()

    @property
    def has_unstarted(self) -> bool:
        """Whether connections were accepted from which nothing is read yet."""
        return False

    @property
    def unread_count(self) -> int:
        """The number of connections that were accepted and from which nothing was ever read."""
        return sum(connection not in self._latest for connection in self._connections)

    def stop(self) -> None:
        """Stops listening; see TCPServer."""
        lengths = [backlog_length(sock) for sock in self._sockets.values()]
        self.counts.backlog = None if None in lengths else sum(lengths)
        self.counts.unread = self.unread_count
        super().stop()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> WatchedRequest:
        """See HTTPServerConnectionDelegate."""
        request = WatchedRequest(super().start_request(server_conn, request_conn))
        self._latest[server_conn] = request
        return request

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection that has ended; see HTTPServerConnectionDelegate."""
        self._latest.pop(server_conn, None)
        super().on_close(server_conn)

    async def end_connections(self, requests: RequestsInProgress, seconds: float) -> None:
        """Closes all connections, each after every request that was read is answered.

        Args:
          requests: Those in progress, which are waited for.
          seconds: How long to wait at most; what is left then is not closed.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while True:
            await requests.wait_until_idle(max(0.0, ends_at - loop.time()))
            if self._close_idle_connections():
                return
            if loop.time() >= ends_at:
                self.counts.unanswered = sum(not c.stream.closed() for c in self._connections)
                return
            await asyncio.sleep(CLOSE_INTERVAL_SECONDS)

    def _close_idle_connections(self) -> bool:
        """Closes the connections that wait for a request, or for the rest of one.

        A connection on which a whole request was read stays open until its answer is sent. So does
        one on which data is waiting to be read: its caller is told that the request was not run,
        where a closed connection would tell it nothing.

        Returns:
          Whether no connection is left.
        """
        for connection, latest in list(self._latest.items()):
            stream = connection.stream
            if not latest.received and stream.reading() and not has_input(stream.socket):
                if latest.begun or stream._read_buffer_size:
                    self.counts.partial += 1
                else:
                    self.counts.idle += 1
                stream.close()
        return not self.has_unstarted and all(c.stream.closed() for c in self._latest)


def backlog_length(sock: socket.socket) -> int | None:
    """Returns the number of connections that wait to be accepted; None if it is not known."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        return struct.unpack_from("I", info, TCPI_UNACKED_OFFSET)[0]
    except (OSError, struct.error):
        return None


def has_input(sock: socket.socket) -> bool:
    """Returns whether data, or the end of the connection, is waiting to be read."""
    return has_event(sock, select.POLLIN)


def has_event(sock: socket.socket, event: int) -> bool:
    """Returns whether an event of poll() is set for a socket."""
    poll = select.poll()
    poll.register(sock, event)
    return bool(poll.poll(0))
