"""HTTP client of the weight store and the origin, which serve content by digest."""

from tornado import httpclient

from ..core import waiting
from ..core.errors import CodedError
from ..wire import http_client

FETCH_TIMEOUT_SECONDS = 120.0
# Many downloads share the source's link and take turns, so that a healthy one may receive nothing
# for some seconds. Ten seconds exceed that, and are short beside the minutes that a burst of
# downloads may take.
STALL_SECONDS = 10.0
DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


class HttpBlobSource:
    """Implements BlobSource."""

    __slots__ = ("_client", "_url", "_stall_seconds")

    def __init__(self, client: httpclient.AsyncHTTPClient, url: str, stall_seconds: float) -> None:
        self._client = client
        self._url = url
        self._stall_seconds = stall_seconds

    async def fetch(self, digest: str) -> bytes:
        """See BlobSource."""
        request = httpclient.HTTPRequest(
            f"{self._url}/{digest}", request_timeout=FETCH_TIMEOUT_SECONDS
        )
        try:
            status, retry_after, content = await self._read(request)
        except CodedError as error:
            raise CodedError("source_unreachable", str(error), 503) from error
        except TimeoutError as error:
            # A link that stalls without closing would block this chunk, and everything that
            # waits for it here, until the whole request times out: a rollout would stop with
            # almost all of its chunks present. The stall timeout ends the download earlier.
            message = f"{self._url}: received nothing for {self._stall_seconds} s"
            raise CodedError("source_unreachable", message, 503) from error
        if status == 200:
            return content
        if status == 429:
            raise CodedError("source_busy", self._url, 503, retry_after=retry_after)
        if status == 404:
            raise CodedError("source_missing", f"{self._url} does not have {digest}", 503)
        raise CodedError("source_unreachable", f"{self._url}: status {status}", 503)

    async def _read(self, request: httpclient.HTTPRequest) -> tuple[int, float, bytes]:
        opening = http_client.open_stream(self._client, request, self._url)
        stream = await waiting.wait_for(opening, self._stall_seconds)
        parts: list[bytes] = []
        chunks = stream.chunks()
        while True:
            try:
                parts.append(await waiting.wait_for(anext(chunks), self._stall_seconds))
            except StopAsyncIteration:
                break
        return stream.status, read_retry_after(stream.headers.get("Retry-After")), b"".join(parts)


def read_retry_after(text: str | None) -> float:
    """Returns the seconds that a Retry-After header asks for, up to the maximum.

    A date in place of seconds, or an invalid value, gives the default.
    """
    if text is None or not text.isascii() or not text.isdecimal():
        return DEFAULT_RETRY_AFTER_SECONDS
    return min(float(text), MAX_RETRY_AFTER_SECONDS)


def make_blob_source(
    client: httpclient.AsyncHTTPClient, url: str, stall_seconds: float = STALL_SECONDS
) -> HttpBlobSource:
    """Returns a client of the source at a URL."""
    return HttpBlobSource(client, url, stall_seconds)
