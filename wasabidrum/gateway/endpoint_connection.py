"""One request on a connection of its own to an endpoint."""

import asyncio
import collections
import dataclasses
import enum
import socket
import struct

from tornado import http1connection, httputil, iostream

from ..core import waiting
from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..core.request_head import ReplyHead
from ..platform import heads

# An answer that is read ahead of its caller; beyond that the endpoint is not read.
READ_AHEAD_BYTES = 262_144
LARGEST_BODY_BYTES = 64 * 1_048_576
LARGEST_HEAD_BYTES = 65_536
# How long sent bytes may stay without an acknowledgement. An endpoint that has gone dark closes
# nothing, and a connection to it would otherwise hang until the request's own time is over.
USER_TIMEOUT_MS = 2000


class PartKind(enum.Enum):
    """What a part of an answer is.

    BROKEN says that the connection ended before the answer did.
    """

    HEAD = "head"
    BODY = "body"
    END = "end"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One part of an answer as it arrived."""

    kind: PartKind
    head: ReplyHead | None = None
    content: bytes = b""


class EndpointConnection(httputil.HTTPMessageDelegate):
    """Sends one request and gives its answer in parts.

    A connection carries one request only. On one that is kept, a late or second answer to the
    request before would be read as the answer to the next, and a caller would get another's.

    Attributes:
      sent: Whether a byte of the request may have left.
      answering: Whether a byte of the answer's body has come.
    """

    def __init__(self, stream: iostream.IOStream) -> None:
        self._stream = stream
        self._parts: collections.deque[Part] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self._room: asyncio.Future[None] | None = None
        self._held = 0
        self._reading: asyncio.Future | None = None
        self._unframed = False
        self._ended = False
        self.sent = False
        self.answering = False

    def send(self, method: str, target: str, headers: httputil.HTTPHeaders, body: bytes) -> None:
        """Sends the request and begins to read the answer."""
        params = http1connection.HTTP1ConnectionParameters(
            no_keep_alive=True,
            max_header_size=LARGEST_HEAD_BYTES,
            max_body_size=LARGEST_BODY_BYTES,
        )
        connection = http1connection.HTTP1Connection(self._stream, True, params)
        self.sent = True
        start = httputil.RequestStartLine(method, target, "")
        connection.write_headers(start, headers, body)
        connection.finish()
        self._reading = asyncio.ensure_future(connection.read_response(self))
        self._reading.add_done_callback(self._reading_ended)

    async def next_part(self) -> Part:
        """Returns the next part; after END or BROKEN there is none."""
        while not self._parts:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        part = self._parts.popleft()
        self._held -= len(part.content)
        if self._room is not None and self._held < READ_AHEAD_BYTES:
            if not self._room.done():
                self._room.set_result(None)
            self._room = None
        return part

    def break_off(self) -> None:
        """Drops the request where it waits; whoever reads the answer finds it broken."""
        if self._ended:
            return
        # Reset by the endpoint in this very turn, it has no socket any more.
        if not self._stream.closed():
            self._drop_unsent()
        self._put(Part(PartKind.BROKEN))
        self._stream.close()

    def close(self) -> None:
        """Ends the connection, so that the endpoint stops work on the request."""
        if self.sent and not self._ended and not self._stream.closed():
            self._drop_unsent()
        self._ended = True
        self._stream.close()
        if self._room is not None and not self._room.done():
            self._room.set_result(None)

    def _drop_unsent(self) -> None:
        # Closed as usual, the system goes on sending what was not acknowledged. Over a link that
        # is full a request then reaches its endpoint seconds after its caller has left, and is
        # worked on for nobody. A reset drops it, and tells the endpoint at once.
        linger = struct.pack("ii", 1, 0)
        try:
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            # The connection is gone already, and its unsent bytes with it.
            return

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Takes the head; see HTTPMessageDelegate."""
        if start_line.code < 200:
            return
        self._unframed = "Content-Length" not in headers and "Transfer-Encoding" not in headers
        self._put(Part(PartKind.HEAD, head=heads.read_reply(start_line, headers)))

    def data_received(self, chunk: bytes) -> asyncio.Future | None:
        """Takes some of the body; the reader waits where too much is held already."""
        self.answering = True
        self._put(Part(PartKind.BODY, content=chunk))
        self._held += len(chunk)
        if self._held < READ_AHEAD_BYTES or self._ended:
            return None
        if self._room is None:
            self._room = asyncio.get_running_loop().create_future()
        return self._room

    def finish(self) -> None:
        """Takes the end of the answer."""
        # An answer without a length ends with its connection. A connection that was reset
        # ends as well, and half an answer would pass for a whole one.
        broken = self._unframed and self._stream.error is not None
        self._put(Part(PartKind.BROKEN if broken else PartKind.END))

    def on_connection_close(self) -> None:
        """Takes that the connection ended before the answer did."""
        self._put(Part(PartKind.BROKEN))

    def _reading_ended(self, reading: asyncio.Future) -> None:
        if not reading.cancelled():
            reading.exception()
        self._put(Part(PartKind.BROKEN))

    def _put(self, part: Part) -> None:
        if self._ended:
            return
        if part.kind in (PartKind.END, PartKind.BROKEN):
            self._ended = True
        self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(host: str, port: int, timeout: float) -> EndpointConnection:
    """Opens a connection.

    Raises:
      CodedError: It could not be opened in time; nothing was sent.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    stream = iostream.IOStream(sock, max_buffer_size=LARGEST_BODY_BYTES)
    try:
        await waiting.wait_for(stream.connect((host, port)), timeout)
    except (OSError, TimeoutError, iostream.StreamClosedError) as error:
        stream.close()
        refused = isinstance(getattr(error, "real_error", error), ConnectionRefusedError)
        code = "endpoint_down" if refused else "endpoint_unreachable"
        raise CodedError(code, f"{host}:{port}: {error!r}", 503, Outcome.NOT_RUN) from error
    except asyncio.CancelledError:
        stream.close()
        raise
    return EndpointConnection(stream)
