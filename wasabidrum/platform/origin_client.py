"""The platform's origin of weights: lists of pieces, and pieces."""

import msgspec
from tornado import httpclient

from ..core.engine_report import PieceList
from ..core.errors import CodedError
from ..wire import http_client
from . import names

# A list has some kilobytes; the rest is for a link that weights fill meanwhile.
LIST_SECONDS = 2.0
# A piece passes the origin's link in some thirty milliseconds; shared with all who draw at once
# it takes a second or two.
PIECE_SECONDS = 4.0


class WireManifest(msgspec.Struct, frozen=True):
    """The list of a version's pieces."""

    model: str
    version: int
    chunkBytes: int  # noqa: N815
    digests: tuple[str, ...]


class OriginClient:
    """Draws content by its digest; implements BlobSource for the pieces of known lists."""

    __slots__ = ("_client", "_url", "_places")

    def __init__(self, client: httpclient.AsyncHTTPClient) -> None:
        self._client = client
        self._url = ""
        self._places: dict[str, tuple[str, int, int]] = {}

    def set_address(self, host: str, port: int) -> None:
        """Takes where the origin is."""
        self._url = f"http://{host}:{port}"

    async def read_list(self, model: str, version: int) -> PieceList:
        """Returns the list of a version's pieces; with version zero, of the newest.

        Raises:
          CodedError: The origin did not give it.
        """
        query = f"?version={version}" if version else ""
        body = await self._get(f"{names.MANIFEST_PATH}{model}{query}", LIST_SECONDS)
        try:
            wire = msgspec.json.decode(body, type=WireManifest)
        except msgspec.MsgspecError as error:
            raise CodedError("source_unreadable", str(error), 503) from error
        pieces = PieceList(model, wire.version, wire.chunkBytes, wire.digests)
        self.take_list(pieces)
        return pieces

    def take_list(self, pieces: PieceList) -> None:
        """Takes a list, so that its pieces can be drawn by their digests."""
        for number, digest in enumerate(pieces.digests):
            self._places[digest] = (pieces.model, pieces.version, number)

    async def fetch(self, digest: str) -> bytes:
        """See BlobSource."""
        place = self._places.get(digest)
        if place is None:
            raise CodedError("source_missing", f"no list names {digest}", 503)
        model, version, number = place
        path = f"{names.PIECE_PATH}{model}?num={number}&version={version}"
        return await self._get(path, PIECE_SECONDS)

    async def _get(self, path: str, seconds: float) -> bytes:
        if not self._url:
            raise CodedError("source_missing", "no origin is published yet", 503)
        request = httpclient.HTTPRequest(self._url + path, request_timeout=seconds)
        try:
            response = await http_client.fetch(self._client, request, "origin")
        except CodedError as error:
            raise CodedError("source_unreachable", str(error), 503) from error
        if response.code == 410:
            raise CodedError("source_missing", "the version is too old", 503)
        if response.code != 200:
            raise CodedError("source_unreachable", f"status {response.code}", 503)
        return response.body


def make_origin_client(client: httpclient.AsyncHTTPClient) -> OriginClient:
    """Returns a client that knows no address yet."""
    return OriginClient(client)
