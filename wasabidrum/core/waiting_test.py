"""Tests of waiting with a limit."""

import asyncio
import unittest

from . import waiting


class WaitForTest(unittest.IsolatedAsyncioTestCase):
    """Cancellations that come as the wait ends."""

    async def test_a_cancellation_counts_in_the_turn_in_which_the_wait_ends_well(self) -> None:
        """A task waits for an answer, and is cancelled as the answer comes. Were the
        cancellation dropped, it would go on for a caller that has left."""
        await self._cancel_as_it_ends(lambda future: future.set_result("answer"))

    async def test_a_cancellation_counts_in_the_turn_in_which_the_wait_fails(self) -> None:
        """The same where the wait fails: the task would try again elsewhere, for nobody."""
        await self._cancel_as_it_ends(lambda future: future.set_exception(OSError()))

    async def test_without_one_the_result_the_failure_and_the_limit_pass(self) -> None:
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        loop.call_soon(future.set_result, "answer")
        self.assertEqual(await waiting.wait_for(future, 1.0), "answer")
        future = loop.create_future()
        loop.call_soon(future.set_exception, OSError())
        with self.assertRaises(OSError):
            await waiting.wait_for(future, 1.0)
        with self.assertRaises(TimeoutError):
            await waiting.wait_for(loop.create_future(), 0.01)

    async def _cancel_as_it_ends(self, end) -> None:
        future = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(waiting.wait_for(future, 1.0))
        await asyncio.sleep(0)
        end(future)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


if __name__ == "__main__":
    unittest.main()
