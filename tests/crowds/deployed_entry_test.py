"""Crowds at the ports of an entry on the users' platform."""

import unittest

from bench.deployed_fleet import CALLERS, CONTROL, READINESS
from tests.crowds.crowd import pieces_of
from tests.crowds.deployed_case import (
    CHUNKS,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    METRICS,
    SENDING_SECONDS,
    DeployedCase,
    request_head,
)
from wasabidrum.peers import entry_messages
from wasabidrum.platform import names

LARGE_BODIES = 48
SMALLER_BODIES = 96
SMALLER_BYTES = 262_144
SHORT_BYTES = 64
PIECE_BYTES = 4096
FIELD_HEADS = 230
CHUNKED_BODIES = 400
CHUNKS_OF_A_BODY = 60_000
IDLE_CONNECTIONS = 400
PIPELINING = 160
PIPELINED_BYTES = 8_000_000
MESSAGES = 24


class DeployedEntryCrowdTest(DeployedCase):
    """Many clients at one port, each within the limits that are published."""

    async def test_large_bodies_short_of_their_end(self) -> None:
        """Guards against an entry that ends, out of memory, under bodies of legal size."""

        def parts(number: int, size: int = MAX_BODY_BYTES):
            body = b"x" * size
            yield request_head(size)
            sent = body if number % 4 == 0 else body[:-SHORT_BYTES]
            yield from (sent,) if number % 3 else pieces_of(sent, PIECE_BYTES)

        async with self.beside_crowd(self.entry, CALLERS) as crowd:
            crowd.join(parts, LARGE_BODIES)
            await crowd.wait_until_sent(SENDING_SECONDS)
            crowd.join(lambda number: parts(number, SMALLER_BYTES), SMALLER_BODIES)

    async def test_heads_of_many_fields(self) -> None:
        """Guards against the same under heads of legal size, which are larger once parsed."""
        start = request_head(100)[:-2]
        count = (MAX_HEAD_BYTES - len(start) - 2) // len("f00000:\r\n")
        fields = b"".join(b"f%05d:\r\n" % number for number in range(count))

        def parts(number: int):
            yield start + fields + b"\r\n"

        async with self.beside_crowd(self.entry, CALLERS) as crowd:
            crowd.join(parts, FIELD_HEADS)

    async def test_requests_behind_answers_that_nobody_reads(self) -> None:
        """Guards against memory of the kernel that fills behind a caller who reads nothing: its
        window has grown while a large body was read."""
        lines = f"Host: x\r\n{names.REQUEST_ID}: 1\r\n"
        first = f"POST /none HTTP/1.1\r\n{lines}Content-Length: {MAX_BODY_BYTES}\r\n\r\n".encode()
        request = f"GET /none HTTP/1.1\r\n{lines}\r\n".encode()
        requests = request * (PIPELINED_BYTES // len(request))

        def parts(number: int):
            yield first
            yield from pieces_of(b"x" * MAX_BODY_BYTES, MAX_BODY_BYTES // 64)
            yield requests

        async with self.beside_crowd(self.entry, CALLERS) as crowd:
            crowd.join_unreading(parts, PIPELINING)

    async def test_idle_connections(self) -> None:
        """Guards against descriptors that run out, at each port."""
        for offset in (CALLERS, READINESS, CONTROL, CHUNKS, METRICS):
            with self.subTest(offset=offset):
                async with self.beside_crowd(self.entry, offset) as crowd:
                    crowd.join(lambda number: iter(()), IDLE_CONNECTIONS)

    async def test_messages_short_of_their_end(self) -> None:
        """Guards against an entry that ends, out of memory, under messages at its control port."""
        async with self.beside_crowd(self.entry, CONTROL) as crowd:
            crowd.join_messages(entry_messages.MEET_PATH, MESSAGES)


class BusyEntryCrowdTest(DeployedCase):
    """A crowd that needs much processor time for little memory."""

    memory_mb = 300
    descriptors = 1500

    async def test_chunks_of_one_byte(self) -> None:
        """Guards against an event loop that does nothing but parse the chunks of bodies."""
        head = request_head(0).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        chunks = b"1\r\nx\r\n" * CHUNKS_OF_A_BODY

        def parts(number: int):
            yield head
            yield from pieces_of(chunks, PIECE_BYTES)

        async with self.beside_crowd(self.entry, CALLERS) as crowd:
            crowd.join(parts, CHUNKED_BODIES)


if __name__ == "__main__":
    unittest.main()
