"""A gRPC codec for msgspec structs, so that the peer protocol needs no generated code."""

import typing

import msgspec
from grpclib.encoding.base import CodecBase

from ..core.decoding import describe

# The overhead of a message: gRPC's length prefix and the header of the HTTP/2 frame.
MESSAGE_FRAME_BYTES = 14
# The receiver acknowledges each message with two HTTP/2 window updates.
ACKNOWLEDGEMENT_BYTES = 26


class MessageCounts(msgspec.Struct):
    """Messages and bytes of this process, with HTTP/2 framing but without TCP and IP headers."""

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class MessageCodec(CodecBase):
    """Encodes structs as MessagePack. A message that cannot be decoded ends its stream."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[type, msgspec.msgpack.Decoder] = {}
        self.counts = MessageCounts()

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        """Encodes a struct."""
        content = self._encoder.encode(message)
        self.counts.messages_sent += 1
        self.counts.bytes_sent += len(content) + MESSAGE_FRAME_BYTES
        self.counts.bytes_received += ACKNOWLEDGEMENT_BYTES
        return content

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        """Decodes a message of a type.

        Raises:
          msgspec.MsgspecError: The bytes are not a valid message of the type.
        """
        self.counts.messages_received += 1
        self.counts.bytes_received += len(data) + MESSAGE_FRAME_BYTES
        self.counts.bytes_sent += ACKNOWLEDGEMENT_BYTES
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = self._decoders[message_type] = msgspec.msgpack.Decoder(message_type)
        try:
            return decoder.decode(data)
        except Exception as error:
            raise msgspec.DecodeError(describe(error)) from error
