"""A seeded fuzz of heads and framings at a real server: `FRAMING_SEEDS=50` plays more."""

import asyncio
import os
import random
import unittest
from unittest import mock

from tornado import netutil, web

from wasabidrum.wire.ending_server import IDLE_RESPONSE, EndingServer
from wasabidrum.wire.request_room import RequestRoom

HOST = "127.0.0.1"
SEEDS = int(os.environ.get("FRAMING_SEEDS", "1"))
REQUESTS = 400
AT_ONCE = 20
ROOM_BYTES = 2_000_000
SECONDS = 30.0
# Until a client that sends no more is answered or cut off.
IDLE_SECONDS = 0.5
SIZES = (
    b"0",
    b"1",
    b"5",
    b"05",
    b"ffffffffffffffff",
    b"-1",
    b"+1",
    b" 5",
    b"0x5",
    b"5;a=b",
    b"",
    b"g",
)
FIELDS = (
    b"Content-Length: 5",
    b"Content-Length: 5, 5",
    b"Content-Length: 5, 6",
    b"Content-Length: -5",
    b"Content-Length: 99999999999999999999",
    b"Content-Length: 5\r\nContent-Length: 6",
    b"Transfer-Encoding: chunked",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: chunked\r\nContent-Length: 5",
    b"Expect: 100-continue",
    b"Connection: close",
    b" folded: x",
    b"no colon",
    b": no name",
    b"X-Own: \x00",
    b"X-Own: " + b"x" * 9000,
)
STARTS = (
    b"POST / HTTP/1.1",
    b"GET / HTTP/1.0",
    b"POST / HTTP/2.0",
    b"POST /",
    b"\r\n\r\nGET / HTTP/1.1",
    b"",
)
ENDS = (b"\r\n\r\n", b"\n\n", b"\r\n", b"\r\r\n\r\r\n")


class EchoHandler(web.RequestHandler):
    """Answers with the body that it got."""

    def post(self) -> None:
        """Answers."""
        self.write(self.request.body)

    get = post


def make_fuzzed(rng: random.Random) -> bytes:
    """Returns bytes that may be a request."""
    fields = [b"Host: a", *rng.choices(FIELDS, k=rng.choice((0, 1, 1, 2, 3)))]
    fields += [b"f%d: x" % number for number in range(rng.choice((0, 0, 300)))]
    rng.shuffle(fields)
    content = b"\r\n".join((rng.choice(STARTS), *fields)) + rng.choice(ENDS)
    for _ in range(rng.choice((0, 1, 3, 200))):
        content += rng.choice(SIZES) + b"\r\n" + b"x" * rng.choice((0, 1, 5)) + b"\r\n"
    content += rng.choice((b"", b"0\r\n\r\n", b"xxxxx", rng.randbytes(50)))
    if rng.random() < 0.3:
        place = rng.randrange(len(content) + 1)
        content = content[:place] + rng.randbytes(rng.randrange(4)) + content[place:]
    return content[: rng.randrange(len(content) + 1)] if rng.random() < 0.3 else content


class FramingFuzzTest(unittest.IsolatedAsyncioTestCase):
    """A server with a small room, and clients who send what they like."""

    async def asyncSetUp(self) -> None:
        application = web.Application([(r"/.*", EchoHandler)], log_function=lambda handler: None)
        self.server = EndingServer(
            application, idle_connection_timeout=IDLE_SECONDS, body_timeout=IDLE_SECONDS
        )
        self.server.idle_response = IDLE_RESPONSE
        self.server.room = RequestRoom(ROOM_BYTES, ROOM_BYTES)
        self.server.whole_copies = 1
        self.server.log = mock.Mock()
        self.server.add_sockets(netutil.bind_sockets(0, HOST))
        self.addCleanup(self.server.stop)

    async def send(self, content: bytes, rng: random.Random) -> bytes:
        """Sends in pieces; returns what came back until the connection ended."""
        reader, writer = await asyncio.open_connection(HOST, self.server.port)
        try:
            size = rng.choice((1, 7, 1000, 65_536))
            for start in range(0, len(content), size):
                writer.write(content[start : start + size])
                await asyncio.sleep(0)
            async with asyncio.timeout(SECONDS):
                return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def test_fixed_seeds(self) -> None:
        """Guards against bytes that end the server, leave a connection or an account open, or are
        answered with an error of the server."""
        for seed in range(1, SEEDS + 1):
            rng = random.Random(seed)
            requests = [make_fuzzed(rng) for _ in range(REQUESTS)]
            for start in range(0, REQUESTS, AT_ONCE):
                batch = requests[start : start + AT_ONCE]
                sending = (self.send(content, random.Random(seed)) for content in batch)
                for content, answer in zip(batch, await asyncio.gather(*sending), strict=True):
                    self.assertNotIn(b"HTTP/1.1 500", answer, (seed, content))
            whole = (
                b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello"
            )
            self.assertTrue((await self.send(whole, rng)).endswith(b"hello"))
            async with asyncio.timeout(SECONDS):
                while self.server.connection_count:
                    await asyncio.sleep(0.01)
            self.assertEqual((self.server.room.unfinished, self.server.room.whole), (0, 0))


if __name__ == "__main__":
    unittest.main()
