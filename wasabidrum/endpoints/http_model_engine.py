"""Client of a model engine over HTTP, which streams newline-delimited JSON events."""

import collections.abc

import msgspec
from tornado import httpclient

from ..core.decoding import decode_json
from ..core.errors import CodedError
from ..core.load import Load
from ..core.manifest import Manifest
from ..core.outcome import Outcome
from ..wire import headers, http_client
from ..wire.retry_after import read_rest
from .generate_request import GenerateRequest

UNREADABLE_CODE = "engine_unreadable"
ORDER_TIMEOUT_SECONDS = 30.0
CHUNK_TIMEOUT_SECONDS = 60.0
MAX_GENERATION_SECONDS = 900.0


class EngineVersions(msgspec.Struct, frozen=True):
    """The engine's answer to a query of its versions; each may be empty."""

    active: str
    staged: str


class MissingChunks(msgspec.Struct, frozen=True):
    """The engine's answer to an order to stage a version: the chunks that it does not have."""

    missing: list[int]


class HttpModelEngine:
    """Implements ModelEngine over HTTP."""

    __slots__ = ("_client", "_url")

    def __init__(self, client: httpclient.AsyncHTTPClient, url: str) -> None:
        self._client = client
        self._url = url

    async def versions(self) -> tuple[str, str]:
        """See ModelEngine."""
        answer = await self._get("/v1/versions", EngineVersions)
        return answer.active, answer.staged

    async def stage(self, version: str, manifest: Manifest, fence: int) -> list[int]:
        """See ModelEngine."""
        order = {"version": version, "manifest": manifest, "fence": fence}
        body = await self._post_order("/v1/orders/stage", order)
        return decode_json(body, MissingChunks, UNREADABLE_CODE, 502, Outcome.FAILED).missing

    async def put_chunk(self, version: str, index: int, content: bytes) -> None:
        """See ModelEngine."""
        request = httpclient.HTTPRequest(
            f"{self._url}/v1/stage/{version}/{index}",
            method="PUT",
            body=content,
            request_timeout=CHUNK_TIMEOUT_SECONDS,
        )
        self._check(await http_client.fetch(self._client, request, "engine"))

    async def activate(self, version: str, fence: int) -> None:
        """See ModelEngine."""
        await self._post_order("/v1/orders/activate", {"version": version, "fence": fence})

    async def load_adapter(self, name: str, root: str, content: bytes, fence: int) -> None:
        """See ModelEngine."""
        request = httpclient.HTTPRequest(
            f"{self._url}/v1/adapters/{name}?digest={root}&fence={fence}",
            method="PUT",
            body=content,
            request_timeout=CHUNK_TIMEOUT_SECONDS,
        )
        self._check(await http_client.fetch(self._client, request, "engine"))

    async def set_role(self, role: str, fence: int) -> None:
        """See ModelEngine."""
        await self._post_order("/v1/orders/role", {"role": role, "fence": fence})

    async def generate(self, request: GenerateRequest) -> collections.abc.AsyncIterator[bytes]:
        """See ModelEngine."""
        outgoing = httpclient.HTTPRequest(
            self._url + "/v1/generate",
            method="POST",
            body=msgspec.json.encode(request),
            request_timeout=MAX_GENERATION_SECONDS,
        )
        stream = await http_client.open_stream(self._client, outgoing, "engine")
        if stream.status != 200:
            body = b"".join([chunk async for chunk in stream.chunks()])
            rest = read_rest(stream.status, stream.headers.get(headers.RETRY_AFTER, ""))
            message = body.decode(errors="replace")
            raise CodedError(
                "engine_refused", message, 503, Outcome.NOT_RUN, retry_after=rest or None
            )
        async for chunk in stream.chunks():
            yield chunk

    async def cancel(self, request_id: str) -> None:
        """See ModelEngine."""
        await self._post_order("/v1/cancel", {"request_id": request_id})

    async def load(self) -> Load:
        """See ModelEngine."""
        return await self._get("/v1/load", Load)

    async def _get(self, path: str, kind: type) -> object:
        request = httpclient.HTTPRequest(self._url + path, request_timeout=ORDER_TIMEOUT_SECONDS)
        response = self._check(await http_client.fetch(self._client, request, "engine"))
        return decode_json(response.body, kind, UNREADABLE_CODE, 502, Outcome.FAILED)

    async def _post_order(self, path: str, order: object) -> bytes:
        response = await http_client.post_json(
            self._client, self._url + path, order, ORDER_TIMEOUT_SECONDS
        )
        return self._check(response).body

    def _check(self, response: httpclient.HTTPResponse) -> httpclient.HTTPResponse:
        if response.code == 409:
            raise CodedError("order_fenced", response.body.decode(errors="replace"), 409)
        if response.code != 200:
            raise CodedError("engine_error", f"status {response.code}", 502, Outcome.FAILED)
        return response


def make_model_engine(client: httpclient.AsyncHTTPClient, url: str) -> HttpModelEngine:
    """Returns a client of the engine at a base URL."""
    return HttpModelEngine(client, url)
