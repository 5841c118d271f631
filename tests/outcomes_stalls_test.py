"""Tests of streams that do not end by themselves: stalled links and disconnected callers."""

import asyncio
import json
import unittest

from bench.fleet_files import CALLER_KEY
from bench.outcomes_fleet import OutcomesFleet

ENGINES = ("worker-1", "worker-2")


class StallTest(unittest.IsolatedAsyncioTestCase):
    """Stalls are detected, and slots of disconnected callers are freed."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(OutcomesFleet())
        await self.fleet.start_all([], list(ENGINES), entries=1)

    async def test_stalled_link(self) -> None:
        """The link stalls in the middle of a stream, without closing connections.

        Without stall detection the caller would wait until its deadline.
        """
        caller = self.fleet.caller()
        work = asyncio.ensure_future(caller.generate("stalled", 100))
        running = await self.fleet.wait_for_running_engine(ENGINES)
        await asyncio.sleep(0.3)
        await self.fleet.inject_link_faults(running, stall=True)
        self.assertEqual(await work, "whole", caller.problems)
        await self.fleet.inject_link_faults(running)

    async def test_cancelled_caller_frees_its_slot(self) -> None:
        """A caller disconnects in the middle of a long response.

        Without cancellation the engine would go on generating while others wait for the slot.
        """
        body = {"model": "summaries", "prompt": "left", "max_tokens": 2000, "stream": True}
        content = json.dumps(body).encode()
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {CALLER_KEY}\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        port = self.fleet.entries[0].caller_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head.encode() + content)
        await reader.readuntil(b"data: ")
        running = await self.fleet.wait_for_running_engine(ENGINES)
        writer.close()
        endpoint = self.fleet.members[running].endpoint_port

        async def freed() -> bool:
            counters = await self.fleet.counters(endpoint)
            return counters["running"] == 0 and counters["cancelled"] == 1

        took = await self.fleet.wait_until(freed, 5.0, "the slot freed")
        self.assertLess(took, 5.0)


if __name__ == "__main__":
    unittest.main()
