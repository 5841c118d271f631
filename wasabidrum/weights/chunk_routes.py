"""HTTP routes of a process that serves weights to its peers."""

from .chunk_handler import ChunkHandler
from .distributor import Distributor
from .shared_readings import PATH, ReadingsHandler, SharedReadings


def make_chunk_routes(distributor: Distributor, readings: SharedReadings) -> list[tuple]:
    """Returns the routes for chunks and for shared readings."""
    return [
        (r"/internal/chunks/([0-9a-f]+)", ChunkHandler, {"distributor": distributor}),
        (PATH + r"(setting|members|[0-9]+)", ReadingsHandler, {"readings": readings}),
    ]
