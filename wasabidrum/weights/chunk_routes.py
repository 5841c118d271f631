"""What a process that holds weights answers to others."""

from .chunk_handler import ChunkHandler
from .distributor import Distributor
from .shared_readings import PATH, ReadingsHandler, SharedReadings


def make_chunk_routes(distributor: Distributor, readings: SharedReadings) -> list[tuple]:
    """Returns the routes of chunks and of what was read from the platform."""
    return [
        (r"/internal/chunks/([0-9a-f]+)", ChunkHandler, {"distributor": distributor}),
        (PATH + r"(setting|[0-9]+)", ReadingsHandler, {"readings": readings}),
    ]
