"""Tests of waiting with a timeout."""

import asyncio
import unittest

from . import waiting


class WaitForTest(unittest.IsolatedAsyncioTestCase):
    """Cancellations in the iteration of the event loop in which the wait ends."""

    async def test_a_cancellation_is_kept_as_the_awaitable_returns(self) -> None:
        """A task is cancelled in the iteration in which the answer that it waits for arrives. If
        the cancellation were dropped, it would continue for a caller that has left."""
        await self._cancel_as_it_ends(lambda future: future.set_result("answer"))

    async def test_a_cancellation_is_kept_as_the_awaitable_raises(self) -> None:
        """The same where the awaitable fails: the task would retry at another endpoint for a caller
        that has left."""
        await self._cancel_as_it_ends(lambda future: future.set_exception(OSError()))

    async def test_without_a_cancellation_result_error_and_timeout_are_passed_on(self) -> None:
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
