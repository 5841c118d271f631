"""What others can make this process hold, by its settings and the limits of the system."""

import resource

from ..decisions.process_limits import ProcessLimits, make_process_limits


def find_process_limits(memory_mb: int, descriptors: int) -> ProcessLimits:
    """Returns the limits of this process.

    Args:
      memory_mb: The memory that it may use as its settings state it, in megabytes.
      descriptors: The descriptors that it may have open as they state it; a lower limit of the
        system holds.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = descriptors if soft == resource.RLIM_INFINITY else min(descriptors, soft)
    return make_process_limits(memory_mb, allowed)
