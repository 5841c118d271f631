"""The bounded memory in which a sidecar holds chunks for its peers."""

import asyncio
import collections.abc

from ..decisions.chunk_eviction import HeldChunk, choose_victim


class ChunkStore:
    """Holds verified chunks by digest, within a number of bytes."""

    __slots__ = ("_limit", "_contents", "_held", "_wanted", "_waiters", "_bytes", "expected")
    __slots__ += ("drawing", "undecided")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._contents: dict[str, bytes] = {}
        self._held: dict[str, HeldChunk] = {}
        self._wanted: frozenset[str] = frozenset()
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}
        self._bytes = 0
        self.expected: set[str] = set()
        self.drawing: set[str] = set()
        # True while a version is wanted whose list of chunks has not come yet: then any
        # chunk may turn out to be expected.
        self.undecided = True

    @property
    def size(self) -> int:
        """The bytes held now."""
        return self._bytes

    @property
    def count(self) -> int:
        """The chunks held now."""
        return len(self._held)

    def get(self, digest: str) -> bytes | None:
        """Returns a chunk, or None where it is not held."""
        return self._contents.get(digest)

    def add(self, digest: str, content: bytes, rank: int = 0, serves: int = 0) -> None:
        """Takes a verified chunk, and gives up others where there is no room."""
        if digest not in self._held and len(content) <= self._limit:
            self._held[digest] = HeldChunk(
                digest, len(content), rank, digest in self._wanted, serves
            )
            self._contents[digest] = content
            self._bytes += len(content)
            while self._bytes > self._limit:
                self._drop(choose_victim(self._held.values()).digest)
        self.wake(digest)

    def want(self, digests: collections.abc.Iterable[str]) -> None:
        """Takes which chunks belong to a version in force or wanted."""
        self._wanted = frozenset(digests)
        for held in self._held.values():
            held.wanted = held.digest in self._wanted

    def is_wanted(self, digest: str) -> bool:
        """Returns whether a chunk belongs to a version in force or wanted."""
        return digest in self._wanted

    def record_served(self, digest: str) -> None:
        """Records that one peer has fetched a chunk."""
        if held := self._held.get(digest):
            held.pending_children -= 1

    def wake(self, digest: str) -> None:
        """Has those who wait for a chunk look again."""
        for waiter in self._waiters.pop(digest, ()):
            if not waiter.done():
                waiter.set_result(None)

    def wake_all(self) -> None:
        """Has everyone who waits look again, because what is expected has changed."""
        for digest in list(self._waiters):
            self.wake(digest)

    async def wait(self, digest: str, seconds: float) -> None:
        """Waits until something changes about a chunk, at most some seconds."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(digest, set())
        waiters.add(waiter)
        try:
            await asyncio.wait((waiter,), timeout=seconds)
        finally:
            waiters.discard(waiter)
            if not waiters and self._waiters.get(digest) is waiters:
                del self._waiters[digest]

    def _drop(self, digest: str) -> None:
        self._bytes -= self._held.pop(digest).size
        del self._contents[digest]
