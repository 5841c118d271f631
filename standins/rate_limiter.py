"""A rate limit shared by all senders on a simulated link."""

import asyncio

SLICE_BYTES = 65_536


class RateLimiter:
    """Delays senders so that their combined rate stays within the limit.

    A sender reserves a slice and sleeps until that slice would be transmitted, so
    concurrent senders share the link as they would share a real one.
    """

    __slots__ = ("_bytes_per_second", "_free_at", "sent_bytes")

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0
        self.sent_bytes = 0

    async def reserve(self, size: int) -> None:
        """Waits until `size` bytes would be transmitted; a rate of zero means no limit."""
        self.sent_bytes += size
        if self._bytes_per_second <= 0:
            return
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + size / self._bytes_per_second
        await asyncio.sleep(self._free_at - now)


def make_limiter_mbit(megabits_per_second: float) -> RateLimiter:
    """Returns a limiter for a rate in megabits per second; zero means no limit."""
    return RateLimiter(megabits_per_second * 1_000_000 / 8)
