"""GET /internal/chunks/DIGEST: sends a chunk to a peer, as soon as it is in the store."""

import asyncio
import typing

from tornado import iostream, web

from ..core import waiting
from ..core.errors import CodedError
from ..wire import headers
from .chunk_state import ChunkState

if typing.TYPE_CHECKING:
    from .distributor import Distributor

MAX_SLICE_BYTES = 65_536
# A token that leaves the instance waits for the slice that is on the link. A chunk of 48 KiB sent
# in one piece occupies a link of 4.7 Mbit/s for 84 ms; a slice of an eightieth of a second, for 13.
SLICE_SECONDS = 0.0125
MAX_WAIT_SECONDS = 30.0
SLICE_TIMEOUT_SECONDS = 5.0


class ChunkHandler(web.RequestHandler):
    """Responds with the chunk, or after the requested wait with its state."""

    def initialize(self, distributor: "Distributor") -> None:
        """Stores the distributor passed by the route."""
        self.distributor = distributor
        self.closed = asyncio.Event()
        if headers.REQUESTER in self.request.headers:
            distributor.record_request()

    def head(self, digest: str) -> None:
        """Responds at once with the chunk's state."""
        self.set_header(headers.CHUNK_STATE, self.state_of(digest).value)

    def state_of(self, digest: str) -> ChunkState:
        """Returns the chunk's state for the requester's configuration revision."""
        revision = self.request.headers.get(headers.REVISION, "0")
        return self.distributor.state_of(digest, int(revision))

    async def get(self, digest: str) -> None:
        """Waits for the chunk and sends it, paced by the links on its path."""
        store = self.distributor.store
        wait = min(float(self.get_query_argument("wait", "0")), MAX_WAIT_SECONDS)
        loop = asyncio.get_running_loop()
        ends = loop.time() + wait
        while (content := store.get(digest)) is None:
            state = self.state_of(digest)
            remaining = ends - loop.time()
            if state is ChunkState.LACKING or remaining <= 0 or self.closed.is_set():
                self.set_header(headers.CHUNK_STATE, state.value)
                self.set_status(404)
                return
            await store.wait(digest, remaining)
        if self.closed.is_set():
            return
        await self.send(digest, content)

    async def send(self, digest: str, content: bytes) -> None:
        """Sends a chunk in slices within its reserved time."""
        loop = asyncio.get_running_loop()
        region = self.request.headers.get(headers.REQUESTER_REGION, "")
        rate = float(self.request.headers.get(headers.REQUESTER_RATE, "0"))
        reserved = self.distributor.pacer.reserve(region, len(content), rate)
        # Announces the start time; otherwise the requester would take queueing for a stall.
        self.set_header(headers.CHUNK_STATE, ChunkState.HELD.value)
        self.set_header(headers.CHUNK_STARTS_IN, f"{reserved.start - loop.time():.3f}")
        self.set_header(headers.CHUNK_SECONDS, f"{reserved.seconds:.3f}")
        self.set_header("Content-Length", str(len(content)))
        self.set_header("Content-Type", "application/octet-stream")
        try:
            await waiting.wait_for(self.flush(), SLICE_TIMEOUT_SECONDS)
            view = memoryview(content)
            count = max(
                1, round(reserved.seconds / SLICE_SECONDS), -(-len(view) // MAX_SLICE_BYTES)
            )
            size = -(-len(view) // count)
            for place, start in enumerate(range(0, len(view), size)):
                # A slice is sent only when its bytes would have passed the link at that rate.
                due_at = reserved.start + reserved.seconds * (place + 1) / count
                if (delay := due_at - loop.time()) > 0:
                    await asyncio.sleep(delay)
                self.write(bytes(view[start : start + size]))
                # Without a timeout, a receiver that stops reading would keep this task and its
                # chunk in memory forever.
                await waiting.wait_for(self.flush(), SLICE_TIMEOUT_SECONDS)
        except (iostream.StreamClosedError, TimeoutError):
            self.request.connection.close()
            return
        self.distributor.record_sent(digest, region, len(content))

    def on_connection_close(self) -> None:
        """Ends the wait of a requester that has disconnected."""
        self.closed.set()

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Responds to a failure without a body; the error code is in a header."""
        failure = kwargs.get("exc_info", (None, None))[1]
        if isinstance(failure, CodedError):
            self.set_header(headers.ERROR_CODE, failure.code)
        self.finish()
