"""Tests over real sockets whose clock stands still while the process works.

A test that plays callers, entries and engines in one process is late at all of them when that
process gets little of the processor: its time-outs pass although no part of the product is late.
On this clock only waiting takes time, and a test takes the same time on a busy machine as on an
idle one. All other ends of its sockets must be in the same process.
"""

import asyncio
import selectors
import unittest
from unittest import mock

import looptime

from wasabidrum.core import boot_clock

# Real time in which the kernel hands over what one end of a connection has sent to the other. The
# loop polls twice before the clock advances.
DELIVERY_SECONDS = 0.001


class PausedClockLoop(looptime.LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer once no socket has anything to read."""

    def __init__(self) -> None:
        self._kernel = selectors.DefaultSelector()
        self._poll_kernel = self._kernel.select
        super().__init__(self._kernel, start=1000.0, noop_cycles=0)
        self._select_on_clock = self._kernel.select
        self._kernel.select = self._select

    def hold_up(self, seconds: float) -> None:
        """Advances the clock as if the process had worked for some time."""
        self.setup_looptime(start=self.time() + seconds, noop_cycles=0)

    def _select(self, timeout: float | None) -> list:
        # With handles to run the timeout is zero, and the clock stands still.
        if timeout != 0:
            ready = self._poll_kernel(DELIVERY_SECONDS)
            if ready:
                return ready
        return self._select_on_clock(timeout)


class PausedClockPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes event loops with a paused clock."""

    def new_event_loop(self) -> PausedClockLoop:
        """Returns a new event loop."""
        return PausedClockLoop()


class PausedClockCase(unittest.IsolatedAsyncioTestCase):
    """A test case whose event loop's clock, and with it the boot clock, only waiting advances."""

    @classmethod
    def setUpClass(cls) -> None:
        """Runs this class's tests on event loops with a paused clock."""
        super().setUpClass()
        former = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(PausedClockPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, former)

    async def asyncSetUp(self) -> None:
        """Makes the boot clock follow the event loop's."""
        await super().asyncSetUp()
        self.loop = asyncio.get_running_loop()
        # Slow callbacks are of no interest here, and each handle's traceback doubles the work.
        self.loop.set_debug(False)
        clock = mock.patch.object(boot_clock.time, "clock_gettime", lambda clock: self.loop.time())
        clock.start()
        self.addCleanup(clock.stop)
