"""A gRPC server that bounds what its clients can make it hold.

grpclib accepts any number of connections, and has settings for neither the streams of one nor what
it holds of messages that are not whole.
"""

import asyncio
import collections.abc
import contextlib
import socket
import ssl

from grpclib import config, protocol, server
from h2.settings import SettingCodes

from ..decisions import giving_way
from ..decisions.giving_way import Holding, Stage
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..wire.accepting import Acceptor, bound_receive_buffer
from .peer_client import CODEC

HANDSHAKE_SECONDS = 10.0
# Daemons open a channel for each call, and one for each Watch stream.
MAX_STREAMS = 4
MAX_HEADER_LIST_BYTES = 16_384
# The window of a stream and of a connection; requests of daemons are a few kilobytes.
WINDOW_BYTES = 65_535
# What is received in one iteration of the event loop is handled without a pause.
READ_BYTES = 16_384
# Answers wait for the client, those of the library to its pings and settings do not.
MAX_UNSENT_BYTES = 1_048_576


class InboundConnection:
    """An accepted connection, from its acceptance to its end.

    Attributes:
      closed: Whether it has ended.
      streams: Streams that were begun on it.
      open_streams: Returns how many of them are open.
    """

    __slots__ = ("closed", "streams", "open_streams", "_socket", "_transport", "_stage_began_at")
    __slots__ += ("_room", "_held")

    def __init__(self, sock: socket.socket, room: "MessageRoom", now: float) -> None:
        self.closed = False
        self.streams = 0
        self.open_streams: collections.abc.Callable[[], int] = int
        self._socket = sock
        self._transport: asyncio.Transport | None = None
        self._stage_began_at = now
        self._room = room
        self._held = 0

    @property
    def largest_message(self) -> int:
        """The size in bytes of the largest message that is received."""
        return self._room.largest_message

    def holding(self, now: float) -> Holding:
        """Returns what it holds."""
        return Holding(self._find_stage(), self._held, now - self._stage_began_at)

    def _find_stage(self) -> Stage:
        if not self.streams:
            return Stage.UNUSED
        if self._held:
            return Stage.RECEIVING
        return Stage.ANSWERING if self.open_streams() else Stage.IDLE

    def begin(self, transport: asyncio.Transport) -> None:
        """Records that the handshake is complete."""
        self._transport = transport

    def grow(self, count: int) -> None:
        """Counts bytes of messages that were received and are not read."""
        if not self._held:
            self._stage_began_at = asyncio.get_running_loop().time()
        self._held += count
        self._room.grow(self, count)

    def shrink(self, count: int) -> None:
        """Counts bytes that were read."""
        self._held -= count
        self._room.used -= count
        if not self._held:
            self._stage_began_at = asyncio.get_running_loop().time()

    def end(self) -> None:
        """Closes it without a word; daemons ask again, or elsewhere."""
        self.record_closed()
        if self._transport is not None:
            self._transport.abort()
        else:
            self._socket.close()

    def record_closed(self) -> None:
        """Records that it has ended."""
        if not self.closed:
            self.closed = True
            self._room.used -= self._held
            self._held = 0
            self._room.connections.discard(self)


class MessageRoom:
    """The connections of a server, and what they hold of messages that are not whole.

    Attributes:
      connections: Those that are open.
      used: Bytes of messages that were received and are not read.
    """

    def __init__(self, max_connections: int, max_bytes: int) -> None:
        self.connections: set[InboundConnection] = set()
        self.used = 0
        self._max_connections = max_connections
        self._max_bytes = max_bytes
        self.on_gave_way: collections.abc.Callable[[Holding], None] = ignore

    @property
    def largest_message(self) -> int:
        """The size in bytes of the largest message that is received."""
        return self._max_bytes // 2

    def admit(self, sock: socket.socket) -> InboundConnection | None:
        """Returns an accepted connection; None if there is no room for it."""
        now = asyncio.get_running_loop().time()
        if len(self.connections) >= self._max_connections:
            connections = list(self.connections)
            holdings = [each.holding(now) for each in connections]
            index = giving_way.connection_to_end(holdings)
            if index is None:
                return None
            self._end(connections[index], holdings[index])
        connection = InboundConnection(sock, self, now)
        self.connections.add(connection)
        return connection

    def grow(self, grown: InboundConnection, count: int) -> None:
        """Counts bytes that were received; connections give way if they are too many."""
        self.used += count
        while self.used > self._max_bytes:
            now = asyncio.get_running_loop().time()
            connections = [each for each in self.connections if each is grown]
            connections += [each for each in self.connections if each is not grown]
            holdings = [each.holding(now) for each in connections]
            index = giving_way.request_to_end(holdings, 0)
            self._end(connections[index], holdings[index])
            if connections[index] is grown:
                return

    def _end(self, connection: InboundConnection, holding: Holding) -> None:
        connection.end()
        self.on_gave_way(holding)


