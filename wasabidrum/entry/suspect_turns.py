"""Has requests that must run alone wait until another of them has ended."""

import asyncio
import contextlib

# An endpoint that joins or comes back wakes nobody; this is how soon a request finds it.
LONGEST_WAIT_SECONDS = 0.5


class SuspectTurns:
    """Wakes the suspects that wait at one entry, in the order in which they came."""

    __slots__ = ("_ended",)

    def __init__(self) -> None:
        self._ended = asyncio.Event()

    def note_end(self) -> None:
        """Takes that a suspect has ended at some endpoint; all who wait look for a place."""
        self._ended.set()
        self._ended = asyncio.Event()

    async def wait(self, deadline: float) -> bool:
        """Waits until it is worth asking for a place again; returns False past the deadline."""
        remaining = deadline - asyncio.get_running_loop().time()
        if remaining <= 0.0:
            return False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(remaining, LONGEST_WAIT_SECONDS)):
                await self._ended.wait()
        return True
