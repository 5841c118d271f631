"""Crowds at the ports of an entry and of a sidecar."""

import json
import unittest

from tests.crowds.crowd import pieces_of
from tests.crowds.own_case import MAX_BODY_BYTES, OwnCase
from tests.raw_caller import make_head
from wasabidrum.peers import peer_messages

LARGE_BODIES = 48
SHORT_BYTES = 64
PIECE_BYTES = 4096
IDLE_CONNECTIONS = 400
MESSAGES = 24
ATTEMPT = {"request_id": "r", "prompt": "hello", "max_tokens": 3}


class OwnEntryCrowdTest(OwnCase):
    """Many clients at one port of an entry."""

    async def test_large_bodies_short_of_their_end(self) -> None:
        """Guards against an entry that ends, out of memory, under bodies of legal size."""
        prompt = "x" * (MAX_BODY_BYTES - 100)
        body = json.dumps({"model": "summaries", "prompt": prompt, "max_tokens": 3}).encode()

        def parts(number: int):
            yield make_head("POST", "/v1/completions", f"Content-Length: {len(body)}")
            whole = number % 4 == 0
            sent = body if whole else body[:-SHORT_BYTES]
            yield from (sent,) if number % 3 else pieces_of(sent, PIECE_BYTES)

        async with self.beside_crowd(self.entry, self.entry.caller_port) as crowd:
            crowd.join(parts, LARGE_BODIES)

    async def test_idle_connections(self) -> None:
        """Guards against descriptors that run out, at each port."""
        for port in self.ports_of(self.entry):
            with self.subTest(port=port):
                async with self.beside_crowd(self.entry, port) as crowd:
                    crowd.join(lambda number: iter(()), IDLE_CONNECTIONS)

    async def test_messages_short_of_their_end(self) -> None:
        """Guards against an entry that ends, out of memory, under messages at its peer port."""
        async with self.beside_crowd(self.entry, self.entry.peer_port) as crowd:
            crowd.join_messages(peer_messages.WATCH_PATH, MESSAGES)


class OwnSidecarCrowdTest(OwnCase):
    """Many clients at one port of a sidecar."""

    async def test_large_bodies_short_of_their_end(self) -> None:
        """Guards against a sidecar that ends, out of memory, under bodies of legal size."""
        attempt = ATTEMPT | {"prompt": "x" * (MAX_BODY_BYTES - 100)}
        body = json.dumps(attempt).encode()

        def parts(number: int):
            yield make_head("POST", "/internal/generate", f"Content-Length: {len(body)}")
            sent = body[:-SHORT_BYTES]
            yield from (sent,) if number % 3 else pieces_of(sent, PIECE_BYTES)

        async with self.beside_crowd(self.sidecar, self.sidecar.http_port) as crowd:
            crowd.join(parts, LARGE_BODIES)

    async def test_idle_connections(self) -> None:
        """Guards against descriptors that run out, at each port."""
        for port in self.ports_of(self.sidecar)[1:]:
            with self.subTest(port=port):
                async with self.beside_crowd(self.sidecar, port) as crowd:
                    crowd.join(lambda number: iter(()), IDLE_CONNECTIONS)

    async def test_messages_short_of_their_end(self) -> None:
        """Guards against a sidecar that ends, out of memory, under messages at its peer port."""
        async with self.beside_crowd(self.sidecar, self.sidecar.peer_port) as crowd:
            crowd.join_messages(peer_messages.WATCH_PATH, MESSAGES)


if __name__ == "__main__":
    unittest.main()