class BoundedProtocol(protocol.H2Protocol):
    """One connection, which is closed if its client does not take the library's answers."""

    def __init__(
        self,
        inbound: InboundConnection,
        on_unread: collections.abc.Callable[[int], None],
        handler: server.Handler,
        settings: config.Configuration,
        h2_config: object,
    ) -> None:
        super().__init__(handler, settings, h2_config)
        self._inbound = inbound
        self._on_unread = on_unread
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        if self._inbound.closed:
            transport.abort()
            return
        self._transport = transport
        self._inbound.begin(transport)
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES
        super().connection_made(transport)
        h2_connection = self.connection._connection
        h2_connection.update_settings({SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS})
        h2_connection.decoder.max_header_list_size = MAX_HEADER_LIST_BYTES
        self.connection.inbound = self._inbound
        self._inbound.open_streams = lambda: len(self.processor.streams)
        self.connection.flush()

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        if self._inbound.closed:
            return
        super().data_received(data)
        self._inbound.streams = self.connection.streams_started
        unsent = self._transport.get_write_buffer_size()
        if unsent > MAX_UNSENT_BYTES and not self._inbound.closed:
            self._inbound.end()
            self._on_unread(unsent)

    def connection_lost(self, error: Exception | None) -> None:
        """See asyncio.Protocol."""
        self._inbound.record_closed()
        if self._transport is not None:
            super().connection_lost(error)


class BoundedServer(server.Server):
    """A gRPC server on a socket of its own."""

    def __init__(
        self,
        handlers: collections.abc.Collection[object],
        max_connections: int,
        max_bytes: int,
        log: EventLog,
    ) -> None:
        """Creates a server that does not listen.

        Args:
          max_connections: How many it has open at most.
          max_bytes: What it holds at most of messages that are not whole, in bytes.
        """
        settings = config.Configuration(
            http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
        )
        super().__init__(handlers, codec=CODEC, config=settings)
        self._room = MessageRoom(max_connections, max_bytes)
        self._room.on_gave_way = self._log_gave_way
        self._log = log
        self._port = 0
        self._ssl: ssl.SSLContext | None = None
        self._beginning: set[asyncio.Task] = set()

    async def start(self, sock: socket.socket, ssl: ssl.SSLContext | None = None) -> None:
        """Starts to accept the connections of a listening socket."""
        self._port = sock.getsockname()[1]
        self._ssl = ssl
        bound_receive_buffer(sock)
        self._server = ListeningSocket(sock, self._accept)
        self._server_closed_fut = asyncio.get_running_loop().create_future()

    def _accept(self, connection: socket.socket, address: tuple) -> None:
        inbound = self._room.admit(connection)
        if inbound is None:
            connection.close()
            connections = len(self._room.connections)
            self._log.write(Event.CONNECTION_REFUSED, port=self._port, connections=connections)
            return
        connection.setblocking(False)
        task = asyncio.ensure_future(self._begin(inbound, connection))
        self._beginning.add(task)
        task.add_done_callback(self._beginning.discard)

    async def _begin(self, inbound: InboundConnection, connection: socket.socket) -> None:
        def make_protocol() -> BoundedProtocol:
            made = self._protocol_factory()
            return BoundedProtocol(
                inbound, self._log_unread, made.handler, made.config, made.h2_config
            )

        seconds = HANDSHAKE_SECONDS if self._ssl is not None else None
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                make_protocol, connection, ssl=self._ssl, ssl_handshake_timeout=seconds
            )
        except (OSError, ssl.SSLError):
            # A client that is not of the fleet, or one that has left.
            inbound.record_closed()
            with contextlib.suppress(OSError):
                connection.close()

    def _log_gave_way(self, holding: Holding) -> None:
        stage, age = holding.stage.name.lower(), round(holding.age, 2)
        self._log.write(
            Event.CONNECTION_GAVE_WAY, port=self._port, stage=stage, age=age, held=holding.held
        )

    def _log_unread(self, unsent: int) -> None:
        self._log.write(Event.ANSWERS_UNREAD, port=self._port, unsent=unsent)


class ListeningSocket:
    """A listening socket whose connections are accepted until it is closed."""

    def __init__(
        self,
        sock: socket.socket,
        on_accept: collections.abc.Callable[[socket.socket, tuple], None],
    ) -> None:
        self.sockets = (sock,)
        self._acceptor = Acceptor(sock, on_accept)

    def close(self) -> None:
        """Closes it."""
        self._acceptor.stop()
        for sock in self.sockets:
            sock.close()

    async def wait_closed(self) -> None:
        """Returns at once; see asyncio.Server."""


def ignore(holding: Holding) -> None:
    """The default on_gave_way callback; does nothing."""
