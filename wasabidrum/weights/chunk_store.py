"""A bounded in-memory store of the chunks that a process serves to its peers."""

import asyncio
import collections.abc

from ..decisions.chunk_eviction import HeldChunk, choose_victim


class ChunkStore:
    """Holds verified chunks by digest, up to a limit in bytes.

    Attributes:
      expected: The digests of the chunks that are being fetched or about to be.
      fetching_from_origin: The digests of the chunks that are being fetched from the origin.
      chunks_unknown: Whether a version is wanted whose chunk list is not known yet, so that any
        chunk may turn out to be expected.
      withdrawn: Digests that a corrected list of a version no longer has.
    """

    __slots__ = ("_limit", "_contents", "_held", "_wanted", "_waiters", "_bytes", "expected")
    __slots__ += ("fetching_from_origin", "chunks_unknown", "withdrawn")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._contents: dict[str, bytes] = {}
        self._held: dict[str, HeldChunk] = {}
        self._wanted: frozenset[str] = frozenset()
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}
        self._bytes = 0
        self.expected: set[str] = set()
        self.fetching_from_origin: set[str] = set()
        self.chunks_unknown = True
        self.withdrawn: set[str] = set()

    @property
    def size(self) -> int:
        """The size of all held chunks in bytes."""
        return self._bytes

    @property
    def count(self) -> int:
        """The number of held chunks."""
        return len(self._held)

    def get(self, digest: str) -> bytes | None:
        """Returns a chunk, or None if it is not held."""
        return self._contents.get(digest)

    def add(self, digest: str, content: bytes, rank: int = 0, serves: int = 0) -> None:
        """Adds a verified chunk, and evicts others if the limit is exceeded.

        Args:
          rank: This process's rank among the instances that should keep the chunk.
          serves: The number of peers that are expected to fetch it from here.
        """
        if digest not in self._held and len(content) <= self._limit:
            self._held[digest] = HeldChunk(
                digest, len(content), rank, digest in self._wanted, serves
            )
            self._contents[digest] = content
            self._bytes += len(content)
            while self._bytes > self._limit:
                self._drop(choose_victim(self._held.values()).digest)
        self.wake(digest)

    def set_wanted(self, digests: collections.abc.Iterable[str]) -> None:
        """Sets which chunks belong to an active or wanted version."""
        self._wanted = frozenset(digests)
        for held in self._held.values():
            held.wanted = held.digest in self._wanted

    def is_wanted(self, digest: str) -> bool:
        """Returns whether a chunk belongs to an active or wanted version."""
        return digest in self._wanted

    def withdraw(self, digests: collections.abc.Iterable[str]) -> None:
        """Records that there is no content with some digests; ends the waits for them."""
        self.withdrawn.update(digests)
        self.wake_all()

    def record_served(self, digest: str) -> None:
        """Records that a peer has fetched a chunk."""
        if held := self._held.get(digest):
            held.pending_children -= 1

    def wake(self, digest: str) -> None:
        """Wakes all waiters for a chunk."""
        for waiter in self._waiters.pop(digest, ()):
            if not waiter.done():
                waiter.set_result(None)

    def wake_all(self) -> None:
        """Wakes all waiters, because the expected chunks have changed."""
        for digest in list(self._waiters):
            self.wake(digest)

    async def wait(self, digest: str, seconds: float) -> None:
        """Waits until a chunk's state may have changed, or the time is over."""
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
