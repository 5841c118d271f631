"""How soon an entry that has started hears from another one."""

import asyncio
import unittest
from unittest import mock

from tests.fake_platform import PlatformFleet, kill_gateway, make_configuration
from tests.paused_clock import PausedClockCase
from wasabidrum.core.boot_clock import boot_seconds
from wasabidrum.gateway.entry_peers import EntryPeers
from wasabidrum.platform import names

SECONDS = 0.7
# In which two entries that have started meet each other.
MEETING_SECONDS = 2.0
# Entries exchange with one of the others every few seconds.
CAUGHT_UP_SECONDS = 30.0


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

    async def test_entries_that_start_together_learn_of_deaths_from_a_third(self) -> None:
        """Guards against an entry that takes it for granted that there were no deaths, because the
        first entry that answers has started with it."""
        fleet = PlatformFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        await fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, "tally"))
        for number in range(3):
            await fleet.add_gateway(f"entry-{number}")
        await fleet.wait_until(lambda: all(g.peers.count == 3 for g in fleet.gateways), 20.0)
        knowing = fleet.gateways[0]
        now = asyncio.get_running_loop().time()
        knowing.poison_guard.record_told_death("request", "e1", "run", now)
        call = EntryPeers._call

        async def call_others(asking, address, *arguments):
            if address == knowing.peers.own_address:
                return None
            return await call(asking, address, *arguments)

        with mock.patch.object(EntryPeers, "_call", call_others):
            started = [await fleet.restart_gateway(number) for number in (1, 2)]
            await asyncio.sleep(MEETING_SECONDS)
        await asyncio.sleep(CAUGHT_UP_SECONDS)
        for gateway in started:
            deaths = gateway.poison_guard.recent_deaths(asyncio.get_running_loop().time())
            self.assertEqual([death[0] for death in deaths], ["request"], gateway.log.name)


if __name__ == "__main__":
    unittest.main()
