"""Cuts a stream of server-sent events into whole events."""

import dataclasses

END = b"\n\n"
ID_FIELD = b"id:"
# An event is some hundred bytes; one that never ends must not fill the memory.
LONGEST_EVENT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class WholeEvents:
    """Events that came together.

    Attributes:
      content: Their bytes, as they came.
      last_id: The id of the last of them that has one, or empty.
      count: How many they are.
    """

    content: bytes
    last_id: str
    count: int


class EventStream:
    """Holds back the part of an event until the rest is there.

    An endpoint may stop in the middle of an event. Passed on as it came, the part would stand
    before the first event of the endpoint that goes on, and the caller would read one event
    made of two.
    """

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def incomplete(self) -> bool:
        """Whether part of an event has come and its end has not."""
        return bool(self._rest)

    def take(self, content: bytes) -> WholeEvents:
        """Takes bytes as they came, and returns the events that are whole now.

        Raises:
          ValueError: An event is too long.
        """
        held = self._rest + content
        end = held.rfind(END)
        if end < 0:
            self._rest = held
            if len(held) > LONGEST_EVENT_BYTES:
                raise ValueError("an event is too long")
            return WholeEvents(b"", "", 0)
        end += len(END)
        whole, self._rest = held[:end], held[end:]
        return WholeEvents(whole, last_id(whole), whole.count(END))


def last_id(content: bytes) -> str:
    """Returns the last event's id in some whole events, or empty where none has one."""
    start = content.rfind(b"\n" + ID_FIELD)
    if start < 0:
        if not content.startswith(ID_FIELD):
            return ""
        start = -1
    line = content[start + 1 :].split(b"\n", 1)[0]
    return line.removeprefix(ID_FIELD).strip().decode("ascii", errors="replace")
