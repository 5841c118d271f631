"""A request that crashes endpoints, and entries that start again after it was blocked."""

import asyncio
import unittest

from tests.fake_platform import PlatformFleet, make_configuration, run_and_reset
from tests.paused_clock import PausedClockCase
from wasabidrum.platform import names

SERVICE = "tally"
# What an entry that has started again has had the time to learn from the others.
SETTLING_SECONDS = 3.0


class BlockedRequestTest(PausedClockCase):
    """Two entries, of which one starts again."""

    async def test_entry_that_starts_again_keeps_a_request_blocked(self) -> None:
        """Guards against a blocked request that crashes two more endpoints after each restart."""
        fleet = PlatformFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        await fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, SERVICE))
        for number in range(4):
            endpoint = await fleet.add_endpoint(f"e{number}", SERVICE)
            endpoint.handler = run_and_reset
        for number in range(2):
            await fleet.add_gateway(f"entry-{number}")
        await fleet.wait_until(lambda: all(g.peers.count == 2 for g in fleet.gateways), 10.0)
        for number in range(2):
            await fleet.ask(0, SERVICE, "safe", f"before-{number}", body=b"poison")
        crashes = sum(sum(endpoint.runs.values()) for endpoint in fleet.endpoints)
        gateway = await fleet.restart_gateway(1)
        await fleet.wait_until(lambda: gateway.ready and gateway.peers.count == 2, 10.0)
        await asyncio.sleep(SETTLING_SECONDS)
        for number in range(3):
            await fleet.ask(1, SERVICE, "safe", f"after-{number}", body=b"poison")
        later = sum(sum(endpoint.runs.values()) for endpoint in fleet.endpoints) - crashes
        self.assertEqual((crashes, later), (2, 0))


if __name__ == "__main__":
    unittest.main()
