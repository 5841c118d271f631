"""Splits a byte stream of server-sent events into complete events."""

import dataclasses

EVENT_TERMINATOR = b"\n\n"
ID_FIELD = b"id:"
# An event is a few hundred bytes. The limit keeps one that never ends from exhausting memory.
MAX_EVENT_BYTES = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteEvents:
    """Complete events that became available together.

    Attributes:
      content: Their bytes, unchanged.
      last_event_id: The id of the last of them that has one; empty if none has.
      count: The number of events.
    """

    content: bytes
    last_event_id: str
    count: int


class EventStreamBuffer:
    """Holds back a partial event until the rest has arrived.

    An endpoint may fail in the middle of an event. If the partial event were passed on, it would
    precede the first event of the endpoint that resumes the stream, and the caller would parse
    the two as a single event.
    """

    __slots__ = ("_partial",)

    def __init__(self) -> None:
        self._partial = bytearray()

    @property
    def incomplete(self) -> bool:
        """Whether a partial event is held back."""
        return bool(self._partial)

    def feed(self, content: bytes) -> CompleteEvents:
        """Adds received bytes, and returns the events that are now complete.

        Raises:
          ValueError: An event is larger than MAX_EVENT_BYTES.
        """
        held = self._partial
        # What was searched before is not searched again: an event may arrive byte by byte.
        searched = max(0, len(held) - len(EVENT_TERMINATOR) + 1)
        held += content
        end = held.rfind(EVENT_TERMINATOR, searched)
        if end < 0:
            if len(held) > MAX_EVENT_BYTES:
                raise ValueError("an event exceeds the size limit")
            return CompleteEvents(b"", "", 0)
        end += len(EVENT_TERMINATOR)
        complete = bytes(held[:end])
        del held[:end]
        return CompleteEvents(complete, find_last_id(complete), complete.count(EVENT_TERMINATOR))


def find_last_id(content: bytes) -> str:
    """Returns the last event id in a sequence of complete events; empty if none has one."""
    start = content.rfind(b"\n" + ID_FIELD)
    if start < 0:
        if not content.startswith(ID_FIELD):
            return ""
        start = -1
    line = content[start + 1 :].split(b"\n", 1)[0]
    return line.removeprefix(ID_FIELD).strip().decode("ascii", errors="replace")
