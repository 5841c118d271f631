"""Entries, sidecars and engines as real processes; `python -m bench.real_processes` plays more."""

import asyncio
import pathlib
import tempfile
import unittest

from bench.deployed_callers import KINDS
from bench.real_processes import RealProcesses
from standins.rate_limiter import make_limiter_mbit
from tests import process_log

SEED = 1
PER_SECOND = 45.0
# So that no engine gets the new version.
TOO_SLOW_MBIT = 0.05
# From the start of a play to its naming.
LEAD_SECONDS = 1.0


class SuspendedInstanceTest(unittest.IsolatedAsyncioTestCase):
    """Instances that are suspended around a naming until its bound has passed."""

    async def play(
        self, *suspended_at: float, kinds: tuple[tuple[int, int], ...] = KINDS
    ) -> list[dict[str, object]]:
        """Names a version and suspends instances, engine and sidecar together; returns the first
        tokens that were too late.

        Args:
          suspended_at: Seconds from the naming, one for each instance.
          kinds: Tokens of prompts and answers.
        """
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(process_log.keep_folder, pathlib.Path(folder.name))
        run = RealProcesses(SEED, 2, 4, PER_SECOND, pathlib.Path(folder.name))
        run.origin.link = make_limiter_mbit(TOO_SLOW_MBIT)
        run.callers.kinds = kinds
        bound = run.bounds.version

        async def suspend(number: int, seconds: float) -> None:
            instance = run.fleet.instances[number]
            await asyncio.sleep(LEAD_SECONDS + seconds)
            await run.suspend(bound + 0.5 - seconds, instance.engine, instance.sidecar)

        async def name() -> None:
            await asyncio.sleep(LEAD_SECONDS)
            await run.name_version()

        async def name_and_suspend() -> None:
            suspending = (suspend(n, at) for n, at in enumerate(suspended_at))
            await asyncio.gather(name(), *suspending)
            await asyncio.sleep(1.0)

        figures = await run.play(name_and_suspend)
        self.assertGreater(figures["outcomes"]["200"], PER_SECOND)
        return figures["late"]

    async def test_engine_that_wakes_with_requests_in_its_socket_begins_none(self) -> None:
        """Guards against first tokens on replaced weights for requests that an engine reads when it
        wakes: its kernel hands it their bytes before the reset that recalls them."""
        late = await self.play(-0.5, 0.0, 0.3)
        self.assertEqual([each for each in late if each["received"] > 8.0], [])

    async def test_engine_that_wakes_with_requests_in_its_queue_begins_none(self) -> None:
        """Guards against first tokens on replaced weights for requests that an engine has read and
        not begun when it is suspended: the pass that it wakes in ends with tokens for all."""
        late = await self.play(3.2, 4.0, 4.8)
        self.assertEqual([each for each in late if each["received"] <= 8.0], [])

    async def test_engine_that_wakes_with_requests_that_end_by_the_bound_begins_none(self) -> None:
        """Guards against the same where answers are short enough to be complete by the bound, so
        that the engine can be told to stop there."""
        late = await self.play(2.6, 3.2, 4.0, kinds=KINDS[:3])
        self.assertEqual([each for each in late if each["received"] <= 8.0], [])


if __name__ == "__main__":
    unittest.main()
