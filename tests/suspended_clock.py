"""Simulates an instance that was suspended: the event loop's clock did not advance meanwhile."""

import collections.abc
import contextlib
from unittest import mock

from wasabidrum.core import boot_clock


@contextlib.contextmanager
def suspended_for(seconds: float) -> collections.abc.Iterator[None]:
    """Sets the clock that includes suspended time ahead by some seconds, for the duration of the
    context."""
    real = boot_clock.time.clock_gettime
    with mock.patch.object(boot_clock.time, "clock_gettime", lambda clock: real(clock) + seconds):
        yield
