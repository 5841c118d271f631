"""Decides how a server that ends treats each connection that it has accepted.

Load pattern: a server that ends holds kept connections without a request, new ones whose first
request is on its way, and some with a part of a request. Each whole request must be answered, and
no caller who sends nothing may hold up the end.
"""

import dataclasses
import enum

# For how long a new connection may wait for its first request.
FIRST_REQUEST_SECONDS = 0.2
# A connection on which a part of a request was answered is read until its caller closes it, sends
# nothing for LINGER_SECONDS, or MAX_LINGER_SECONDS have passed. Closing it with unread input would
# reset it, and the reset discards an answer that the caller has not read.
LINGER_SECONDS = 0.2
MAX_LINGER_SECONDS = 2.0


class Step(enum.Enum):
    """What to do with a connection: LINGER closes it for writing only, at first."""

    KEEP = enum.auto()
    REFUSE = enum.auto()
    LINGER = enum.auto()
    CLOSE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionState:
    """The state of a connection whose server ends.

    Attributes:
      reading: The server waits for a request, or for the rest of one, and has read all that came.
      partial: A part of a request was read.
      answered: An answer to that part was begun.
      served: An earlier request was read from this connection.
      age: Seconds since it was accepted.
    """

    reading: bool
    partial: bool
    answered: bool
    served: bool
    age: float


def next_step(state: ConnectionState) -> Step:
    """Returns what to do with a connection now."""
    if not state.reading:
        return Step.KEEP
    if state.partial:
        return Step.LINGER if state.answered else Step.REFUSE
    # Nothing is read from here on: a request that crosses the close is not one that was received.
    return Step.CLOSE if state.served or state.age >= FIRST_REQUEST_SECONDS else Step.KEEP


def has_lingered(answered_at: float, input_at: float, now: float) -> bool:
    """Returns whether a connection that lingers need not be read any longer.

    Args:
      answered_at: When it was found to be answered.
      input_at: When its caller last sent something.
    """
    quiet_since = max(answered_at, input_at)
    return now - quiet_since >= LINGER_SECONDS or has_lingered_long(answered_at, now)


def has_lingered_long(answered_at: float, now: float) -> bool:
    """Returns whether a connection that lingers is closed whatever its caller does."""
    return now - answered_at >= MAX_LINGER_SECONDS
