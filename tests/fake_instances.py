"""Fakes of engines that serve requests, and of instances that are suspended or hard to reach."""

import asyncio
import collections.abc
import dataclasses

from tests.fake_platform import ReceivedRequest, read_request, response_head
from wasabidrum.platform import names

# From a request's arrival until it begins: a pass of an engine that reads a prompt.
PASS_SECONDS = 0.1
EVENT_SECONDS = 0.1
EVENTS = 10
# What the end of a connection takes on a link.
PACKET_BYTES = 60


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRun:
    """A request that began.

    Attributes:
      weights: The version that it began on.
      began_at: When it began, by the event loop's clock.
    """

    request_id: str
    weights: int
    began_at: float


class ServingEngine:
    """An engine that serves streams, on an instance that can be suspended.

    A suspended engine reads nothing. When it wakes it first begins what it had read before, and
    only then sees which connections have ended meanwhile.

    Attributes:
      runs: The requests that began.
      waiting: The ids of requests that were read and have not begun.
      arrivals: When each request was read, by its id.
      limit: The requests a second that its responses state as its limit; None for no statement.
      leaving: Whether all its responses announce that it leaves.
    """

    def __init__(
        self,
        engine_id: str,
        weights: collections.abc.Callable[[], int],
        asks_for_bodies: bool = True,
    ) -> None:
        """Creates an engine that does not listen yet.

        Args:
          weights: Returns the version that it serves, or zero while it serves none.
          asks_for_bodies: Whether it asks for a body that is held back.
        """
        self.id = engine_id
        self.port = 0
        self.limit: float | None = None
        self.leaving = False
        self.runs: list[EngineRun] = []
        self.waiting: set[str] = set()
        self.arrivals: dict[str, float] = {}
        self._weights = weights
        self._asks_for_bodies = asks_for_bodies
        self._awake = asyncio.Event()
        self._awake.set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening."""
        self._awake.set()
        self._server.close()

    def suspend(self) -> None:
        """Suspends the instance."""
        self._awake.clear()

    def wake(self) -> None:
        """Lets the instance run again."""
        self._awake.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._awake.wait()
            request = await read_request(reader, writer if self._asks_for_bodies else None)
            await self._awake.wait()
            if reader.at_eof() or reader.exception() is not None:
                return
            working = asyncio.ensure_future(self._run(request, writer))
            leaving = asyncio.ensure_future(reader.read(1))
            await asyncio.wait((working, leaving), return_when=asyncio.FIRST_COMPLETED)
            if not self._awake.is_set():
                await self._awake.wait()
                await asyncio.wait((working,), timeout=EVENT_SECONDS / 2)
            working.cancel()
            leaving.cancel()
            await asyncio.gather(working, leaving, return_exceptions=True)
        except (asyncio.IncompleteReadError, ConnectionError):
            # The sender has given the request up before it was read.
            return
        finally:
            writer.close()

    async def _run(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        request_id = request.headers[names.REQUEST_ID.lower()]
        self.arrivals[request_id] = loop.time()
        self.waiting.add(request_id)
        try:
            await asyncio.sleep(PASS_SECONDS)
            await self._awake.wait()
        finally:
            self.waiting.discard(request_id)
        weights = self._weights()
        expected = request.headers.get(names.EXPECT_VERSION.lower(), str(weights))
        if not weights or expected != str(weights):
            more = (f"{names.NOT_EXECUTED}: 1", "Content-Length: 0")
            writer.write(response_head(request, self, "421 Misdirected", *more))
            return
        self.runs.append(EngineRun(request_id, weights, loop.time()))
        more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(response_head(request, self, "200 OK", *more))
        first = int(request.headers.get(names.LAST_EVENT_ID.lower(), 0)) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
            await self._awake.wait()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class NarrowLink:
    """A link to an instance, over which all connections to it share one queue.

    The end of a connection queues behind what was sent before it.

    Attributes:
      bytes_per_second: What the link carries; zero for no limit.
      most_queued: The most bytes that have waited at once.
    """

    def __init__(self, host: str) -> None:
        self.bytes_per_second = 0.0
        self.most_queued = 0
        self.port = 0
        self._host = host
        self._target_port = 0
        self._queue: asyncio.Queue[tuple[asyncio.StreamWriter | None, bytes]] = asyncio.Queue()
        self._queued = 0
        self._server: asyncio.Server | None = None
        self._carrying: asyncio.Task[None] | None = None

    async def start(self, target_port: int) -> None:
        """Listens on a port of its own, for connections to a port of the instance."""
        self._target_port = target_port
        self._server = await asyncio.start_server(self._relay, self._host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._carrying = asyncio.ensure_future(self._carry())

    def send_weights(self, size: int) -> None:
        """Queues bytes for another process of the instance."""
        self._enqueue(None, bytes(size))

    def stop(self) -> None:
        """Stops listening and carrying."""
        self._server.close()
        self._carrying.cancel()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        replies, requests = await asyncio.open_connection(self._host, self._target_port)
        returning = asyncio.ensure_future(self._return(replies, writer))
        content = b"x"
        while content:
            try:
                content = await reader.read(65_536)
            except ConnectionError:
                content = b""
            self._enqueue(requests, content)
        await returning

    def _enqueue(self, writer: asyncio.StreamWriter | None, content: bytes) -> None:
        self._queued += len(content)
        self.most_queued = max(self.most_queued, self._queued)
        self._queue.put_nowait((writer, content))

    async def _return(self, replies: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while content := await replies.read(65_536):
                writer.write(content)
                await writer.drain()
        except ConnectionError:
            # Either end is gone; the other learns of it as the connection closes.
            return
        finally:
            writer.close()

    async def _carry(self) -> None:
        while True:
            writer, content = await self._queue.get()
            if self.bytes_per_second:
                await asyncio.sleep((len(content) or PACKET_BYTES) / self.bytes_per_second)
            self._queued -= len(content)
            if writer is None:
                continue
            if content:
                writer.write(content)
            else:
                writer.transport.abort()
