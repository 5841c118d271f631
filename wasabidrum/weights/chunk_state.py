"""The states of a chunk that a process reports to its peers."""

import enum


class ChunkState(enum.StrEnum):
    """The state of a chunk in a process.

    COMING means that the process expects the chunk, or may turn out to need it. DRAWING means that
    it is fetching the chunk from the origin, so that no other process needs to do the same.
    """

    HELD = "held"
    COMING = "coming"
    DRAWING = "drawing"
    LACKING = "lacking"
