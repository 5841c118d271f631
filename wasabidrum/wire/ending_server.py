"""An HTTP server that can end without leaving a request that it has accepted unanswered."""

import asyncio
import collections
import collections.abc
import contextlib
import math
import socket

from tornado import httpserver, httputil, iostream
from tornado.log import gen_log

from ..core.requests_in_progress import RequestsInProgress
from ..decisions import connection_close, giving_way
from ..decisions.connection_close import CloseCause, CloseStage
from ..decisions.connection_end import Step
from ..decisions.giving_way import Holding, Stage
from ..observe.event import Event
from ..observe.event_log import EventLog
from .accepting import Acceptor, bound_receive_buffer
from .connection_counts import ConnectionCounts
from .listening_socket import drop_handshakes
from .parsing_turns import HEAD_LINES
from .raw_response import make_response
from .read_timer import ReadTimeouts, ReadTimer
from .request_room import RequestRoom
from .served_connection import ServedConnection, has_input
from .watched_request import WatchedRequest

# Shorter than Tornado's own time-out, which is left at its default of an hour.
MAX_IDLE_SECONDS = 3_000.0
# How soon connections that could not be closed are looked at again.
CLOSE_INTERVAL_SECONDS = 0.01
# How soon requests that have come in part are refused while others are in progress.
REFUSE_INTERVAL_SECONDS = 0.05
# How long daemons may wait for answers of another one that ends. Some of them wait for a chunk, or
# for a reading, for longer; they ask elsewhere when the connection is closed.
INTERNAL_SECONDS = 1.0
# The answer to a request that crosses the close of its connection (RFC 9110, 15.5.9): it was not
# received in time, and may be repeated on another connection.
IDLE_RESPONSE = make_response(408, "Request Timeout", httputil.HTTPHeaders(), b"")
# The largest body of a request to a server that takes none, which has to be read all the same.
MAX_UNUSED_BODY_BYTES = 65_536
LEAVING_RESPONSE = make_response(
    503, "Service Unavailable", httputil.HTTPHeaders({"Retry-After": "1"}), b""
)
# The answer to whoever connects when there is no room: a request that was sent has not been read.
FULL_RESPONSE = LEAVING_RESPONSE
MAX_CONNECTIONS = 1_000
# How many connections are looked at for one that gives way and on which nothing has come.
MAX_TRIES = 8
MAX_UNFINISHED_BYTES = 67_108_864
MAX_WHOLE_BYTES = 268_435_456
# In log lines: a request that was received whole.
WHOLE = "whole"
# How often connections are looked through for clients who read nothing, and after which time those
# are closed.
SWEEP_SECONDS = 5.0
UNREAD_SECONDS = 40.0
# What is read at once from a connection, and passed on of a body.
READ_BYTES = 16_384


