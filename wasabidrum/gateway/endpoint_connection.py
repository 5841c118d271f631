"""A connection to an endpoint that carries a single request."""

import asyncio
import collections
import dataclasses
import enum
import fcntl
import socket
import struct
import termios

from tornado import http1connection, httputil, iostream

from ..core import waiting
from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..core.request_head import ReplyHead
from ..decisions.buffer_budget import MAX_ANSWER_BYTES, BufferAccount, BufferBudget
from ..platform import heads

MAX_HEAD_BYTES = 65_536
# A head arrives in one segment or a few. Bytes that have not become a head this long after the
# first of them are none. Over a link that loses packets, a segment is late by several hundred
# milliseconds.
HEAD_TIMEOUT_SECONDS = 0.6
# What begins like a head and then pauses may be one whose endpoint has fallen silent in the middle
# of it. A sound one does so for a second or so, and a request that may run only once has no other
# answer. A head that trickles in without a pause is none.
HEAD_START = b"HTTP/1."
SILENT_HEAD_PAUSE_SECONDS = 0.3
SILENT_HEAD_SECONDS = 1.7
# A longer body is not joined to its head, which would copy it.
MAX_JOINED_BYTES = 65_536
# A reply takes up to twice the length of its body, and this much more. The frame of a chunk takes
# six bytes, and each chunk as much processor time as a kilobyte: a reply of chunks of one byte
# would keep the process busy for minutes before its body is too large.
FRAME_FACTOR = 2
MAX_FRAME_BYTES = 524_288
# What a part of a reply takes beside its content. Content that arrives byte by byte takes far more
# memory than its length.
PART_BYTES = 256
# How long sent data may stay unacknowledged. An endpoint that has become unreachable closes
# nothing, and without this limit its connection would hang until the request's deadline.
TCP_USER_TIMEOUT_MS = 2000
# The last two are raised for a host or a port that is none.
CONNECT_ERRORS = (
    OSError,
    TimeoutError,
    iostream.StreamClosedError,
    OverflowError,
    ValueError,
)


class PartKind(enum.Enum):
    """The kind of a part of a reply.

    CONTINUE asks for the body of the request. BROKEN means that the connection ended before the
    reply was complete.
    """

    CONTINUE = "continue"
    HEAD = "head"
    BODY = "body"
    END = "end"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One part of a reply, as it arrived."""

    kind: PartKind
    head: ReplyHead | None = None
    content: bytes = b""


class ReplyStream(iostream.IOStream):
    """A connection that reports the first byte of a reply, of which no reader gets to know.

    Attributes:
      on_first_byte: Called with the beginning of what has arrived, and then replaced by None.
      ended_by_peer: Whether the other end has closed it in order.
      received: The bytes that have arrived, with heads and the frames of chunks.
      received_at: When the last of them arrived, by the event loop's clock.
    """

    on_first_byte: collections.abc.Callable[[bytes], None] | None = None
    ended_by_peer = False
    received = 0
    received_at = 0.0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads what has arrived; see BaseIOStream."""
        count = super().read_from_fd(buf)
        if count == 0:
            self.ended_by_peer = True
        elif count:
            self.received += count
            self.received_at = asyncio.get_running_loop().time()
        if count and self.on_first_byte is not None:
            report, self.on_first_byte = self.on_first_byte, None
            report(bytes(buf[: min(count, len(HEAD_START))]))
        return count


