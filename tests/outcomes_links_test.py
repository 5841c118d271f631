"""Tests of charges over faulty links and with differing lists: no double run, no wrong response."""

import asyncio
import unittest

from bench.outcomes_fleet import OutcomesFleet


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Executions are counted at the endpoint, in a journal that survives its crash."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(OutcomesFleet())
        await self.fleet.start_all(["tally-1", "tally-2"], [])

    async def spoil_all(self, **faults: object) -> None:
        """Injects the same faults into the links to both sidecars."""
        for name in ("tally-1", "tally-2"):
            await self.fleet.inject_link_faults(name, **faults)

    async def test_lost_answer_is_asked_for_again(self) -> None:
        """All connections to the sidecars are refused for a moment while charges are in progress.

        Without asking again, the entry would report "unknown" although the response is
        available; a caller that then sends a new charge pays twice.
        """
        for name in ("tally-1", "tally-2"):
            port = self.fleet.members[name].endpoint_port
            await self.fleet.put_faults(port, delay_after_seconds=0.3)
        work = [asyncio.ensure_future(self.fleet.charge(f"lost-{i}")) for i in range(4)]
        await asyncio.sleep(0.15)
        await self.spoil_all(refuse=True)
        await asyncio.sleep(0.2)
        await self.spoil_all()
        became = [(await task)[0] for task in work]
        self.assertEqual([self.fleet.count_runs(f"lost-{i}") for i in range(4)], [1] * 4)
        self.assertEqual(became, ["whole"] * 4)

    async def test_duplicate_on_the_network_runs_once(self) -> None:
        """The network delivers each request to the sidecar a second time, after the first.

        Without deduplication every charge would run twice, although the caller sent it once.
        """
        await self.spoil_all(repeat_requests=True, repeat_delay_seconds=0.3)
        became = [(await self.fleet.charge(f"twice-{i}"))[0] for i in range(3)]
        await asyncio.sleep(1.0)
        self.assertEqual(became, ["whole"] * 3)
        self.assertEqual([self.fleet.count_runs(f"twice-{i}") for i in range(3)], [1] * 3)

    async def test_two_lists_and_a_partition(self) -> None:
        """An entry's list lacks the owner of a key, or a partition separates it from the owner.

        An entry that sent the charge to another endpoint would cause a second run.
        """
        key = await self.fleet.issue_key()
        became, told = await self.fleet.charge("split", key=key)
        self.assertEqual(became, "whole")
        await self.fleet.inject_link_faults(told["by"], "entry-2", refuse=True)
        apart, _ = await self.fleet.charge("split", entry=1, key=key)
        await self.fleet.inject_link_faults(told["by"], "entry-2")
        await self.fleet.publish_list_for("entry-2", left_out=(told["by"],))
        await asyncio.sleep(1.5)
        unlisted, _ = await self.fleet.charge("split", entry=1, key=key)
        self.assertEqual(
            (apart, unlisted, self.fleet.count_runs("split")), ("unknown", "unknown", 1)
        )
        await self.fleet.publish_list_for("entry-2")
        await asyncio.sleep(1.5)
        healed, kept = await self.fleet.charge("split", entry=1, key=key)
        self.assertEqual((healed, kept["replayed"]), ("whole", True))
        self.assertEqual(self.fleet.count_runs("split"), 1)

    async def test_corrupted_links_pass_no_wrong_answer(self) -> None:
        """The links corrupt one in 7, 40, 333 or 900 bytes of the sidecars' responses.

        Without verification the caller could receive a wrong response or a wrong outcome.
        """
        for every in (7, 40, 333, 900):
            await self.spoil_all(corrupt_every_bytes=every)
            mark = f"flip-{every}"
            became, told = await self.fleet.charge(mark, milliseconds=2500)
            runs = self.fleet.count_runs(mark)
            true = [("whole", 1), ("not_run", 0), ("unknown", 0), ("unknown", 1)]
            self.assertIn((became, runs), true, told)


if __name__ == "__main__":
    unittest.main()
