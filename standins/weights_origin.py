"""A stand-in for the origin of weights; the bytes of a piece follow from its version and number."""

import functools
import hashlib
import random

from tornado import web

from wasabidrum.platform import names

from .rate_limiter import RateLimiter


@functools.lru_cache(maxsize=1024)
def make_piece(version: int, number: int, size: int) -> bytes:
    """Returns the correct bytes of a piece."""
    return random.Random(f"{version}/{number}").randbytes(size)


class OriginHandler(web.RequestHandler):
    """Serves one origin; see WeightsOrigin."""

    def initialize(self, origin: "WeightsOrigin") -> None:
        """Receives the origin from the route's arguments."""
        self.origin = origin

    async def get(self) -> None:
        """Serves a list of pieces, or a piece."""
        origin = self.origin
        version = int(self.get_query_argument("version", str(origin.newest)))
        if version < origin.newest - 1:
            self.set_status(410)
            return
        if self.request.path.startswith(names.MANIFEST_PATH):
            self.write(origin.list_of(version))
            return
        number = int(self.get_query_argument("num"))
        await origin.link.reserve(origin.piece_bytes)
        self.write(make_piece(version, number, origin.piece_bytes))


class WeightsOrigin:
    """The origin of one model's weights.

    Attributes:
      newest: The newest named version; those two back are not served any more.
      link: Limits what all who fetch get together.
    """

    def __init__(self, model: str, pieces: int, piece_bytes: int, link: RateLimiter) -> None:
        self._model = model
        self._pieces = pieces
        self.piece_bytes = piece_bytes
        self.newest = 1
        self.link = link

    def list_of(self, version: int) -> dict:
        """Returns the list of a version's pieces."""
        pieces = (make_piece(version, n, self.piece_bytes) for n in range(self._pieces))
        digests = [hashlib.sha256(piece).hexdigest() for piece in pieces]
        return {
            "model": self._model,
            "version": version,
            "chunkBytes": self.piece_bytes,
            "digests": digests,
        }
