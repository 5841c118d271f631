"""Tests of decoding bytes that another process wrote, at every place that does so."""

import contextlib
import unittest

import msgspec

from ..config.bundle import decode_bundle
from ..entry.token_stream_reader import decode_event
from ..peers import entry_messages
from ..peers.entry_messages import ChangesReply
from ..peers.message_codec import MessageCodec
from ..platform import boot_settings, published_records, store_client
from ..platform.store_client import WireRange
from .decoding import decode_json
from .errors import CodedError
from .status import Status

DEPTH = 3000
NUMBER = b"9" * 5000
JSON = (
    b'{"labels":' + b"[" * DEPTH,
    b'{"a":' * DEPTH,
    b'{"service":"s","zone":"z","state":"ready","address":"h:' + NUMBER + b'"}',
    b'{"version":' + NUMBER + b"}",
    b'{"service":"\xff"}',
    b"\xff\xfe",
    b"",
    b"null",
)
# Arrays of one element, nested in each other.
MESSAGE_PACK = b"\x91" * DEPTH
JSON_DECODERS = {
    "endpoint": lambda content: published_records.decode_endpoint("i", content, lambda s: 4),
    "version": published_records.decode_version,
    "configuration": published_records.decode_configuration,
    "settings": boot_settings.decode_deployment,
    "store": lambda content: store_client.decode(content, WireRange),
    "bundle": decode_bundle,
    "event": decode_event,
    "status": lambda content: decode_json(content, Status, "status_unreadable"),
}


class DecodingTest(unittest.TestCase):
    """Bytes that no decoder can read."""

    def test_unreadable_json_has_one_type_of_error(self) -> None:
        """Guards against errors that end the task which reads what others write."""
        for name, decode in JSON_DECODERS.items():
            for content in JSON:
                # Some types have a default for each field, and then read an object with others.
                with self.subTest(name, content=content[:20]), contextlib.suppress(CodedError):
                    decode(content)

    def test_unreadable_messages_of_entries_have_one_type_of_error(self) -> None:
        """Guards against a message of another entry that ends the exchange with all."""
        packed = entry_messages.pack_bytes(MESSAGE_PACK)
        with self.assertRaises(CodedError):
            entry_messages.unpack_changes(packed)
        with self.assertRaises(CodedError):
            entry_messages.read_use_report(MESSAGE_PACK)
        with self.assertRaises(msgspec.MsgspecError):
            MessageCodec().decode(MESSAGE_PACK, ChangesReply)

    def test_origin_of_an_error_is_kept(self) -> None:
        """Guards against refusals whose log line does not say what could not be read."""
        with self.assertRaisesRegex(CodedError, "RecursionError") as caught:
            decode_json(JSON[0], Status, "status_unreadable", 502)
        self.assertEqual(
            (caught.exception.code, caught.exception.http_status), ("status_unreadable", 502)
        )
