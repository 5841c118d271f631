"""Tests of tasks that are to run for as long as the daemon does."""

import asyncio

from tests.paused_clock import PausedClockCase

from .background_tasks import MAX_PAUSE_SECONDS, BackgroundTasks


class KeepRunningTest(PausedClockCase):
    """A task whose work fails."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.failures: list[str] = []
        self.begun = 0
        self.tasks = BackgroundTasks(lambda name, error: self.failures.append(f"{name} {error}"))
        self.addAsyncCleanup(self.tasks.cancel_all)

    async def work(self) -> None:
        """Fails on the first two beginnings."""
        self.begun += 1
        if self.begun <= 2:
            raise RecursionError("too deep")
        await asyncio.sleep(3600)

    async def test_work_that_fails_begins_anew(self) -> None:
        """Guards against a daemon that runs on without one of its tasks."""
        task = self.tasks.keep_running("store", self.work)
        await asyncio.sleep(MAX_PAUSE_SECONDS)
        self.assertEqual((self.begun, self.failures), (3, ["store too deep"] * 2))
        self.assertFalse(task.done())

    async def test_work_that_fails_each_time_is_not_begun_all_the_time(self) -> None:
        """Guards against a task that takes the processor by failing over and over."""
        self.begun = -1000
        self.tasks.keep_running("store", self.work)
        await asyncio.sleep(60.0 * MAX_PAUSE_SECONDS)
        self.assertLess(self.begun + 1000, 70)

    async def test_cancelled_work_is_not_begun_again(self) -> None:
        """Guards against daemons that never stop."""
        task = self.tasks.keep_running("store", self.work)
        await asyncio.sleep(MAX_PAUSE_SECONDS)
        await self.tasks.cancel_all()
        self.assertTrue(task.cancelled())
        self.assertEqual(self.begun, 3)
