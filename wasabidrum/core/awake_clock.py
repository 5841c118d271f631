"""The clock by which the age of what a process believes is measured."""

import time


def awake_seconds() -> float:
    """Returns seconds that go on counting while the instance is suspended.

    The event loop's clock stands still while an instance is suspended. By it, a process that
    wakes after a minute would take what it read a minute ago for fresh, and let a key that was
    taken away meanwhile pass.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
