"""The clock that measures the age of a process's knowledge, suspension included."""

import time


def boot_seconds() -> float:
    """Returns a monotonic time in seconds that includes time spent suspended.

    The event loop's clock stops while an instance is suspended. Measured by it, data read before
    a suspension of a minute would count as fresh afterwards, and a key that was revoked meanwhile
    would be accepted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
