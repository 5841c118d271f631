"""A TCP proxy that can spoil the link between two processes.

It knows nothing of what it carries. Tests set its faults over a line-based control port.
"""

import asyncio
import dataclasses
import json
import random
import sys

from . import process_options
from .rate_limiter import SLICE_BYTES, RateLimiter

FIRST_RESEND_SECONDS = 0.2


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """Faults injected into the link.

    Attributes:
      delay_seconds: Delay added to every piece of data, in both directions.
      stall: No data is forwarded, and no connection is closed.
      cut_after_bytes: Aborts a connection once this many response bytes were sent; -1 for never.
      corrupt_every_bytes: One in this many response bytes is inverted; 0 for none.
      refuse: New connections are aborted at once, and open ones when the fault is set.
      repeat_requests: The proxy resends each connection's request bytes after it has ended.
      repeat_delay_seconds: Delay before the bytes are resent.
      loss_chance: Probability that a piece is lost; it is resent after 0.2 s, then twice that.
    """

    delay_seconds: float = 0.0
    stall: bool = False
    cut_after_bytes: int = -1
    corrupt_every_bytes: int = 0
    refuse: bool = False
    repeat_requests: bool = False
    repeat_delay_seconds: float = 0.5
    loss_chance: float = 0.0


class FaultProxy:
    """Forwards connections to one target, with the current faults applied."""

    __slots__ = ("_target_host", "_target_port", "faults", "_limiter", "_writers", "carried")

    def __init__(self, target_host: str, target_port: int, limiter: RateLimiter) -> None:
        self._target_host = target_host
        self._target_port = target_port
        self.faults = LinkFaults()
        self._limiter = limiter
        self._writers: set[asyncio.StreamWriter] = set()
        self.carried = {"forth": 0, "back": 0}

    def set_faults(self, faults: LinkFaults) -> None:
        """Replaces the faults; `refuse` also aborts the open connections."""
        self.faults = faults
        if faults.refuse:
            for writer in list(self._writers):
                writer.transport.abort()

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one connection until both directions have ended."""
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            far = await asyncio.open_connection(self._target_host, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        far_reader, far_writer = far
        self._writers |= {writer, far_writer}
        sent: list[bytes] = []
        forth = asyncio.ensure_future(self._pump(reader, far_writer, "forth", sent))
        back = asyncio.ensure_future(self._pump(far_reader, writer, "back", None))
        await asyncio.wait((forth, back), return_when=asyncio.ALL_COMPLETED)
        self._writers -= {writer, far_writer}
        if self.faults.repeat_requests and sent:
            await asyncio.sleep(self.faults.repeat_delay_seconds)
            await self._repeat(b"".join(sent))

    async def _repeat(self, content: bytes) -> None:
        try:
            reader, writer = await asyncio.open_connection(self._target_host, self._target_port)
            writer.write(content)
            await writer.drain()
            await asyncio.wait_for(reader.read(SLICE_BYTES), 5)
            writer.close()
        except (OSError, TimeoutError):
            return

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: str,
        copy: list[bytes] | None,
    ) -> None:
        carried = 0
        try:
            while content := await reader.read(SLICE_BYTES):
                while self.faults.stall:
                    await asyncio.sleep(0.02)
                if self.faults.delay_seconds:
                    await asyncio.sleep(self.faults.delay_seconds)
                resend_seconds = FIRST_RESEND_SECONDS
                while random.random() < self.faults.loss_chance:
                    await asyncio.sleep(resend_seconds)
                    resend_seconds *= 2
                await self._limiter.reserve(len(content))
                if way == "back":
                    content = self._apply_faults(content, carried)
                carried += len(content)
                self.carried[way] += len(content)
                if copy is not None:
                    copy.append(content)
                writer.write(content)
                await writer.drain()
                limit = self.faults.cut_after_bytes
                if way == "back" and 0 <= limit <= carried:
                    writer.transport.abort()
                    return
            writer.write_eof()
        except OSError:
            writer.transport.abort()
        finally:
            if way == "back":
                writer.close()

    def _apply_faults(self, content: bytes, carried: int) -> bytes:
        limit = self.faults.cut_after_bytes
        if limit >= 0:
            content = content[: max(0, limit - carried)]
        every = self.faults.corrupt_every_bytes
        if not every:
            return content
        corrupted = bytearray(content)
        first = every - carried % every - 1
        for place in range(first, len(corrupted), every):
            corrupted[place] ^= 0xFF
        return bytes(corrupted)


async def serve_control(
    proxy: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reads faults as JSON lines, and answers each with the bytes forwarded so far."""
    while line := await reader.readline():
        proxy.set_faults(LinkFaults(**json.loads(line)))
        writer.write(json.dumps(proxy.carried).encode() + b"\n")
        await writer.drain()
    writer.close()


async def run(target_port: int, port: int, bytes_per_second: float) -> None:
    """Serves the link and its control port until the process is killed."""
    proxy = FaultProxy("127.0.0.1", target_port, RateLimiter(bytes_per_second))
    server = await asyncio.start_server(proxy.carry, "127.0.0.1", port)

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_control(proxy, reader, writer)

    control = await asyncio.start_server(take, "127.0.0.1", 0)
    print(f"CONTROL {control.sockets[0].getsockname()[1]}", flush=True)
    print(f"PORT {server.sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


def main() -> int:
    """Runs the proxy until it is killed."""
    parser = process_options.make_parser(__doc__)
    parser.add_argument("--target-port", type=int, required=True)
    parser.add_argument("--mbit", type=float, default=0.0, help="0 means no limit")
    options = parser.parse_args()
    asyncio.run(run(options.target_port, options.port, options.mbit * 1_000_000 / 8))
    return 0


if __name__ == "__main__":
    sys.exit(main())
