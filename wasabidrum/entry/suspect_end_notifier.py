"""Lets requests that must run without another suspect wait until a suspect has ended."""

import asyncio
import contextlib

# New or recovered endpoints send no notification; a waiting request finds them after this time.
MAX_WAIT_SECONDS = 0.5


class SuspectEndNotifier:
    """Wakes all suspects that wait at one entry whenever another suspect ends."""

    __slots__ = ("_ended",)

    def __init__(self) -> None:
        self._ended = asyncio.Event()

    def notify(self) -> None:
        """Wakes all waiting requests, because a suspect has ended at some endpoint."""
        self._ended.set()
        self._ended = asyncio.Event()

    async def wait(self, deadline: float) -> bool:
        """Waits until placing is worth another try; returns False if the deadline has passed."""
        remaining = deadline - asyncio.get_running_loop().time()
        if remaining <= 0.0:
            return False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(remaining, MAX_WAIT_SECONDS)):
                await self._ended.wait()
        return True
