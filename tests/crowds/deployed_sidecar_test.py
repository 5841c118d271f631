"""Crowds at the ports of a sidecar on the users' platform."""

import unittest

from tests.crowds.deployed_case import CHUNKS, METRICS, PEERS, DeployedCase
from wasabidrum.peers import peer_messages

IDLE_CONNECTIONS = 400
MESSAGES = 24


class DeployedSidecarCrowdTest(DeployedCase):
    """Many clients at one port."""

    async def test_idle_connections(self) -> None:
        """Guards against descriptors that run out, at each port."""
        for offset in (PEERS, CHUNKS, METRICS):
            with self.subTest(offset=offset):
                async with self.beside_crowd(self.sidecar, offset) as crowd:
                    crowd.join(lambda number: iter(()), IDLE_CONNECTIONS)

    async def test_messages_short_of_their_end(self) -> None:
        """Guards against a sidecar that ends, out of memory, under messages at its peer port."""
        async with self.beside_crowd(self.sidecar, PEERS) as crowd:
            crowd.join_messages(peer_messages.WATCH_PATH, MESSAGES)


if __name__ == "__main__":
    unittest.main()
