"""What a sidecar says of a chunk that it was asked for."""

import enum


class ChunkState(enum.StrEnum):
    """Why an answer carries the chunk or does not.

    COMING says that the sidecar waits for a peer, DRAWING that it draws from the origin
    or brings the chunk in from another region, so that nobody else need do the same.
    """

    HELD = "held"
    COMING = "coming"
    DRAWING = "drawing"
    LACKING = "lacking"
