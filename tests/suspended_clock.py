"""Imitates an instance that was suspended: the event loop's clock has not counted that time."""

import collections.abc
import contextlib
from unittest import mock

from wasabidrum.core import boot_clock


@contextlib.contextmanager
def suspended_for(seconds: float) -> collections.abc.Iterator[None]:
    """Has the clock that counts while suspended be ahead, from here on, by some seconds."""
    real = boot_clock.time.clock_gettime
    with mock.patch.object(boot_clock.time, "clock_gettime", lambda clock: real(clock) + seconds):
        yield