class EndingServer(httpserver.HTTPServer):
    """An HTTP server for callers who keep their connections.

    Whoever connects before it stops listening gets an answer to what it sends, also if the process
    has not accepted the connection yet, and if no request is in progress as far as handlers know.

    Attributes:
      counts: How its connections have ended.
      closes: How many connections were closed, by cause and by what became of the last request.
      log: Told of connections that this server closes without a whole answer to the last request.
      timeouts: For how long it waits for requests; longer ones hold at once.
      port: The port that it listens on; zero before it does.
      leaving_response: The answer to a request that was received in part when the server ends,
        unless the request's delegate words its own.
      max_connections: How many accepted connections it has open at most.
      full_response: The answer to whoever connects when it has no room for another connection.
      memory_response: The answer to a request that has to be refused for others, unless the
        request's delegate words its own.
      room: Counts what requests hold, of all servers of the process.
      whole_copies: How often the bytes of a whole request are held until it is answered; zero if
        something else counts them.
      head_lines: What the head of a request counts at least where connections take turns.
      idle_response: What is sent on a connection that is closed while it waits for a request, or
        for the rest of one whose time is up, so that a request that crosses the close is answered;
        empty to send nothing.
    """

    def initialize(
        self,
        *args: object,
        idle_connection_timeout: float = MAX_IDLE_SECONDS,
        body_timeout: float = math.inf,
        **kwargs: object,
    ) -> None:
        """Initializes the server with the arguments of Tornado's HTTPServer."""
        super().initialize(*args, chunk_size=READ_BYTES, **kwargs)
        self.timeouts = ReadTimeouts(idle_connection_timeout, body_timeout)
        self._timers: dict[iostream.IOStream, ReadTimer] = {}
        self._served: dict[iostream.IOStream, ServedConnection] = {}
        self.counts = ConnectionCounts()
        self.closes: collections.Counter[tuple[CloseCause, CloseStage]] = collections.Counter()
        self.log: EventLog | None = None
        self.port = 0
        self.max_connections = MAX_CONNECTIONS
        self.leaving_response = LEAVING_RESPONSE
        self.full_response = FULL_RESPONSE
        self.memory_response = FULL_RESPONSE
        self.room = RequestRoom(MAX_UNFINISHED_BYTES, MAX_WHOLE_BYTES)
        self.whole_copies = 0
        self.head_lines = HEAD_LINES
        self.idle_response = b""

    @property
    def has_unstarted(self) -> bool:
        """Whether connections were accepted that are not being read yet."""
        return any(c.is_open and c.latest is None for c in self._served.values())

    @property
    def connection_count(self) -> int:
        """The number of accepted connections that are open."""
        return sum(connection.is_open for connection in self._served.values())

    @property
    def _is_full(self) -> bool:
        # Connections that were closed are forgotten in a later iteration of the event loop.
        return (
            len(self._served) >= self.max_connections
            and self.connection_count >= self.max_connections
        )

    @property
    def unread_count(self) -> int:
        """The number of connections that were accepted and from which nothing was ever read."""
        return sum(connection.is_unread for connection in self._served.values())

    def count_closes(self) -> dict[str, int]:
        """Returns how many connections were closed, by the names of cause and stage."""
        return {f"{cause.value}/{stage.value}": n for (cause, stage), n in self.closes.items()}

    def add_sockets(self, sockets: collections.abc.Iterable[socket.socket]) -> None:
        """Starts to accept connections; see TCPServer."""
        sockets = list(sockets)
        self.port = sockets[0].getsockname()[1]
        super().add_sockets(sockets)
        for sock in sockets:
            bound_receive_buffer(sock)
            self._handlers[sock.fileno()]()
            self._handlers[sock.fileno()] = Acceptor(sock, self._accept).stop

        self._sweep_later()

    def _sweep_later(self) -> None:
        asyncio.get_running_loop().call_later(SWEEP_SECONDS, self._end_unread)

    def _end_unread(self) -> None:
        """Closes the connections whose clients have stopped to read what they are sent."""
        now = asyncio.get_running_loop().time()
        for connection in list(self._served.values()):
            if connection.unread_seconds(now) >= UNREAD_SECONDS:
                self._log_end(Event.ANSWERS_UNREAD, unsent=connection.unsent_bytes)
                connection.close(CloseCause.UNREAD)
        if self._served or not self._stopped:
            self._sweep_later()

    def _accept(self, connection: socket.socket, address: tuple) -> None:
        if self._is_full and not self._end_for_another():
            self._refuse_connection(connection)
            return
        self._handle_connection(connection, address)

    def _end_for_another(self) -> bool:
        """Ends a connection that gives way to a new one; returns whether there was one."""
        now = asyncio.get_running_loop().time()
        connections = [each for each in self._served.values() if each.is_open]
        for _ in range(MAX_TRIES):
            holdings = [each.holding(now) for each in connections]
            index = giving_way.connection_to_end(holdings)
            if index is None:
                return False
            connection, held = connections.pop(index), holdings[index]
            # Its client has sent a request that was not read yet.
            if held.stage is Stage.IDLE and has_input(connection.stream.socket):
                continue
            self._log_end(Event.CONNECTION_GAVE_WAY, stage=held.stage.name.lower(), age=held.age)
            connection.end_at_once(self.idle_response, CloseCause.NO_ROOM)
            return True
        return False

    def _refuse_connection(self, connection: socket.socket) -> None:
        """Answers what a client may have sent on a connection that is not begun, and closes it."""
        self.closes[CloseCause.NO_ROOM, CloseStage.UNREAD] += 1
        self._log_end(Event.CONNECTION_REFUSED, connections=self.connection_count)
        with connection, contextlib.suppress(OSError):
            connection.setblocking(False)
            if self.ssl_options is None:
                connection.send(self.full_response)
                connection.shutdown(socket.SHUT_WR)
                # Closed with unread data it would be reset, and the answer with it.
                connection.recv(MAX_UNUSED_BODY_BYTES)

    def _log_end(self, event: Event, age: float | None = None, **facts: object) -> None:
        if age is not None:
            facts["age"] = round(age, 2)
        if self.log:
            self.log.write(event, port=self.port, **facts)

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Starts an accepted connection; see TCPServer."""
        now = asyncio.get_running_loop().time()
        self._served[stream] = ServedConnection(
            stream,
            now,
            self.room,
            self.whole_copies,
            self.head_lines,
            self._refuse_unfinished,
            self._look_at_head,
        )
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> WatchedRequest:
        """See HTTPServerConnectionDelegate."""
        stream = server_conn.stream
        connection = self._served[stream]
        request = WatchedRequest(
            super().start_request(server_conn, request_conn),
            request_conn,
            connection.hold_head,
            lambda: self._admit_whole(connection),
        )
        connection.add_request(request)
        if stream in self._timers:
            self._timers[stream].cancel()
        self._timers[stream] = ReadTimer(
            stream, request, self.timeouts, lambda cause: self._end_waiting(connection, cause)
        )
        return request

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection that has ended; see HTTPServerConnectionDelegate."""
        if connection := self._served.pop(server_conn.stream, None):
            self._record_close(connection)
        if timer := self._timers.pop(server_conn.stream, None):
            timer.cancel()
        super().on_close(server_conn)

    def _look_at_head(self, connection: ServedConnection) -> None:
        # What came behind a request is known before the next one has a timer.
        if timer := self._timers.get(connection.stream):
            timer.look_again()

    def _refuse_unfinished(self, connection: ServedConnection, holding: Holding) -> None:
        stage, held = holding.stage.name.lower(), holding.held
        self._log_end(Event.REQUEST_GAVE_WAY, stage=stage, age=holding.age, held=held)
        self._refuse_for_room(connection)

    def _admit_whole(self, connection: ServedConnection) -> bool:
        """Returns whether there is room for a request that was received whole, or refuses it."""
        if connection.hold_whole():
            return True
        self._log_end(Event.REQUEST_GAVE_WAY, stage=WHOLE, held=self.room.whole)
        self._refuse_for_room(connection)
        return False

    def _refuse_for_room(self, connection: ServedConnection) -> None:
        now = asyncio.get_running_loop().time()
        connection.refuse(self.memory_response, now, CloseCause.NO_ROOM)
        self._linger(connection)

    def _end_waiting(self, connection: ServedConnection, cause: CloseCause) -> None:
        connection.end_waiting(self.idle_response, cause, asyncio.get_running_loop().time())
        self._linger(connection)

    def _linger(self, connection: ServedConnection) -> None:
        """Closes a connection once its last answer was sent and its caller has had it."""
        loop = asyncio.get_running_loop()

        def update() -> None:
            connection.update(loop.time())
            if connection.is_open:
                loop.call_later(CLOSE_INTERVAL_SECONDS, update)

        if connection.is_open:
            loop.call_later(CLOSE_INTERVAL_SECONDS, update)

    def _record_close(self, connection: ServedConnection) -> None:
        self.counts.crossed += connection.has_crossed
        cause, stage = connection.close_cause, connection.close_stage
        self.closes[cause, stage] += 1
        if self.log and connection_close.leaves_caller_without_answer(cause, stage):
            self.log.write(
                Event.CONNECTION_CUT, port=self.port, cause=cause.value, request=stage.value
            )

    def stop_listening(self) -> None:
        """Accepts what the kernel has accepted, and closes the listening sockets.

        A listening socket that is closed resets the connections in its backlog, with the requests
        that they bring. After one slow iteration of the event loop that is all that came in it.
        What comes between the last accept and the close, as this process may not run there for a
        moment, is kept out of the backlog.
        """
        self.counts.unread = self.unread_count
        for sock in self._sockets.values():
            try:
                drop_handshakes(sock)
            except OSError as error:
                gen_log.warning("Connections that come now may be lost: %s", error)
        accepted = [pair for sock in self._sockets.values() for pair in accept_all(sock)]
        self.stop()
        self.counts.backlog = len(accepted)
        for connection, address in accepted:
            try:
                self._handle_connection(connection, address)
            except OSError as error:
                # A peer that has reset its connection must not end the stop.
                gen_log.warning("A connection of the backlog has ended: %s", error)
                connection.close()

    async def end_connections(self, requests: RequestsInProgress, seconds: float) -> None:
        """Closes all connections, each after every request that was read is answered.

        Args:
          requests: Those in progress, which are waited for.
          seconds: How long to wait at most; what is left then is not closed.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while True:
            self._refuse_parts()
            left = max(0.0, ends_at - loop.time())
            idle = await requests.wait_until_idle(min(left, REFUSE_INTERVAL_SECONDS))
            is_over = loop.time() >= ends_at
            if (idle or is_over) and self._close_idle_connections():
                # How a connection ended is recorded when its task has seen it.
                await asyncio.sleep(CLOSE_INTERVAL_SECONDS)
                return
            if is_over:
                self.counts.unanswered = sum(c.is_unanswered for c in self._served.values())
                return
            await asyncio.sleep(CLOSE_INTERVAL_SECONDS)

    def _refuse_parts(self) -> None:
        """Answers requests that were received in part: the rest would come in vain."""
        now = asyncio.get_running_loop().time()
        for connection in list(self._served.values()):
            if connection.next_step(now) is Step.REFUSE:
                self.counts.partial += 1
                connection.refuse(self.leaving_response, now, CloseCause.SERVER_ENDS)

    def _close_idle_connections(self) -> bool:
        """Closes the connections that wait for a request, or for the rest of one.

        A connection on which a whole request was read stays open until its answer is sent. So does
        one on which data is waiting to be read, and for a moment a new one: their callers are told
        that the request was not run, where a closed connection would tell them nothing.

        Returns:
          Whether no connection is left.
        """
        self._refuse_parts()
        now = asyncio.get_running_loop().time()
        for connection in list(self._served.values()):
            step = connection.next_step(now)
            if step is Step.CLOSE:
                self.counts.idle += 1
                connection.end_waiting(self.idle_response, CloseCause.SERVER_ENDS, now)
            elif step is Step.LINGER:
                connection.linger(CloseCause.SERVER_ENDS, now)
            else:
                connection.update(now)
        return not self.has_unstarted and not any(c.is_open for c in self._served.values())


async def end_internal_connections(
    servers: collections.abc.Iterable[EndingServer], seconds: float = INTERNAL_SECONDS
) -> None:
    """Closes the connections of servers for other daemons, whose requests nothing else counts.

    Args:
      seconds: How long to wait at most.
    """
    uncounted = RequestsInProgress()
    await asyncio.gather(*(server.end_connections(uncounted, seconds) for server in servers))


def accept_all(sock: socket.socket) -> list[tuple[socket.socket, tuple]]:
    """Accepts the connections in the backlog of a socket that does not block."""
    accepted = []
    while True:
        try:
            accepted.append(sock.accept())
        except BlockingIOError:
            return accepted
        except ConnectionAbortedError:
            continue
        except OSError as error:
            gen_log.warning("Connections in the backlog are lost: %s", error)
            return accepted
