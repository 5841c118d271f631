"""How soon an entry that has started hears from another one."""

import asyncio
import unittest

from tests.fake_platform import PlatformFleet, kill_gateway, make_configuration
from tests.paused_clock import PausedClockCase
from wasabidrum.core.boot_clock import boot_seconds
from wasabidrum.platform import names

SECONDS = 0.7


class FirstExchangeTest(PausedClockCase):
    """Three entries, one of which is gone."""

    async def test_entry_that_starts_meets_another_one_beside_a_dead_seed(self) -> None:
        """Guards against an entry that serves for seconds without what the others know of limits
        and deaths, because the first address that it asked was that of a dead entry."""
        fleet = PlatformFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        await fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, "tally"))
        for number in range(3):
            await fleet.add_gateway(f"entry-{number}")
        await fleet.wait_until(lambda: all(g.peers.count == 3 for g in fleet.gateways), 20.0)
        await kill_gateway(fleet.gateways[0])
        fleet.gateways[1]._limits.record(("e1", 0), 1.5, boot_seconds())
        for _ in range(16):
            gateway = await fleet.restart_gateway(2)
            await asyncio.sleep(SECONDS)
            self.assertEqual(gateway._limits.count, 1)


if __name__ == "__main__":
    unittest.main()
