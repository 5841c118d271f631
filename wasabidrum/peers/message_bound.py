"""Bounds what is held of gRPC messages that are received.

A message states its length in four bytes. grpclib reads as many, and acknowledges them while it
reads, so that the windows of HTTP/2 do not bound it: one message may bring four gigabytes. It has
no setting for this. It also keeps a few objects for each frame, which may bring a single byte.
"""

import asyncio
import functools

from grpclib import exceptions, protocol

# The largest message is a copy of the store, compressed where it is large.
MAX_MESSAGE_BYTES = 16 * 1_048_576


class BoundedBuffer(protocol.Buffer):
    """The received bytes of one stream, from which only messages of a bounded size are read."""

    def __init__(self, ack_callback: functools.partial) -> None:
        """Creates an empty buffer; see Buffer.

        Args:
          ack_callback: A method of the connection, which has an attribute `inbound` if it counts
            what its streams hold.
        """
        self._acknowledge = ack_callback
        self._inbound = getattr(ack_callback.func.__self__, "inbound", None)
        self._data = bytearray()
        self._unacknowledged = 0
        self._ended = False
        self._changed = asyncio.Event()

    @property
    def _max_message(self) -> int:
        if self._inbound is None:
            return MAX_MESSAGE_BYTES
        return min(MAX_MESSAGE_BYTES, self._inbound.largest_message)

    def add(self, data: bytes, ack_size: int) -> None:
        """Adds the bytes of a frame; see Buffer."""
        self._data += data
        self._unacknowledged += ack_size
        self._changed.set()
        if self._inbound is not None:
            self._inbound.grow(len(data))

    def eof(self) -> None:
        """Records that no more frames come; see Buffer."""
        self._ended = True
        self._changed.set()

    async def read(self, size: int) -> bytes:
        """Returns the next bytes of the stream; see Buffer.

        Raises:
          ProtocolError: A message states a length beyond the bound. Its stream ends.
        """
        if size > self._max_message:
            raise exceptions.ProtocolError(f"a message of {size} bytes is too large")
        while len(self._data) < size:
            if unacknowledged := self.unacked_size():
                self._acknowledge(unacknowledged)
            if self._ended:
                if not self._data:
                    return b""
                raise AssertionError("Received less data than expected")
            self._changed.clear()
            await self._changed.wait()
        content = bytes(memoryview(self._data)[:size])
        del self._data[:size]
        if self._inbound is not None and not self._inbound.closed:
            self._inbound.shrink(size)
        return content

    def unacked_size(self) -> int:
        """Returns what is not acknowledged, and counts it as acknowledged; see Buffer."""
        size, self._unacknowledged = self._unacknowledged, 0
        return size

    def release(self) -> None:
        """Discards what was received, as the stream has ended."""
        if self._inbound is not None and not self._inbound.closed:
            self._inbound.shrink(len(self._data))
        self._data.clear()


class BoundedEvents(protocol.EventsProcessor):
    """Handles the events of a connection, and discards what streams have not read at their end."""

    def register(self, stream: protocol.Stream) -> functools.partial:
        """Registers a stream; returns what releases it. See EventsProcessor."""
        release_stream = super().register(stream)

        def release() -> None:
            release_stream()
            stream.buffer.release()

        return release


def install() -> None:
    """Makes all gRPC streams of this process, of clients and servers, use bounded buffers."""
    protocol.Buffer = BoundedBuffer
    protocol.EventsProcessor = BoundedEvents
