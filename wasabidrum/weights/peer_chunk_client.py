"""HTTP client for chunks at peers; detects stalled and silent peers."""

import asyncio
import collections.abc
import dataclasses

from tornado import httpclient, httputil

from ..core.digest import digest_of
from ..core.errors import CodedError
from ..decisions.peer_responsiveness import ANSWER_MARGIN_SECONDS, PROBE_INTERVAL_SECONDS
from ..wire import headers, http_client
from .chunk_state import ChunkState

HEAD_GRACE_SECONDS = 2.0
STALL_SECONDS = 3.0
SLOWEST_FACTOR = 4.0
MAX_REQUEST_SECONDS = 900.0


SilenceCheck = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswer:
    """A peer's answer; the content is verified, and None unless the state is HELD.

    Attributes:
      sending_seconds: The time that the peer announced for sending the content.
      late_seconds: How much later than announced the content was complete.
    """

    state: ChunkState
    content: bytes | None = None
    sending_seconds: float = 0.0
    late_seconds: float = 0.0


class ChunkDownload:
    """The progress of one chunk request."""

    __slots__ = ("_parts", "_loop", "_stalls_at", "_ends_at", "_status", "_head", "abandoned")
    __slots__ += ("_due_at", "_idle_from", "sending_seconds")

    def __init__(self, wait: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._parts: list[bytes] = []
        self._status = 0
        self._head = httputil.HTTPHeaders()
        self._stalls_at = self._loop.time() + wait + HEAD_GRACE_SECONDS
        self._ends_at = self._stalls_at + MAX_REQUEST_SECONDS
        self.abandoned = False
        # Before the head arrives, the download counts as idle from half a second on.
        self._idle_from = self._loop.time() + ANSWER_MARGIN_SECONDS - PROBE_INTERVAL_SECONDS
        self._due_at = self._loop.time()
        self.sending_seconds = 0.0

    @property
    def late_seconds(self) -> float:
        """The seconds since the time at which the peer announced to be done sending."""
        return max(0.0, self._loop.time() - self._due_at)

    @property
    def head(self) -> httputil.HTTPHeaders:
        """The response headers received so far."""
        return self._head

    @property
    def idle(self) -> bool:
        """Whether nothing has arrived for a while, even if sending has not been due yet."""
        return self._loop.time() > self._idle_from + PROBE_INTERVAL_SECONDS

    @property
    def content(self) -> bytes:
        """The body received so far."""
        return b"".join(self._parts)

    @property
    def seconds_until_stall(self) -> float:
        """The seconds after which this download counts as stalled if nothing arrives."""
        return min(self._stalls_at, self._ends_at) - self._loop.time()

    def on_header_line(self, line: str) -> None:
        """Processes one line of the response head."""
        if line.startswith("HTTP/"):
            self._head = httputil.HTTPHeaders()
        elif line.strip():
            self._head.parse_line(line)
        else:
            starts_in = read_seconds(self._head.get(headers.CHUNK_STARTS_IN, "0"))
            seconds = read_seconds(self._head.get(headers.CHUNK_SECONDS, "0"))
            now = self._loop.time()
            self._due_at = now + starts_in + seconds
            self.sending_seconds = seconds
            self._idle_from = now
            self._stalls_at = now + starts_in + STALL_SECONDS
            self._ends_at = self._stalls_at + SLOWEST_FACTOR * seconds + STALL_SECONDS

    def extend_due_time(self, seconds: float) -> None:
        """Extends the expected end by the time for which this process was blocked."""
        self._due_at += seconds

    def on_body_part(self, part: bytes) -> None:
        """Processes some bytes of the body."""
        if self.abandoned:
            # Tornado closes a connection whose input callback raises this error. Otherwise an
            # abandoned transfer would continue and occupy the link.
            raise httputil.HTTPInputError("download abandoned")
        self._parts.append(part)
        self._idle_from = self._loop.time()
        self._stalls_at = max(self._stalls_at, self._loop.time() + STALL_SECONDS)


def read_seconds(text: str) -> float:
    """Converts seconds that a peer announces; zero for what is no time, or too long for one."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0.0 <= seconds <= MAX_REQUEST_SECONDS else 0.0


class PeerChunkClient:
    """Requests chunks from peers over HTTP."""

    __slots__ = ("_client", "_name", "_region")

    def __init__(self, client: httpclient.AsyncHTTPClient, name: str, region: str) -> None:
        self._client = client
        self._name = name
        self._region = region

    async def request_chunk(
        self,
        url: str,
        digest: str,
        wait: float,
        revision: int,
        probe: bool = False,
        is_silent: SilenceCheck | None = None,
        rate: float = 0.0,
    ) -> PeerAnswer:
        """Requests a chunk; the peer answers once it holds the chunk or the wait is over.

        A probe is answered at once, without the content.

        Args:
          wait: Seconds for which the peer may hold the request.
          revision: The configuration revision of this process.
          is_silent: Called while nothing arrives; returns whether to abandon the request.
          rate: The highest rate in bytes per second to send at; zero leaves it to the peer.

        Raises:
          CodedError: "peer_unreachable", "peer_stalled", "peer_held_up" or "chunk_corrupt".
        """
        download = ChunkDownload(wait)
        request = httpclient.HTTPRequest(
            f"{url}/internal/chunks/{digest}?wait={wait}",
            method="HEAD" if probe else "GET",
            headers={
                headers.REQUESTER: self._name,
                headers.REQUESTER_REGION: self._region,
                headers.REVISION: str(revision),
                headers.REQUESTER_RATE: f"{rate:.0f}",
            },
            header_callback=download.on_header_line,
            streaming_callback=download.on_body_part,
            request_timeout=MAX_REQUEST_SECONDS,
        )
        fetched = asyncio.ensure_future(http_client.fetch(self._client, request, url))
        try:
            while not fetched.done():
                if download.seconds_until_stall <= 0:
                    raise CodedError("peer_stalled", f"{url} stopped sending", 503)
                timeout = min(max(0.01, download.seconds_until_stall), ANSWER_MARGIN_SECONDS)
                began = asyncio.get_running_loop().time()
                await asyncio.wait((fetched,), timeout=timeout)
                waited = asyncio.get_running_loop().time() - began
                # Time for which this process itself was blocked does not make the chunk late.
                download.extend_due_time(max(0.0, waited - timeout))
                if is_silent is None or fetched.done() or not download.idle:
                    continue
                if await is_silent() and download.idle and not fetched.done():
                    raise CodedError("peer_held_up", f"{url} is silent", 503)
        finally:
            download.abandoned = True
            fetched.cancel()
        if probe:
            return PeerAnswer(self._read_state(download))
        return self._read_answer(fetched.result(), download, digest)

    def _read_answer(
        self, response: httpclient.HTTPResponse, download: ChunkDownload, digest: str
    ) -> PeerAnswer:
        if response.code == 200:
            content = download.content
            if digest_of(content) != digest:
                raise CodedError(
                    "chunk_corrupt", f"{digest} does not match the content received", 503
                )
            return PeerAnswer(
                ChunkState.HELD, content, download.sending_seconds, download.late_seconds
            )
        return PeerAnswer(self._read_state(download))

    def _read_state(self, download: ChunkDownload) -> ChunkState:
        try:
            return ChunkState(download.head.get(headers.CHUNK_STATE, ""))
        except ValueError:
            return ChunkState.LACKING
