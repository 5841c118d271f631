"""A request whose server knows how much of it was received."""

import asyncio
import typing

from tornado import http1connection, httputil


@typing.runtime_checkable
class RefusesPart(typing.Protocol):
    """A request delegate that words the refusal of a request that was received in part."""

    def refuse_part(self) -> bytes:
        """Records that the request is refused, and returns the whole response."""


class WatchedRequest(httputil.HTTPMessageDelegate):
    """Passes a request on to its delegate, and notes how much of it was received.

    Attributes:
      delegate: Receives the request.
      begun_at: When its head was received, by the event loop's clock; None before.
      received: Whether it was received completely.
      begun_after_refusal: Whether its head was received after it was refused.
      ends_with_connection: Whether its answer may end only with the connection, as one without a
        length does in HTTP/1.0.
      input_at: When its head or a part of its body was last received after it was refused, by the
        event loop's clock.
    """

    def __init__(
        self, delegate: httputil.HTTPMessageDelegate, connection: http1connection.HTTP1Connection
    ) -> None:
        self.delegate = delegate
        self.begun_at: float | None = None
        self.received = False
        self.ends_with_connection = False
        self.input_at = 0.0
        self._connection = connection
        self.begun_after_refusal = False
        self._passed_on = False
        self._refused = False

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
    def finished(self) -> bool:
        """Whether its response was passed on completely, or it was refused."""
        return self._refused or self._connection._write_finished

    def refuse(self) -> None:
        """Discards what is received from now on, so that the delegate never sees the rest."""
        self._refused = True

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
            return None
        self._passed_on = True
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> object:
        """See HTTPMessageDelegate."""
        if self._refused:
            self.input_at = asyncio.get_running_loop().time()
            return None
        return self.delegate.data_received(chunk)

    def finish(self) -> None:
        """See HTTPMessageDelegate."""
        self.received = True
        if not self._refused:
            self.delegate.finish()

    def on_connection_close(self) -> None:
        """See HTTPMessageDelegate."""
        if self._passed_on:
            self.delegate.on_connection_close()
