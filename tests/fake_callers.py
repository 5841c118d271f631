"""Fakes of callers that send streams at random times, and leave when they have waited too long."""

import asyncio
import dataclasses
import random

from tests.fake_platform import read_reply
from wasabidrum.config.deployment import Address
from wasabidrum.platform import names

DEADLINE_MS = 6000
PROMPT_BYTES = 1500


@dataclasses.dataclass(slots=True)
class CallerStream:
    """A request for a stream, and what became of it.

    Attributes:
      status: The status of the response; zero without one.
      whole: Whether the response was complete.
      left_at: When its caller left without a response, by the event loop's clock; None if it
        stayed.
    """

    request_id: str
    status: int = 0
    whole: bool = False
    left_at: float | None = None


class FakeCallers:
    """Callers of one entry.

    Attributes:
      streams: The requests that were sent, by id.
    """

    def __init__(self, entry: Address, service: str, rng: random.Random) -> None:
        self._entry = entry
        self._service = service
        self._rng = rng
        self.streams: dict[str, CallerStream] = {}
        self._sending: list[asyncio.Task[None]] = []

    async def send_for(self, seconds: float, per_second: float, patience) -> None:
        """Sends streams at random times.

        Args:
          per_second: The mean number of streams that are sent each second.
          patience: Returns the seconds that a caller waits for the first event.
        """
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        while loop.time() < ends:
            stream = CallerStream(f"r{len(self.streams)}")
            self.streams[stream.request_id] = stream
            self._sending.append(asyncio.ensure_future(self._send(stream, patience())))
            await asyncio.sleep(self._rng.expovariate(per_second))

    async def wait(self) -> None:
        """Waits until every caller has its response or has left."""
        await asyncio.gather(*self._sending)

    async def _send(self, stream: CallerStream, patience: float) -> None:
        reader, writer = await asyncio.open_connection(self._entry.host, self._entry.port)
        head = (
            "POST /streaming/a HTTP/1.1",
            f"Host: {self._service}.example",
            f"{names.REQUEST_ID}: {stream.request_id}",
            f"{names.DEADLINE}: {DEADLINE_MS}",
            f"Content-Length: {PROMPT_BYTES}",
        )
        writer.write("\r\n".join([*head, "", ""]).encode() + b"x" * PROMPT_BYTES)
        try:
            reply = await read_reply(reader, patience)
            stream.status, stream.whole = reply.status, reply.whole
        except TimeoutError:
            stream.left_at = asyncio.get_running_loop().time()
        finally:
            writer.close()