class EndpointConnection(httputil.HTTPMessageDelegate):
    """Sends one request and returns its reply in parts.

    A connection is never reused. On a reused one, a late or duplicate reply to the previous
    request would be taken for the reply to the next, and one caller would get another's reply.

    Attributes:
      sent: Whether any byte of the request may have been sent.
      body_started: Whether any byte of the reply's body has arrived.
      invalid: Whether it was closed because what arrived is no reply, or exceeds its bounds.
    """

    def __init__(self, stream: ReplyStream, budget: BufferBudget) -> None:
        self._stream = stream
        self._budget = budget
        self._account = BufferAccount(budget)
        # The size of the part that next_part returned last, which is in use until the next call.
        self._size_in_use = 0
        self._body_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._parts: collections.deque[Part] = collections.deque()
        # Resolved when a part arrives that next_part waits for.
        self._part_waiter: asyncio.Future[None] | None = None
        # Resolved when the buffer has room again; reading is paused until then.
        self._room_waiter: asyncio.Future[None] | None = None
        self._read_task: asyncio.Future | None = None
        self._request: http1connection.HTTP1Connection | None = None
        self._held_body = b""
        # Whether the reply has no length, so that only the end of the connection ends it.
        self._ends_with_connection = False
        self._ended = False
        self.sent = False
        self.body_started = False
        self.invalid = False

    def send(
        self,
        method: str,
        target: str,
        headers: httputil.HTTPHeaders,
        body: bytes,
        hold_body: bool = False,
    ) -> None:
        """Sends the request and starts to read the reply.

        Args:
          hold_body: Whether only the head is sent; the body follows with send_held_body.
        """
        params = http1connection.HTTP1ConnectionParameters(
            no_keep_alive=True,
            max_header_size=MAX_HEAD_BYTES,
            # The size of the body is checked here, and this limit never reached.
            max_body_size=2 * MAX_ANSWER_BYTES,
        )
        self._stream.on_first_byte = self._start_head_timer
        connection = http1connection.HTTP1Connection(self._stream, True, params)
        self.sent = True
        start = httputil.RequestStartLine(method, target, "")
        if hold_body:
            self._request, self._held_body = connection, body
            connection.write_headers(start, headers)
        elif len(body) > MAX_JOINED_BYTES:
            connection.write_headers(start, headers)
            connection.write(body)
            connection.finish()
        else:
            connection.write_headers(start, headers, body)
            connection.finish()
        self._read_task = asyncio.ensure_future(connection.read_response(self))
        self._read_task.add_done_callback(self._on_read_done)

    def send_held_body(self) -> None:
        """Sends the body that was held back; without it the endpoint cannot run the request."""
        if not self._stream.closed():
            self._request.write(self._held_body)
            self._request.finish()

    async def next_part(self) -> Part:
        """Returns the next part of the reply; must not be called after END or BROKEN."""
        self._account.remove(self._size_in_use)
        self._size_in_use = 0
        self._resume_reading()
        while not self._parts:
            self._part_waiter = asyncio.get_running_loop().create_future()
            await self._part_waiter
        part = self._parts.popleft()
        if part.kind is PartKind.BODY:
            self._size_in_use = PART_BYTES + len(part.content)
        return part

    @property
    def has_unread(self) -> bool:
        """Whether more of the reply has arrived than its reader has taken."""
        return bool(self._parts)

    @property
    def ended(self) -> bool:
        """Whether nothing more is read, because the reply is complete or broken."""
        return self._ended

    @property
    def unacknowledged_bytes(self) -> int | None:
        """Sent bytes that the endpoint's instance has not confirmed; None where unknown.

        Those confirmed may still be unread there.
        """
        if self._stream.closed():
            return None
        try:
            count = fcntl.ioctl(self._stream.socket, termios.TIOCOUTQ, bytes(4))
        except OSError:
            return None
        return struct.unpack("i", count)[0]

    def abort(self) -> None:
        """Resets the connection; the reader of the reply gets a BROKEN part."""
        if self._ended:
            return
        # The endpoint may have reset the connection in this iteration of the event loop; the
        # stream has no socket any more then.
        if not self._stream.closed():
            self._discard_unsent()
        self._append(Part(PartKind.BROKEN))
        self._stream.close()

    def close(self) -> None:
        """Closes the connection, so that the endpoint stops working on the request."""
        if self.sent and not self._ended and not self._stream.closed():
            self._discard_unsent()
        self._ended = True
        self._stop_head_timer()
        self._stream.close()
        if self._room_waiter is not None and not self._room_waiter.done():
            self._room_waiter.set_result(None)
        self._parts.clear()
        self._size_in_use = 0
        self._account.close()

    @property
    def _is_invalid(self) -> bool:
        """Whether the connection was closed on account of what has arrived."""
        stream = self._stream
        # The stream's own bounds are those of a head and of the frame of a chunk.
        if isinstance(stream.error, iostream.UnsatisfiableReadError):
            return True
        # Neither end has closed it otherwise: what arrived could not be read as a reply.
        return stream.closed() and stream.error is None and not stream.ended_by_peer

    def _resume_reading(self) -> None:
        if self._room_waiter is None or self._account.held >= self._budget.read_ahead:
            return
        if not self._room_waiter.done():
            self._room_waiter.set_result(None)
        self._room_waiter = None

    def _start_head_timer(self, beginning: bytes) -> None:
        on_timeout = self._end_invalid
        if HEAD_START.startswith(beginning):
            on_timeout = self._wait_for_silent_head
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(HEAD_TIMEOUT_SECONDS, on_timeout)

    def _wait_for_silent_head(self) -> None:
        """Waits on for a head if nothing of it has arrived lately."""
        loop = asyncio.get_running_loop()
        received_at = self._stream.received_at
        if loop.time() - received_at < SILENT_HEAD_PAUSE_SECONDS:
            self._end_invalid()
            return
        self._head_timer = loop.call_at(received_at + SILENT_HEAD_SECONDS, self._end_invalid)

    def _stop_head_timer(self) -> None:
        self._stream.on_first_byte = None
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _end_invalid(self) -> None:
        """Resets the connection because what arrives exceeds the bounds of a reply."""
        self.invalid = self.invalid or not self._ended
        self.abort()

    def _discard_unsent(self) -> None:
        # After an ordinary close, the kernel goes on sending unacknowledged data. Over a
        # saturated link, a request would then reach its endpoint seconds after its caller has
        # disconnected, and be worked on in vain. A close with SO_LINGER at zero sends a reset
        # instead: it drops the unsent data and informs the endpoint at once.
        linger = struct.pack("ii", 1, 0)
        try:
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            # The connection is already gone, and its unsent data with it.
            return

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Handles the reply's head; see HTTPMessageDelegate."""
        self._stop_head_timer()
        if start_line.code < 200:
            # The head of the final answer has its time from its own first byte on.
            self._stream.on_first_byte = self._start_head_timer
            if start_line.code == 100:
                self._append(Part(PartKind.CONTINUE))
            return
        if heads.body_length(headers) > self._budget.largest_answer:
            self._end_invalid()
            return
        self._ends_with_connection = (
            "Content-Length" not in headers and "Transfer-Encoding" not in headers
        )
        self._append(Part(PartKind.HEAD, head=heads.read_reply(start_line, headers)))

    def data_received(self, chunk: bytes) -> asyncio.Future | None:
        """Handles a part of the body; returns a future to wait for if the buffer is full."""
        if self._ended:
            return None
        self.body_started = True
        self._body_bytes += len(chunk)
        frames = self._stream.received - FRAME_FACTOR * self._body_bytes
        if self._body_bytes > self._budget.largest_answer or frames > MAX_FRAME_BYTES:
            self._end_invalid()
            return None
        self._append(Part(PartKind.BODY, content=chunk))
        self._account.add(PART_BYTES + len(chunk))
        if self._account.held < self._budget.read_ahead:
            return None
        if self._room_waiter is None:
            self._room_waiter = asyncio.get_running_loop().create_future()
        return self._room_waiter

    def finish(self) -> None:
        """Handles the end of the reply."""
        # A reply without a length ends when its connection is closed. A connection that was
        # reset also ends, and without this check a truncated reply would pass for complete.
        broken = self._ends_with_connection and self._stream.error is not None
        self._append(Part(PartKind.BROKEN if broken else PartKind.END))

    def on_connection_close(self) -> None:
        """Handles a connection that ended before the reply did."""
        self._append(Part(PartKind.BROKEN))

    def _on_read_done(self, read_task: asyncio.Future) -> None:
        if not read_task.cancelled():
            read_task.exception()
        self._append(Part(PartKind.BROKEN))

    def _append(self, part: Part) -> None:
        if self._ended:
            return
        if part.kind in (PartKind.END, PartKind.BROKEN):
            self._ended = True
            self._stop_head_timer()
            self.invalid = self.invalid or (part.kind is PartKind.BROKEN and self._is_invalid)
        self._parts.append(part)
        if self._part_waiter is not None and not self._part_waiter.done():
            self._part_waiter.set_result(None)


async def connect(host: str, port: int, timeout: float, budget: BufferBudget) -> EndpointConnection:
    """Opens a connection.

    Args:
      budget: What the connection's buffers count against.

    Raises:
      CodedError: It could not be opened in time; nothing was sent.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    # The stream reads no more ahead than the head or the segment that is asked for.
    stream = ReplyStream(sock, max_buffer_size=budget.largest_answer)
    try:
        await waiting.wait_for(stream.connect((host, port)), timeout)
    except CONNECT_ERRORS as error:
        stream.close()
        refused = isinstance(getattr(error, "real_error", error), ConnectionRefusedError)
        code = "endpoint_down" if refused else "endpoint_unreachable"
        raise CodedError(code, f"{host}:{port}: {error!r}", 503, Outcome.NOT_RUN) from error
    except asyncio.CancelledError:
        stream.close()
        raise
    return EndpointConnection(stream, budget)
