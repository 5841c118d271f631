"""Limits of endpoints that come, change and go while entries start, die and lose each other."""

import random
import unittest
from unittest import mock

from tests.stated_limits_test import StatedLimitsCase
from wasabidrum.gateway.entry_peers import EntryPeers

STEPS = 14


class LimitSoakTest(StatedLimitsCase):
    """Limits that come, change and go while entries start, die and lose each other."""

    entries = 5
    endpoints = 3
    per_second = 15.0

    async def soak(self, seed: int) -> None:
        """Plays one random schedule."""
        rng = random.Random(seed)
        real_call = EntryPeers._call
        cut: set[EntryPeers] = set()

        async def call(peers: EntryPeers, *args: object, **named: object) -> object:
            return None if peers in cut else await real_call(peers, *args, **named)

        with mock.patch.object(EntryPeers, "_call", call):
            for _ in range(STEPS):
                number = rng.randrange(self.endpoints)
                action = rng.choice(("limit", "limit", "withdraw", "restart", "cut", "heal"))
                if action == "limit":
                    self.state_limit(number, rng.choice((0.3, 1.0, 1.5, 2.5, 6.0)))
                elif action == "withdraw":
                    self.state_limit(number, None)
                elif action == "restart":
                    await self.fleet.restart_gateway(rng.randrange(self.entries))
                elif action == "cut":
                    cut.add(self.fleet.gateways[rng.randrange(self.entries)].peers)
                else:
                    cut.clear()
                await self.load(rng.uniform(0.2, 4.0))
        self.assert_limits_kept()

    async def test_first_seed(self) -> None:
        """Guards against orders of events that no other test plays."""
        await self.soak(1)

    async def test_second_seed(self) -> None:
        """Guards against the same in another order."""
        await self.soak(2)

    async def test_third_seed(self) -> None:
        """Guards against the same in a third order."""
        await self.soak(3)


if __name__ == "__main__":
    unittest.main()
