"""The latest events of one daemon, kept in memory for `wasabidrum explain`."""

import collections

import msgspec

LARGEST_MEMORY_BYTES = 2 * 1_048_576
# What a string of one line costs besides its characters: its header and its place here.
LINE_OVERHEAD_BYTES = 57


class EventMemory:
    """A bounded memory of event lines; the oldest go first.

    Instances have no disks, and logs may be shipped late or not at all. Bounded by bytes
    and not by lines, it takes the same share of a daemon's memory whatever is logged.
    """

    __slots__ = ("_lines", "_bytes", "_limit")

    def __init__(self, limit: int = LARGEST_MEMORY_BYTES) -> None:
        self._lines: collections.deque[str] = collections.deque()
        self._bytes = 0
        self._limit = limit

    @property
    def bytes_held(self) -> int:
        """The memory that the lines take, about."""
        return self._bytes

    def add(self, line: str) -> None:
        """Takes one line, and drops the oldest where there is no room."""
        self._lines.append(line)
        self._bytes += len(line) + LINE_OVERHEAD_BYTES
        while self._bytes > self._limit:
            self._bytes -= len(self._lines.popleft()) + LINE_OVERHEAD_BYTES

    def oldest(self) -> float | None:
        """Returns when the oldest event was, in seconds since the epoch, or None."""
        return msgspec.json.decode(self._lines[0])["t"] if self._lines else None

    def find(self, request_id: str) -> list[dict[str, object]]:
        """Returns the events of a request and of its attempts, oldest first."""
        # Decoding every line would hold the event loop for tens of milliseconds, so the
        # few lines that can match are found as text first.
        mark = msgspec.json.encode(request_id).decode()[1:-1]
        events = (msgspec.json.decode(line) for line in list(self._lines) if mark in line)
        return [event for event in events if is_of(str(event.get("request", "")), request_id)]


def is_of(name: str, request_id: str) -> bool:
    """Returns whether a name is the request's id or the id of one of its attempts."""
    return name == request_id or name.startswith(request_id + ".")
