"""A connection of a server, from its acceptance to its end."""

import asyncio
import collections.abc
import select
import socket

from tornado import iostream

from ..decisions import connection_close, connection_end
from ..decisions.connection_close import CloseCause, CloseStage, LatestRequest
from ..decisions.connection_end import ConnectionState, Step
from ..decisions.giving_way import Holding, Stage
from .parsing_turns import LINES_PER_TURN
from .request_room import RequestRoom
from .watched_request import RefusesPart, WatchedRequest

# What a field of a head takes once it is parsed, beside its bytes.
FIELD_BYTES = 256


class ServedConnection:
    """Ends one connection without leaving a request that was read unanswered.

    Attributes:
      latest: The request that is being read or answered; None until the first is waited for.
      close_cause: Why it is closed, as far as the server closes it.
    """

    __slots__ = ("latest", "close_cause", "_stream", "_accepted_at", "_requests", "_lingers_since")
    __slots__ += ("_crossed", "_ended_idle", "_may_end_answer", "_stage", "_stage_began_at")
    __slots__ += ("_room", "_copies", "_held", "_whole", "_on_give_way", "_on_first_byte")
    __slots__ += ("_chunk_lines", "_head_lines", "_sent", "_sent_at")

    def __init__(
        self,
        stream: iostream.IOStream,
        accepted_at: float,
        room: RequestRoom,
        copies: int,
        head_lines: int,
        on_give_way: collections.abc.Callable[["ServedConnection", Holding], None],
        on_first_byte: collections.abc.Callable[["ServedConnection"], None],
    ) -> None:
        """Creates a connection.

        Args:
          accepted_at: When it was accepted, by the event loop's clock.
          room: Counts what its requests hold.
          copies: How often the bytes of a whole request are held until it is answered; zero if
            something else counts them.
          head_lines: What the head of a request counts at least among turns, in lines.
          on_give_way: Called when its request has to be refused for others.
          on_first_byte: Called when the first byte of a request was read.
        """
        self._room = room
        self._chunk_lines = 0
        self._copies = copies
        self._head_lines = head_lines
        self._sent = 0
        self._sent_at = accepted_at
        self._on_give_way = on_give_way
        self._on_first_byte = on_first_byte
        # What was received of the latest request and is kept, in bytes.
        self._held = 0
        # What it holds since it was received whole.
        self._whole = 0
        self.latest: WatchedRequest | None = None
        self.close_cause = CloseCause.OTHER
        self._stream = stream
        self._accepted_at = accepted_at
        self._requests = 0
        self._lingers_since: float | None = None
        self._crossed = False
        self._ended_idle = False
        # Whether the close may be the end of the last answer.
        self._may_end_answer = False
        self._stage = CloseStage.UNREAD
        # When the first byte of the latest request came, or when the connection began to wait for
        # it.
        self._stage_began_at = accepted_at
        # A handler may go on to answer after the close, and seem to have answered before it.
        stream.close_fd = self._record_close
        stream.read_from_fd = self._read_from_fd
        stream.read_until = self._read_chunk_line
        stream.read_until_regex = self._read_head

    @property
    def is_open(self) -> bool:
        """Whether it is open."""
        return not self._stream.closed()

    @property
    def is_unread(self) -> bool:
        """Whether nothing of a request was ever read from it."""
        return self._requests < 2 and not self.has_part

    @property
    def stream(self) -> iostream.IOStream:
        """The stream of its bytes."""
        return self._stream

    @property
    def has_part(self) -> bool:
        """Whether a part of a request was read, or all of it."""
        return self.latest is not None and (self.latest.begun or self._stream._read_buffer_size > 0)

    @property
    def close_stage(self) -> CloseStage:
        """What had become of its latest request when it was closed."""
        if self._ended_idle:
            return CloseStage.ANSWERED if self.has_crossed else CloseStage.UNREAD
        return self._stage

    @property
    def has_crossed(self) -> bool:
        """Whether a request came after the connection was closed as one that waits for it."""
        if not self._ended_idle:
            return False
        return self._crossed or self.latest.begun_after_refusal or self.has_part

    @property
    def is_unanswered(self) -> bool:
        """Whether it is open for an answer."""
        return self.is_open and self._lingers_since is None

    def holding(self, now: float) -> Holding:
        """Returns what it holds."""
        stage, age = self._find_stage(), now - self._stage_began_at
        return Holding(stage, self._held, age)

    @property
    def unsent_bytes(self) -> int:
        """What was written to it and the kernel has not taken yet."""
        return len(self._stream._write_buffer)

    def unread_seconds(self, now: float) -> float:
        """Returns for how long nothing that was written could be sent, as seen at these calls."""
        sent = self._stream._total_write_done_index
        if not self.is_open or not self._stream.writing() or sent != self._sent:
            self._sent, self._sent_at = sent, now
        return now - self._sent_at

    def give_way(self, holding: Holding) -> None:
        """See HoldsRequest."""
        self._discard()
        self._on_give_way(self, holding)

    def _hold(self, count: int) -> None:
        if self.latest.received:
            return
        if self.latest.discards:
            self._discard()
            return
        self._held += count
        self._room.grow(self, count)

    def _discard(self) -> None:
        """Takes the latest request from the accounts."""
        self._room.release(self, self._held)
        self._held = 0
        self._room.release_whole(self._whole)
        self._whole = 0

    def hold_head(self, fields: int) -> None:
        """Counts the fields of a head that was received."""
        self._hold(fields * FIELD_BYTES)

    def hold_whole(self) -> bool:
        """Counts the latest request as received whole; returns whether there is room for it."""
        size = self._held * self._copies
        self._discard()
        if not self._room.admit_whole(size):
            return False
        self._whole = size
        return True

    def _find_stage(self) -> Stage:
        if self.has_part or self._lingers_since is not None:
            complete = self._lingers_since is None and self.latest.received
            return Stage.ANSWERING if complete else Stage.RECEIVING
        return Stage.IDLE if self._requests > 1 else Stage.UNUSED

    def _read_from_fd(self, buffer: bytearray | memoryview) -> int | None:
        """Notes what is received; see BaseIOStream."""
        is_first = not self.has_part
        count = type(self._stream).read_from_fd(self._stream, buffer)
        if count:
            now = asyncio.get_running_loop().time()
            if is_first:
                self._stage_began_at = now
            if self.latest is not None:
                self._note_read(now)
                self._hold(count)
        return count

    def _note_read(self, now: float) -> None:
        request = self.latest
        request.read_at = now
        if request.read_since is None:
            request.read_since = now
            self._on_first_byte(self)

    async def _read_head(self, regex: bytes, max_bytes: int) -> bytes:
        """Returns a head when it is to be parsed; see BaseIOStream.read_until_regex."""
        stream = self._stream
        head = await type(stream).read_until_regex(stream, regex, max_bytes)
        await self._room.turns.wait(max(self._head_lines, head.count(b"\n")))
        return head

    def _read_chunk_line(
        self, delimiter: bytes, max_bytes: int
    ) -> collections.abc.Awaitable[bytes]:
        """Returns the line before a chunk, at times only in a turn; see BaseIOStream.read_until."""
        stream = self._stream
        self._chunk_lines += 1
        if self._chunk_lines % LINES_PER_TURN:
            return type(stream).read_until(stream, delimiter, max_bytes)

        async def read_in_turn() -> bytes:
            await self._room.turns.wait(LINES_PER_TURN)
            return await type(stream).read_until(stream, delimiter, max_bytes)

        return read_in_turn()

    def add_request(self, request: WatchedRequest) -> None:
        """Records that another request is waited for."""
        if self.latest is not None and self._stream.closed():
            # The loop of a connection that was closed under an answer goes on to the next request.
            return
        self._crossed = self.has_crossed
        self._may_end_answer = self.latest is not None and self.latest.ends_with_connection
        self.latest = request
        self._requests += 1
        if self._requests > 1:
            self._stage_began_at = asyncio.get_running_loop().time()
        self._discard()
        # What came behind the request before.
        if unread := self._stream._read_buffer_size:
            self._note_read(asyncio.get_running_loop().time())
            self._hold(unread)

    def next_step(self, now: float) -> Step:
        """Returns what is due now that the server ends."""
        if not self.is_unanswered or self.latest is None:
            return Step.KEEP
        request = self.latest
        state = ConnectionState(
            reading=not request.received
            and self._stream.reading()
            and not has_input(self._stream.socket),
            partial=self.has_part,
            answered=request.answered,
            served=self._requests > 1,
            age=now - self._accepted_at,
        )
        return connection_end.next_step(state)

    def refuse(self, response: bytes, now: float, cause: CloseCause) -> None:
        """Answers a request that was received in part.

        Args:
          response: The response, unless the request's delegate has its own.
        """
        request = self.latest
        if isinstance(request.delegate, RefusesPart):
            response = request.delegate.refuse_part(cause)
        request.abandon()
        self._stream.write(response)
        self.linger(cause, now)

    def end_waiting(self, response: bytes, cause: CloseCause, now: float) -> None:
        """Closes a connection that waits for a request, and answers one that crosses the close.

        Args:
          response: What its caller reads as the answer to such a request, or to the part that it
            has sent, and otherwise as the reason of the close; empty to close it at once.
        """
        if not response or self._may_end_answer:
            self.close(cause)
            return
        self._ended_idle = not self.has_part
        self._stream.write(response)
        if self._stream.writing():
            # Its caller reads nothing, or its TLS handshake is not complete.
            self.close(cause)
            return
        self.linger(cause, now)

    def end_at_once(self, response: bytes, cause: CloseCause) -> None:
        """Closes the connection, whatever its caller does, and frees its descriptor.

        Args:
          response: Sent before, if that can be done without waiting; what was received of a
            request is not served.
        """
        if self.latest is not None:
            self._ended_idle = not self.has_part
            self.latest.refuse()
            if response and not self._may_end_answer:
                self._stream.write(response)
        self.close(cause)

    def linger(self, cause: CloseCause, now: float) -> None:
        """Closes the connection for writing once its answer is sent; reads on, and discards."""
        self.close_cause = cause
        self.latest.refuse()
        self._lingers_since = now
        self.update(now)

    def update(self, now: float) -> None:
        """Closes the connection if it has lingered long enough."""
        if self._lingers_since is None or not self.is_open:
            return
        if self._stream.writing():
            if connection_end.has_lingered_long(self._lingers_since, now):
                self._stream.close()
            return
        if connection_end.has_lingered(self._lingers_since, self.latest.input_at, now):
            self._stream.close()
            return
        try:
            # Of the socket itself: a TLS socket would give up its session, and with it the reading.
            socket.socket.shutdown(self._stream.socket, socket.SHUT_WR)
        except OSError:
            # The caller has reset the connection, or the system knows no half-closed ones.
            self._stream.close()

    def _record_close(self) -> None:
        if (request := self.latest) is not None:
            self._stage = connection_close.close_stage(
                LatestRequest(self.has_part, request.received, request.answered, request.finished)
            )
        self._discard()
        # The stream's own methods again, so that the two do not keep each other in memory.
        del self._stream.close_fd
        del self._stream.read_from_fd
        del self._stream.read_until
        del self._stream.read_until_regex
        self._stream.close_fd()

    def close(self, cause: CloseCause) -> None:
        """Closes the connection."""
        self.close_cause = cause
        self._stream.close()


def has_input(sock: socket.socket) -> bool:
    """Returns whether data, or the end of the connection, is waiting to be read."""
    return has_event(sock, select.POLLIN)


def has_event(sock: socket.socket, event: int) -> bool:
    """Returns whether an event of poll() is set for a socket."""
    poll = select.poll()
    poll.register(sock, event)
    return bool(poll.poll(0))
