"""Soak test of request outcomes with fixed seeds; `python -m bench.outcomes` runs a longer one."""

import asyncio
import contextlib
import unittest

from bench.outcomes_caller import OutcomesCaller
from bench.outcomes_chaos import OutcomesChaos
from bench.outcomes_fleet import OutcomesFleet

CALLS = 200
PER_SECOND = 50.0


class OutcomesSoakTest(unittest.IsolatedAsyncioTestCase):
    """No double run, no false "not run", no wrong or partial response under combined failures."""

    async def soak(self, seed: int) -> None:
        """Runs the soak test with one seed."""
        async with OutcomesFleet() as fleet:
            await fleet.start_all(["tally-1", "tally-2"], ["worker-1", "worker-2"])
            caller = OutcomesCaller(fleet, seed)
            chaos = OutcomesChaos(fleet, caller, seed)
            for name in ("tally-1", "tally-2"):
                await chaos.slow_down(name)
            playing = asyncio.ensure_future(chaos.play(0.05, 0.2))
            await caller.run_open_loop(PER_SECOND, CALLS)
            playing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await playing
            await asyncio.sleep(1.0)
            figures = caller.judge()
            context = (seed, chaos.played, figures)
            for name in ("double_runs", "false_not_run", "lost_runs", "partial"):
                self.assertEqual(figures[name], [], context)
            self.assertEqual(figures["wrong"], 0, context)
            self.assertGreater(figures["last_told"].get("whole", 0), CALLS * 0.65 / 4, context)

    async def test_first_seed(self) -> None:
        """Links, instances and entries fail together; no charge may run twice."""
        await self.soak(1)

    async def test_second_seed(self) -> None:
        """The same faults in another order."""
        await self.soak(2)

    async def test_third_seed(self) -> None:
        """The same faults in a third order."""
        await self.soak(3)


if __name__ == "__main__":
    unittest.main()
