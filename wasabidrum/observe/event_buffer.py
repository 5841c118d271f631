"""An in-memory buffer of a daemon's latest events, for `wasabidrum explain`."""

import collections

import msgspec

MAX_BUFFER_BYTES = 2 * 1_048_576
# Memory per line besides its characters: the string's header and its slot in the deque.
LINE_OVERHEAD_BYTES = 57


class EventBuffer:
    """A buffer of event lines with a limit in bytes; evicts the oldest lines first.

    It serves queries because instances have no disks, and logs may be shipped late or not at all.
    The limit is in bytes and not in lines, so that long lines cannot exceed it.
    """

    __slots__ = ("_lines", "_bytes", "_limit")

    def __init__(self, limit: int = MAX_BUFFER_BYTES) -> None:
        self._lines: collections.deque[str] = collections.deque()
        self._bytes = 0
        self._limit = limit

    @property
    def bytes_held(self) -> int:
        """The approximate memory use of the lines."""
        return self._bytes

    def add(self, line: str) -> None:
        """Adds a line and evicts the oldest lines beyond the limit."""
        self._lines.append(line)
        self._bytes += len(line) + LINE_OVERHEAD_BYTES
        while self._bytes > self._limit:
            self._bytes -= len(self._lines.popleft()) + LINE_OVERHEAD_BYTES

    def oldest(self) -> float | None:
        """Returns the time of the oldest event in seconds since the epoch, or None."""
        return msgspec.json.decode(self._lines[0])["t"] if self._lines else None

    def find(self, request_id: str) -> list[dict[str, object]]:
        """Returns the events of a request and of its attempts, oldest first."""
        # Decoding every line would block the event loop for tens of milliseconds, so the few
        # candidates are found by a text search first.
        fragment = msgspec.json.encode(request_id).decode()[1:-1]
        events = (msgspec.json.decode(line) for line in list(self._lines) if fragment in line)
        return [
            event
            for event in events
            if belongs_to_request(str(event.get("request", "")), request_id)
        ]


def belongs_to_request(name: str, request_id: str) -> bool:
    """Returns whether a name is the request's id or the id of one of its attempts."""
    return name == request_id or name.startswith(request_id + ".")
