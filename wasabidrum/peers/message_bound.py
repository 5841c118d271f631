"""Bounds the size of gRPC messages that are read.

A message states its length in four bytes. grpclib reads as many, and acknowledges them while it
reads, so that the windows of HTTP/2 do not bound it: one message may bring four gigabytes. It has
no setting for this.
"""

from grpclib import exceptions, protocol

# The largest message is a copy of the store, compressed where it is large.
MAX_MESSAGE_BYTES = 16 * 1_048_576


class BoundedBuffer(protocol.Buffer):
    """The received bytes of one stream, from which only messages of a bounded size are read."""

    async def read(self, size: int) -> bytes:
        """Returns the next bytes of the stream; see Buffer.

        Raises:
          ProtocolError: A message states a length beyond the bound. Its stream ends.
        """
        if size > MAX_MESSAGE_BYTES:
            raise exceptions.ProtocolError(f"a message of {size} bytes is too large")
        return await super().read(size)


def install() -> None:
    """Makes all gRPC streams of this process, of clients and servers, use bounded buffers."""
    protocol.Buffer = BoundedBuffer
