"""Divides the memory and the descriptors of a process among what others can make it hold.

Load pattern: anybody who reaches a port opens connections and sends parts of requests, each within
its limits, until the process has no memory or no descriptor left for callers who behave.
"""

import dataclasses

BYTES_PER_MEGABYTE = 1_000_000
# The rest of the memory is for the interpreter, the configuration, and what is buffered for
# requests that were received whole (buffer_budget).
CONNECTION_FRACTION = 0.15
UNFINISHED_FRACTION = 0.125
MESSAGE_FRACTION = 0.0625
# What a connection holds before anything is received: its objects, and the next read.
CONNECTION_BYTES = 16_384
# The receive buffer of an accepted connection in the kernel, as set; the kernel doubles it for its
# own structures, and then takes up to one and a half times this of data that is not read.
RECEIVE_BUFFER_BYTES = 16_384
UNREAD_BYTES = 24_576
# For files, and for pipes and listening sockets.
RESERVED_DESCRIPTORS = 200
MAX_RESERVED_FRACTION = 0.25
# Of the other descriptors; the rest is for connections that the process opens itself.
INBOUND_FRACTION = 0.6
MIN_CONNECTIONS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What others can make a process hold.

    Attributes:
      connections: Accepted connections at all ports together.
      unfinished_bytes: What was received of requests that have not been received whole.
      whole_bytes: What requests hold that were received whole and have no answer yet, where nothing
        else counts it.
      message_bytes: What was received of gRPC messages that have not been received whole.
    """

    connections: int
    unfinished_bytes: int
    whole_bytes: int
    message_bytes: int

    def share_of_connections(self, fraction: float) -> int:
        """Returns the connections of a port that may have a fraction of all."""
        return max(MIN_CONNECTIONS, int(self.connections * fraction))


def make_process_limits(memory_mb: int, descriptors: int) -> ProcessLimits:
    """Returns the limits of a process.

    Args:
      memory_mb: The memory that it may use, in megabytes.
      descriptors: The descriptors that it may have open.
    """
    memory = memory_mb * BYTES_PER_MEGABYTE
    reserved = min(RESERVED_DESCRIPTORS, int(descriptors * MAX_RESERVED_FRACTION))
    by_descriptors = int((descriptors - reserved) * INBOUND_FRACTION)
    by_memory = int(memory * CONNECTION_FRACTION / (CONNECTION_BYTES + UNREAD_BYTES))
    return ProcessLimits(
        connections=min(by_descriptors, by_memory),
        unfinished_bytes=int(memory * UNFINISHED_FRACTION),
        whole_bytes=int(memory * UNFINISHED_FRACTION),
        message_bytes=int(memory * MESSAGE_FRACTION),
    )
