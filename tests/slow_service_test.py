"""A plain service whose endpoints are slow for a while."""

import asyncio
import unittest

from tests.fake_platform import answer_ok
from tests.gateway_test import GatewayCase

SLOW_SECONDS = 1.2
REQUESTS = 30
QUIET_SECONDS = 10.0


class SlowServiceTest(GatewayCase):
    """Both endpoints take long for each request, and then as long as usual."""

    async def test_fast_again_after_a_slow_while(self) -> None:
        """Guards against a service that is refused for ever: only answers moved the estimate of how
        long its requests take, and who is refused brings none."""

        async def answer_slowly(endpoint, request, writer) -> None:
            await asyncio.sleep(SLOW_SECONDS)
            await answer_ok(endpoint, request, writer)

        self.set_both(answer_slowly)
        asking = (self.fleet.ask(0, "tally", "safe", f"slow-{n}") for n in range(REQUESTS))
        statuses = [reply.status for reply in await asyncio.gather(*asking)]
        self.assertIn(200, statuses)
        for number in range(REQUESTS):
            await self.fleet.ask(0, "tally", "safe", f"slower-{number}")
        self.set_both(answer_ok)
        await asyncio.sleep(QUIET_SECONDS)
        reply = await self.fleet.ask(0, "tally", "safe", "r1")
        self.assertEqual(reply.status, 200, reply.body)


if __name__ == "__main__":
    unittest.main()
