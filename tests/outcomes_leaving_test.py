"""Tests of planned stops: requests in progress complete, new ones run elsewhere."""

import asyncio
import signal
import unittest

from bench.outcomes_fleet import OutcomesFleet
from wasabidrum.decisions.idempotency_key import parse_key


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """In all of these tests the platform's list still shows the stopping instance as live."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(OutcomesFleet())

    async def test_sidecar_of_a_service_leaves_under_charges(self) -> None:
        """An instance of a billing service is replaced under load.

        Charges in progress must complete, and no caller may get an error.
        """
        await self.fleet.start_all(["tally-1", "tally-2"], [])
        for name in ("tally-1", "tally-2"):
            port = self.fleet.members[name].endpoint_port
            await self.fleet.put_faults(port, delay_after_seconds=0.6)
        work = [asyncio.ensure_future(self.fleet.charge(f"m{i}", i % 2)) for i in range(8)]
        await asyncio.sleep(0.2)
        leaving = self.fleet.members["tally-1"].daemon
        leaving.send(signal.SIGTERM)
        for i in range(8, 24):
            work.append(asyncio.ensure_future(self.fleet.charge(f"m{i}", i % 2)))
            await asyncio.sleep(0.1)
        answers = [await task for task in work]
        others = [answer for answer in answers if answer[0] != "whole"]
        self.assertEqual(others, [])
        self.assertEqual([self.fleet.count_runs(f"m{i}") for i in range(24)], [1] * 24)
        self.assertEqual(await leaving.wait(15.0), 0)

    async def test_a_key_issued_just_before_its_instance_leaves_is_good(self) -> None:
        """Guards against a charge that is refused because the issuer of its key is stopping."""
        await self.fleet.start_all(["tally-1"], [])
        key = await self.fleet.issue_key()
        leaving = self.fleet.members["tally-1"].daemon
        leaving.send(signal.SIGTERM)
        await asyncio.sleep(0.3)
        became, told = await self.fleet.charge("kept", key=key)
        self.assertEqual((became, self.fleet.count_runs("kept")), ("whole", 1), told)
        self.assertEqual(await leaving.wait(15.0), 0)

    async def test_a_charge_whose_instance_leaves_does_not_wait_for_another(self) -> None:
        """Guards against a charge that waits for room elsewhere while its only instance leaves."""
        await self.fleet.start_all(["tally-1", "tally-2"], [])
        key = await self.fleet.issue_key()
        while parse_key(key).endpoint != "tally-1":
            key = await self.fleet.issue_key()
        busy = self.fleet.members["tally-2"].endpoint_port
        await self.fleet.put_faults(busy, delay_after_seconds=4.0)
        leaving = self.fleet.members["tally-1"].daemon
        leaving.send(signal.SIGTERM)
        await asyncio.sleep(0.3)
        waiting = [asyncio.ensure_future(self.fleet.charge(f"w{i}")) for i in range(60)]
        await asyncio.sleep(0.2)
        became, told = await self.fleet.charge("kept", key=key)
        self.assertEqual((became, self.fleet.count_runs("kept")), ("whole", 1), told)
        self.assertEqual(await leaving.wait(15.0), 0)
        await asyncio.gather(*waiting)

    async def test_engine_sidecar_leaves_under_long_streams(self) -> None:
        """An instance is drained while it runs a long stream; the list still shows it as live.

        The stream must continue elsewhere, and the instance must not wait for its end.
        """
        await self.fleet.start_all([], ["worker-1", "worker-2"], drain_seconds=60.0)
        caller = self.fleet.caller()
        long = asyncio.ensure_future(caller.generate("long", 1200))
        running = await self.fleet.wait_for_running_engine(("worker-1", "worker-2"))
        leaving = self.fleet.members[running].daemon
        leaving.send(signal.SIGTERM)
        short = [await caller.generate(f"short {i}", 3) for i in range(30)]
        self.assertEqual(short, ["whole"] * 30, caller.problems)
        self.assertEqual(await leaving.wait(15.0), 0)
        self.assertFalse(long.done())
        self.assertEqual(await long, "whole", caller.problems)

    async def test_entry_leaves(self) -> None:
        """An entry is stopped while a stream and a charge are in progress.

        Both must complete. A new request must get "not run" at once; a resent charge must not,
        because the request that this entry has already sent may have run.
        """
        await self.fleet.start_all(["tally-1"], ["worker-1"])
        port = self.fleet.members["tally-1"].endpoint_port
        await self.fleet.put_faults(port, delay_after_seconds=1.0)
        caller = self.fleet.caller()
        key = await self.fleet.issue_key()
        stream = asyncio.ensure_future(caller.generate("speech", 200))
        charge = asyncio.ensure_future(self.fleet.charge("kept", key=key))
        await asyncio.sleep(0.4)
        leaving = self.fleet.entries[0].daemon
        leaving.send(signal.SIGTERM)
        await asyncio.sleep(0.2)
        refused, told = await self.fleet.charge("new")
        self.assertEqual((refused, told["code"]), ("not_run", "entry_leaving"))
        resent, told = await self.fleet.charge("kept", key=key)
        self.assertEqual((resent, told["code"]), ("unknown", "entry_leaving"))
        self.assertEqual((await charge)[0], "whole")
        self.assertEqual(await stream, "whole", caller.problems)
        self.assertEqual(await leaving.wait(15.0), 0)
        again, kept = await self.fleet.charge("kept", entry=1, key=key)
        self.assertEqual(
            (again, kept["replayed"], self.fleet.count_runs("kept")), ("whole", True, 1)
        )


if __name__ == "__main__":
    unittest.main()
