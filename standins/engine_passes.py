"""The work of a stand-in for a model engine: passes that read prompts and write tokens.

A pass that has begun ends with tokens for all requests in it. What happens to their connections
meanwhile is seen between passes only, also where the process was suspended in one.
"""

import asyncio
import collections
import collections.abc
import enum
import time

import msgspec

from wasabidrum.platform.wire_records import WireEngine

# Requests that wait for a slot, beyond those that run.
MAX_QUEUED = 8


class GenerationEnd(enum.Enum):
    """How a generation ended."""

    COMPLETE = "complete"
    OVERDUE = "overdue"
    GONE = "gone"


class Generation:
    """One request at an engine.

    Attributes:
      unread: Tokens of its prompt that were not read yet.
      tokens: Tokens that were written.
      gone: Whether its connection has ended.
      end: How it ended; None while it waits or runs.
      events: The events that were not sent yet; None marks the end.
    """

    __slots__ = ("name", "version", "unread", "tokens", "total", "deadline", "received_at")
    __slots__ += ("gone", "end", "events")

    def __init__(
        self, name: str, version: int, prompt: int, total: int, seconds_left: float
    ) -> None:
        self.name = name
        self.version = version
        self.unread = prompt
        self.tokens = 0
        self.total = max(1, total)
        self.received_at = time.time()
        self.deadline = time.monotonic() + seconds_left
        self.gone = False
        self.end: GenerationEnd | None = None
        self.events: asyncio.Queue[int | None] = asyncio.Queue()

    def finish(self, end: GenerationEnd) -> None:
        """Ends the generation."""
        self.end = end
        self.events.put_nowait(None)


class EnginePasses:
    """The queue and the slots of one engine.

    Attributes:
      on_first_token: Called with each generation whose first token was written.
    """

    __slots__ = ("_figures", "_running", "_waiting", "_wanted", "on_first_token")

    def __init__(
        self,
        figures: WireEngine,
        on_first_token: collections.abc.Callable[[Generation], None],
    ) -> None:
        self._figures = figures
        self._running: list[Generation] = []
        self._waiting: collections.deque[Generation] = collections.deque()
        self._wanted = asyncio.Event()
        self.on_first_token = on_first_token

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether no further request is taken."""
        return len(self._waiting) >= MAX_QUEUED

    def add(self, generation: Generation) -> None:
        """Takes a request."""
        self._waiting.append(generation)
        self._wanted.set()

    async def run(self) -> None:
        """Works forever."""
        while True:
            self._leave_out()
            self._admit()
            if not self._running:
                self._wanted.clear()
                await self._wanted.wait()
                continue
            read = self._read_prompts()
            await asyncio.sleep(self._pass_seconds(read))
            self._write_tokens()

    def _leave_out(self) -> None:
        now = time.monotonic()
        for generation in (*self._running, *self._waiting):
            if generation.gone:
                generation.finish(GenerationEnd.GONE)
            elif now >= generation.deadline:
                generation.finish(GenerationEnd.OVERDUE)
        self._running = [each for each in self._running if each.end is None]
        self._waiting = collections.deque(each for each in self._waiting if each.end is None)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._figures.slots:
            self._running.append(self._waiting.popleft())

    def _read_prompts(self) -> int:
        left = self._figures.chunk
        for generation in self._running:
            part = min(left, generation.unread)
            generation.unread -= part
            left -= part
        return self._figures.chunk - left

    def _pass_seconds(self, read: int) -> float:
        figures = self._figures
        step = figures.step_ms + len(self._running) * figures.per_seq_ms
        return figures.stride * step / 1000.0 + read / figures.read_per_s

    def _write_tokens(self) -> None:
        now = time.monotonic()
        for generation in self._running:
            if generation.unread:
                continue
            if now >= generation.deadline:
                generation.finish(GenerationEnd.OVERDUE)
                continue
            if not generation.tokens:
                self.on_first_token(generation)
            generation.tokens = min(generation.total, generation.tokens + self._figures.stride)
            generation.events.put_nowait(generation.tokens)
            if generation.tokens == generation.total:
                generation.finish(GenerationEnd.COMPLETE)
        self._running = [each for each in self._running if each.end is None]


def decode_figures(text: str) -> WireEngine:
    """Decodes an engine's published figures."""
    return msgspec.json.decode(text, type=WireEngine)
