"""Puts msgspec structs on gRPC, so that the peer protocol needs no generated code."""

import typing

import msgspec
from grpclib.encoding.base import CodecBase


class MessageCodec(CodecBase):
    """Encodes structs as MessagePack. A message that does not decode ends its stream."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[type, msgspec.msgpack.Decoder] = {}

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        """Returns the bytes of a struct."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        """Returns the struct of some bytes.

        Raises:
          msgspec.MsgspecError: The bytes are not a message of the type.
        """
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = self._decoders[message_type] = msgspec.msgpack.Decoder(message_type)
        return decoder.decode(data)
