"""Tests of the client of an engine over real sockets, and of which pieces contain a layer."""

import asyncio
import unittest

from ..config.deployment import Address
from ..wire import http_client
from .engine_client import make_engine_client, pieces_of_layer


class StagingTest(unittest.IsolatedAsyncioTestCase):
    """An engine that holds the pieces that it was given."""

    async def asyncSetUp(self) -> None:
        self.connections = 0
        self.pieces: dict[str, bytes] = {}
        # Whether answers state their length; otherwise they end with their connection.
        self.states_length = True
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.client = http_client.make_client()
        address = Address("127.0.0.1", self.server.sockets[0].getsockname()[1])
        self.engine = make_engine_client(self.client, address)

    async def asyncTearDown(self) -> None:
        self.engine._staging.close()
        self.client.close()
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        self.connections += 1
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                length = sum(
                    int(line[16:]) for line in lines if line.startswith("Content-Length: ")
                )
                body = await reader.readexactly(length)
                method, target, _ = lines[0].split(" ")
                number = target.rpartition("=")[2]
                if method == "PUT":
                    self.pieces[number] = body
                content = self.pieces[number] if method == "GET" else b"ok"
                stated = f"Content-Length: {len(content)}\r\n" if self.states_length else ""
                writer.write(f"HTTP/1.1 200 OK\r\n{stated}\r\n".encode() + content)
                if not self.states_length:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def write_and_read(self) -> None:
        """Writes some pieces and reads them back."""
        for number in range(5):
            content = bytes([number]) * 100_000
            await self.engine.put_piece("m", number, content)
            self.assertEqual(await self.engine.read_piece("m", number), content)

    async def test_pieces_share_a_connection(self) -> None:
        """Guards against a handshake for each piece, beside the requests that the engine serves."""
        await self.write_and_read()
        self.assertEqual(self.connections, 1)

    async def test_engine_whose_answers_state_no_length(self) -> None:
        """Guards against weights that cannot be staged at an engine of other software."""
        self.states_length = False
        await self.write_and_read()
        self.assertEqual(self.connections, 11)


class PiecesOfLayerTest(unittest.TestCase):
    """Numbers of pieces that are multiples of the number of layers, and others."""

    def test_layers_have_pieces_of_their_own_where_they_divide_evenly(self) -> None:
        self.assertEqual([pieces_of_layer(n, 16, 48) for n in (0, 15)], [range(3), range(45, 48)])

    def test_adjacent_layers_share_the_piece_that_spans_their_boundary(self) -> None:
        """Guards against an order to load a layer while its first or last piece is missing."""
        parts = [pieces_of_layer(n, 4, 10) for n in range(4)]
        self.assertEqual(parts, [range(3), range(2, 5), range(5, 8), range(7, 10)])


if __name__ == "__main__":
    unittest.main()
