"""A request whose server knows how much of it was received."""

import asyncio
import collections.abc
import typing

from tornado import http1connection, httputil

from ..decisions.connection_close import CloseCause

# Smaller pieces of a body are joined before they are passed on.
PIECE_BYTES = 16_384


@typing.runtime_checkable
class RefusesPart(typing.Protocol):
    """A request delegate that words the refusal of a request that was received in part."""

    def refuse_part(self, cause: CloseCause) -> bytes:
        """Records that the request is refused, and returns the whole response.

        Args:
          cause: Why its connection is closed.
        """


@typing.runtime_checkable
class NotesCrossing(typing.Protocol):
    """A request delegate that notes a request that came after the word of the close."""

    def record_crossed(
        self, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        """Records that the request was answered with the server's response for idle connections."""


@typing.runtime_checkable
class DiscardsBody(typing.Protocol):
    """A request delegate that may read the rest of a body without keeping it."""

    @property
    def discards_body(self) -> bool:
        """Whether it keeps nothing of the body."""


class WatchedRequest(httputil.HTTPMessageDelegate):
    """Passes a request on to its delegate, and notes how much of it was received.

    Attributes:
      delegate: Receives the request.
      begun_at: When its head was received, by the event loop's clock; None before.
      read_since: When its first byte was read, by the event loop's clock; None before.
      read_at: When something of it was last read, likewise.
      received: Whether it was received completely.
      begun_after_refusal: Whether its head was received after it was refused.
      ends_with_connection: Whether its answer may end only with the connection, as one without a
        length does in HTTP/1.0.
      input_at: When its head or a part of its body was last received after it was refused, by the
        event loop's clock.
    """

    def __init__(
        self,
        delegate: httputil.HTTPMessageDelegate,
        connection: http1connection.HTTP1Connection,
        on_head: collections.abc.Callable[[int], None],
        on_whole: collections.abc.Callable[[], bool],
    ) -> None:
        """Creates a request of which nothing was received.

        Args:
          on_head: Called with the number of fields when its head was received.
          on_whole: Called when it was received completely; returns whether it is to be served.
        """
        self.delegate = delegate
        self.begun_at: float | None = None
        self.read_since: float | None = None
        self.read_at = 0.0
        self.received = False
        self.ends_with_connection = False
        self.input_at = 0.0
        self._connection = connection
        self.begun_after_refusal = False
        self._passed_on = False
        self._refused = False
        # Delegates keep an object for each piece that they get.
        self._pieces = bytearray()
        self._on_head = on_head
        self._on_whole = on_whole

    @property
    def begun(self) -> bool:
        """Whether its head was received."""
        return self.begun_at is not None

    @property
    def answered(self) -> bool:
        """Whether a response was begun."""
        return self._refused or self._connection._response_start_line is not None

    @property
    def refused(self) -> bool:
        """Whether what is received of it from now on is discarded."""
        return self._refused

    @property
    def discards(self) -> bool:
        """Whether what is received of it from now on is not kept."""
        delegate = self.delegate
        kept = not isinstance(delegate, DiscardsBody) or not delegate.discards_body
        return self.answered or not kept

    @property
    def finished(self) -> bool:
        """Whether its response was passed on completely, or it was refused."""
        return self._refused or self._connection._write_finished

    def refuse(self) -> None:
        """Discards what is received from now on, so that the delegate never sees the rest."""
        self._refused = True

    def abandon(self) -> None:
        """Refuses it, and frees what it and its delegate hold."""
        self.refuse()
        self._pieces = bytearray()
        self.on_connection_close()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> object:
        """See HTTPMessageDelegate."""
        self.begun_at = asyncio.get_running_loop().time()
        self.ends_with_connection = start_line.version == "HTTP/1.0"
        if self._refused:
            self.begun_after_refusal = True
            self.input_at = self.begun_at
            if isinstance(self.delegate, NotesCrossing):
                self.delegate.record_crossed(start_line, headers)
            return None
        self._on_head(len(headers))
        if self._refused:
            return None
        self._passed_on = True
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> object:
        """See HTTPMessageDelegate."""
        if self._refused:
            self.input_at = asyncio.get_running_loop().time()
            return None
        if not self._pieces and len(chunk) >= PIECE_BYTES:
            return self.delegate.data_received(chunk)
        self._pieces += chunk
        return self._pass_on() if len(self._pieces) >= PIECE_BYTES else None

    def _pass_on(self) -> object:
        """Passes on the pieces that were received, as one."""
        content, self._pieces = bytes(self._pieces), bytearray()
        return self.delegate.data_received(content)

    def finish(self) -> None:
        """See HTTPMessageDelegate."""
        if self._pieces and not self.answered:
            self._pass_on()
        if not self._refused and not self._on_whole():
            self.received = True
            return
        self.received = True
        if not self._refused:
            self.delegate.finish()

    def on_connection_close(self) -> None:
        """See HTTPMessageDelegate."""
        if self._passed_on:
            self._passed_on = False
            self.delegate.on_connection_close()
