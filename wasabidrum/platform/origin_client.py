"""HTTP client of the platform's origin of weights: lists of pieces, and pieces."""

import msgspec
from tornado import httpclient

from ..core.decoding import decode_json
from ..core.digest import Digest
from ..core.engine_report import PieceList
from ..core.errors import CodedError
from ..wire import http_client
from . import names

# A list has a few kilobytes; most of the time-out is for a link that is busy with weights.
LIST_TIMEOUT_SECONDS = 2.0
MAX_LIST_BYTES = 4 * 1_048_576
# A piece takes about 30 ms over the origin's link, and one or two seconds while many instances
# download at once.
PIECE_TIMEOUT_SECONDS = 4.0


class WireManifest(msgspec.Struct, frozen=True):
    """The list of the pieces of a version."""

    model: str
    version: int
    chunkBytes: int  # noqa: N815
    digests: tuple[Digest, ...]


class OriginClient:
    """Downloads pieces by their digests; implements BlobSource for the pieces of known lists."""

    __slots__ = ("_client", "_url", "_pieces")

    def __init__(self, client: httpclient.AsyncHTTPClient) -> None:
        self._client = client
        self._url = ""
        self._pieces: dict[str, tuple[str, int, int, int]] = {}

    def set_address(self, host: str, port: int) -> None:
        """Sets the address of the origin."""
        self._url = f"http://{host}:{port}"

    async def read_list(self, model: str, version: int) -> PieceList:
        """Returns the list of a version's pieces; version zero means the newest.

        Its pieces can be fetched once the list is added with add_list.

        Raises:
          CodedError: The origin did not answer with a list of that version.
        """
        query = f"?version={version}" if version else ""
        body = await self._get(
            f"{names.MANIFEST_PATH}{model}{query}", LIST_TIMEOUT_SECONDS, MAX_LIST_BYTES
        )
        wire = decode_json(body, WireManifest, "source_unreadable", 503)
        if wire.model != model or (version and wire.version != version):
            raise CodedError("source_unreadable", "a list of another version", 503)
        return PieceList(model, wire.version, wire.chunkBytes, wire.digests)

    def add_list(self, pieces: PieceList) -> None:
        """Registers the pieces of a list, so that fetch finds them by their digests."""
        for number, digest in enumerate(pieces.digests):
            self._pieces[digest] = (pieces.model, pieces.version, number, pieces.piece_bytes)

    async def fetch(self, digest: str) -> bytes:
        """See BlobSource."""
        piece = self._pieces.get(digest)
        if piece is None:
            raise CodedError("source_missing", f"no known list contains {digest}", 503)
        model, version, number, size = piece
        path = f"{names.PIECE_PATH}{model}?num={number}&version={version}"
        max_bytes = min(size, http_client.MAX_BODY_BYTES) if size > 0 else None
        return await self._get(path, PIECE_TIMEOUT_SECONDS, max_bytes)

    async def _get(self, path: str, seconds: float, max_bytes: int | None) -> bytes:
        if not self._url:
            raise CodedError("source_missing", "no address of an origin is known yet", 503)
        request = httpclient.HTTPRequest(self._url + path, request_timeout=seconds)
        try:
            response = await http_client.fetch(self._client, request, "origin", max_bytes)
        except CodedError as error:
            raise CodedError("source_unreachable", str(error), 503) from error
        if response.code == 410:
            raise CodedError("source_missing", "the origin no longer has this version", 503)
        if response.code != 200:
            raise CodedError(
                "source_unreachable", f"the origin answered status {response.code}", 503
            )
        return response.body


def make_origin_client(client: httpclient.AsyncHTTPClient) -> OriginClient:
    """Returns a client that has no address yet; see set_address."""
    return OriginClient(client)
