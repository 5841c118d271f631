"""Stores, engines, origins and other daemons that send bytes without end."""

import asyncio
import struct
import unittest

from grpclib import const, server

from wasabidrum.config.deployment import Address
from wasabidrum.core.engine_report import PieceList
from wasabidrum.core.errors import CodedError
from wasabidrum.peers import entry_messages, message_bound, peer_client
from wasabidrum.peers.entry_messages import Acknowledgement, EntryAddress, Meet
from wasabidrum.platform.engine_client import make_engine_client
from wasabidrum.platform.http_blob_source import make_blob_source
from wasabidrum.platform.origin_client import make_origin_client
from wasabidrum.platform.store_client import KeyPrefix, make_store_client
from wasabidrum.weights.peer_chunk_client import PeerChunkClient
from wasabidrum.wire import headers, http_client

HOST = "127.0.0.1"
BLOCK = b"x" * 65_536
MIB = 1_048_576
MOST_BYTES = 96 * MIB
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
FLOODS = {
    "line": (b"", BLOCK),
    "header lines": (HEAD, b"X-Own: 1\r\n" * 6000),
    "no length": (HEAD + b"\r\n", BLOCK),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", BLOCK),
}


class EndlessPeersTest(unittest.IsolatedAsyncioTestCase):
    """A server that answers everything with bytes without end."""

    async def asyncSetUp(self) -> None:
        self.sent = self.ended = 0
        self.start, self.block = FLOODS["line"]
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = Address(HOST, self.server.sockets[0].getsockname()[1])
        self.client = http_client.make_client()

    async def asyncTearDown(self) -> None:
        self.server.close()
        self.client.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers a request without end."""
        self.sent = 0
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            while self.sent < MOST_BYTES:
                writer.write(self.block)
                await writer.drain()
                self.sent += len(self.block)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended += 1
        finally:
            writer.close()

    async def assert_ends(self, ask, max_bytes: int) -> None:
        """Asserts that a call ends with an error and its connection, whatever it gets."""
        for name, (start, block) in FLOODS.items():
            with self.subTest(flood=name):
                self.start, self.block, self.ended = start, block, 0
                async with asyncio.timeout(20.0):
                    with self.assertRaises(CodedError):
                        await ask()
                    while not self.ended:
                        await asyncio.sleep(0.01)
                # The sockets' buffers hold some megabytes more than were read.
                self.assertLess(self.sent, max_bytes + 12 * MIB)

    async def test_store(self) -> None:
        """Guards against an entry that reads from the store until it has no memory left."""
        store = make_store_client(self.client, self.address)
        await self.assert_ends(lambda: store.read(KeyPrefix.ALL), 16 * MIB)
        await self.assert_ends(lambda: store.watch(KeyPrefix.ALL, 1, 5.0), 16 * MIB)

    async def test_engine(self) -> None:
        """Guards against the same for a sidecar and its engine."""
        engine = make_engine_client(self.client, self.address)
        await self.assert_ends(lambda: engine.report(1), MIB)
        await self.assert_ends(lambda: engine.staged("m"), MIB)
        await self.assert_ends(lambda: engine.put_piece("m", 1, b"x"), MIB)
        await self.assert_ends(lambda: engine.start("m", 1, 1), MIB)
        await self.assert_ends(lambda: engine.read_piece("m", 1), 64 * MIB)

    async def test_origin(self) -> None:
        """Guards against the same for lists of pieces, and for pieces of a known size."""
        origin = make_origin_client(self.client)
        origin.set_address(HOST, self.address.port)
        origin.add_list(PieceList("m", 1, 1000, ("d",)))
        await self.assert_ends(lambda: origin.read_list("m", 1), 4 * MIB)
        await self.assert_ends(lambda: origin.fetch("d"), MIB)

    async def test_weights_of_peers_and_stores(self) -> None:
        """Guards against the same for chunks, whose size is not known before."""
        source = make_blob_source(self.client, f"http://{self.address}")
        await self.assert_ends(lambda: source.fetch("d"), 64 * MIB)
        peer = PeerChunkClient(self.client, "n", "r")
        await self.assert_ends(
            lambda: peer.request_chunk(f"http://{self.address}", "d", 0.0, 1), 64 * MIB
        )

    async def test_announced_times_that_are_none(self) -> None:
        """Guards against a download that never stalls because of what its peer has announced."""
        for text in ("nan", "inf", "1e300", "-1", "x"):
            times = f"{headers.CHUNK_SECONDS}: {text}\r\n{headers.CHUNK_STARTS_IN}: {text}"
            self.start = HEAD + times.encode() + b"\r\n\r\n"
            self.block = b"x" * (MOST_BYTES // 2)
            peer = PeerChunkClient(self.client, "n", "r")
            async with asyncio.timeout(20.0):
                with self.assertRaises(CodedError):
                    await peer.request_chunk(f"http://{self.address}", "d", 0.0, 1)


class EndlessMessagesTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons, one of which sends messages that are too large."""

    async def asyncSetUp(self) -> None:
        self.server = server.Server([self], codec=peer_client.CODEC)
        await self.server.start(HOST, 0)
        self.port = self.server._server.sockets[0].getsockname()[1]
        self.read: object = None

    async def asyncTearDown(self) -> None:
        # Its handler still waits to send, so that the server does not end in order.
        self.server.close()

    def __mapping__(self):
        """Returns the handler of the one path, as grpclib requires."""
        method = const.Handler(self.serve, const.Cardinality.UNARY_UNARY, Meet, Acknowledgement)
        return {"/flood": method}

    async def serve(self, stream) -> None:
        """Answers with a message that states four gigabytes, and goes on sending."""
        self.read = await stream.recv_message()
        await stream.send_initial_metadata()
        await stream._stream.send_data(b"\x00" + struct.pack(">I", 2**32 - 1))
        sent = 0
        while sent < MOST_BYTES:
            await stream._stream.send_data(BLOCK)
            sent += len(BLOCK)

    async def test_answer_that_is_too_large(self) -> None:
        """Guards against a daemon that reads a message of four gigabytes into its memory."""
        began = asyncio.get_running_loop().time()
        with self.assertRaises(CodedError):
            await peer_client.call(
                HOST, self.port, "/flood", Meet(EntryAddress(HOST, 1)), Acknowledgement, 4.0
            )
        self.assertIsNotNone(self.read)
        self.assertLess(asyncio.get_running_loop().time() - began, 5.0)

    def test_packed_changes_that_are_too_large(self) -> None:
        """Guards against a few kilobytes that become gigabytes when they are unpacked."""
        changes = (entry_messages.PeerChange("k", 1, bytes(80 * MIB)),)
        packed = entry_messages.pack_changes(changes)
        self.assertLess(len(packed), message_bound.MAX_MESSAGE_BYTES)
        with self.assertRaises(CodedError):
            entry_messages.unpack_changes(packed)


if __name__ == "__main__":
    unittest.main()
