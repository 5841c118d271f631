"""Callers of deployed entries who ask for streams, and keep their connections while they can."""

import asyncio
import collections
import contextlib
import random
import time

from wasabidrum.platform import names

from .deployed_fleet import Daemon, DeployedFleet

HOSTNAME = "text.example"
DEADLINE_MS = 6060
# A caller leaves after such a pause.
PATIENCE_SECONDS = 3.2
CONNECT_SECONDS = 1.0
MAX_KEPT = 40
# As the sheets of the platform's users have them; the last one is longer.
KINDS = ((1330, 100), (827, 100), (647, 70), (900, 240))


class Callers:
    """Sends requests at random times to the entries that run.

    Attributes:
      per_second: New requests a second.
      kinds: Tokens of the prompt, and of the longest answer, of each kind of request.
      sent: The entry and the time of each request, by id.
      outcomes: How many requests ended how.
    """

    def __init__(self, fleet: DeployedFleet, rng: random.Random, per_second: float) -> None:
        self._fleet = fleet
        self._rng = rng
        self.per_second = per_second
        self.kinds = KINDS
        self.sent: dict[str, tuple[str, float]] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._kept: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self._asking: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(self.per_second))
            asking = asyncio.ensure_future(self._ask(retries=1))
            self._asking.add(asking)
            asking.add_done_callback(self._asking.discard)

    async def stop(self) -> None:
        """Lets all callers leave."""
        for asking in list(self._asking):
            asking.cancel()
        await asyncio.gather(*self._asking, return_exceptions=True)

    async def _ask(self, retries: int) -> None:
        running = [entry for entry in self._fleet.entries if entry.alive]
        if not running:
            self.outcomes["no entry"] += 1
            return
        entry = self._rng.choice(running)
        name = f"{len(self.sent):08x}"
        prompt, total = self._rng.choice(self.kinds)
        writer = None
        try:
            reader, writer = await self._connect(entry)
            self.sent[name] = entry.name, time.time()
            writer.write(request_of(name, prompt, total))
            async with asyncio.timeout(DEADLINE_MS / 1000.0):
                outcome, wait, kept = await read_answer(reader)
        except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError, ValueError) as error:
            outcome, wait, kept = type(error).__name__, None, False
        except asyncio.CancelledError:
            if writer is not None:
                writer.close()
            raise
        self.outcomes[outcome] += 1
        if writer is not None:
            self._keep(entry, reader, writer) if kept else writer.close()
        if wait is not None and retries:
            await asyncio.sleep(min(wait, DEADLINE_MS / 3000.0))
            await self._ask(retries - 1)

    async def _connect(self, entry: Daemon) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        kept = self._kept.get(entry.name, [])
        while kept:
            reader, writer = kept.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        async with asyncio.timeout(CONNECT_SECONDS):
            return await asyncio.open_connection(*self._fleet.address_of(entry))

    def _keep(
        self, entry: Daemon, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        kept = self._kept.setdefault(entry.name, [])
        if len(kept) < MAX_KEPT:
            kept.append((reader, writer))
        else:
            writer.close()


def request_of(name: str, prompt: int, total: int) -> bytes:
    """Returns a request for text."""
    lines = (
        "POST /streaming/a HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"{names.REQUEST_ID}: {name}",
        f"{names.DEADLINE}: {DEADLINE_MS}",
        f"{names.TOKEN_USAGE}: {prompt},{total}",
        f"{names.PROMPT_PREFIX}: c0ffee:40,{name}:{prompt - 40}",
        "Content-Length: 1",
    )
    return ("\r\n".join(lines) + "\r\n\r\nx").encode()


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, float | None, bool]:
    """Reads an answer; returns its outcome, when to ask again, and whether the connection stays.

    Raises:
      EOFError: It has ended early.
      TimeoutError: It paused for longer than callers wait.
    """
    async with asyncio.timeout(PATIENCE_SECONDS):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status = int(head.split(" ", 2)[1])
    pairs = (line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    headers = {name.lower(): value for name, value in pairs}
    kept = headers.get("connection", "") != "close"
    if "content-length" in headers:
        await reader.readexactly(int(headers["content-length"]))
    else:
        size = -1
        while size:
            async with asyncio.timeout(PATIENCE_SECONDS):
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                await reader.readexactly(size + 2)
    wait = None
    if status == 503:
        with contextlib.suppress(ValueError):
            wait = float(headers.get(names.RETRY_AFTER.lower(), ""))
    return str(status), wait, kept
