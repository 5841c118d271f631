"""Tests of downloads: order, concurrency, and activation of complete versions only."""

import asyncio
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from ..core.digest import digest_of
from ..core.errors import CodedError
from ..core.manifest import Manifest, build_manifest
from ..decisions.chunk_plan import ChunkPlan
from .chunk_store import ChunkStore
from .version_download import ORIGIN_FIRST_SECONDS, PEER_REQUESTS_AT_START, VersionDownload

CHUNK_BYTES = 4


class SlowDistributor:
    """Returns chunks after a random number of event loop iterations."""

    is_sidecar = True

    def __init__(self, contents: dict[str, bytes], chance: random.Random) -> None:
        self.store = ChunkStore(16)
        self.late_seconds = 0.0
        self._contents = contents
        self._chance = chance

    def is_ingress_node(self, plan: ChunkPlan, index: int) -> bool:
        """See Distributor."""
        return index % 3 == 0

    def in_request_order(self, plan: ChunkPlan, digests) -> list[str]:
        """See Distributor."""
        return list(digests)

    def max_requests(self, plan: ChunkPlan) -> int:
        """See Distributor."""
        return 12

    def is_first_region(self, plan: ChunkPlan, index: int) -> bool:
        """See Distributor."""
        return index % 2 == 0

    async def fetch(self, plan: ChunkPlan, digest: str) -> bytes:
        """Returns a chunk after a random delay."""
        for _ in range(self._chance.randrange(6)):
            await asyncio.sleep(0)
        self.store.add(digest, self._contents[digest], self._chance.randrange(9))
        return self._contents[digest]

    def has_peer_for(self, plan: ChunkPlan, digest: str) -> bool:
        """See Distributor."""
        return True

    async def try_fetch(self, plan: ChunkPlan, digest: str, *_: object) -> bytes:
        """See Distributor; never in vain."""
        return await self.fetch(plan, digest)


class VersionDownloadTest(unittest.TestCase):
    """Arbitrary orders of arrivals, cancellations and version changes."""

    @hypothesis.settings(derandomize=True, max_examples=120, deadline=None)
    @hypothesis.given(
        strategies.integers(0, 9999), strategies.lists(strategies.integers(0, 25), max_size=5)
    )
    def test_an_engine_activates_complete_versions_only(self, seed: int, turns: list[int]) -> None:
        """The target version changes repeatedly while chunks arrive in any order. If a cancelled
        download could end as if it were complete, callers would be served from partial weights
        or from a mix of two versions."""
        chance = random.Random(seed)
        texts = [bytes(chance.randrange(3) for _ in range(30)) for _ in range(3)]
        activated: list[int] = []

        async def download_version(
            number: int, manifest: Manifest, contents: dict[str, bytes]
        ) -> None:
            staged: dict[int, bytes] = {}
            plan = ChunkPlan(f"root-{number}", manifest.chunks, {"w": "rift-a"})

            async def deliver(index: int, content: bytes) -> None:
                await asyncio.sleep(0)
                staged[index] = content

            missing = list(range(len(manifest.chunks)))
            distributor = SlowDistributor(contents, chance)
            await VersionDownload(distributor, plan, manifest, missing, deliver).run()
            parts = b"".join(staged[index] for index in sorted(staged))
            self.assertEqual(parts, texts[number])
            activated.append(number)

        async def change_versions() -> None:
            work: asyncio.Task | None = None
            for number, wait in enumerate([*turns, 10_000]):
                text = texts[number % 3]
                manifest = build_manifest(text, CHUNK_BYTES)
                pieces = (text[i : i + CHUNK_BYTES] for i in range(0, len(text), CHUNK_BYTES))
                contents = {digest_of(piece): piece for piece in pieces}
                if work is not None:
                    work.cancel()
                    await asyncio.wait((work,))
                work = asyncio.ensure_future(download_version(number % 3, manifest, contents))
                for _ in range(wait):
                    if work.done():
                        break
                    await asyncio.sleep(0)
            await work

        asyncio.run(change_versions())
        self.assertEqual(activated[-1], len(turns) % 3)


class FailingDistributor(SlowDistributor):
    """Never returns a chunk; a fetch fails after some time, or when it is cancelled."""

    seconds = 3600.0

    async def fetch(self, plan: ChunkPlan, digest: str) -> bytes:
        """Raises CodedError."""
        try:
            await asyncio.sleep(self.seconds)
            raise CodedError("engine_error", "the engine has failed", 502)
        except asyncio.CancelledError:
            raise CodedError("peer_unreachable", "the connection has failed", 502) from None


class CancelledDownloadTest(unittest.IsolatedAsyncioTestCase):
    """A download whose version is no longer wanted."""

    async def test_error_of_a_fetch_does_not_replace_the_cancellation(self) -> None:
        """Guards against an engine that gets no version any more: its sidecar waits for a download
        that it has cancelled, and that is tried again for ever."""
        contents = {digest_of(bytes([n])): bytes([n]) for n in range(9)}
        manifest = Manifest(1, 9, tuple(contents))
        plan = ChunkPlan("root", manifest.chunks, {"w": "rift-a"})
        distributor = FailingDistributor(contents, random.Random(1))
        download = VersionDownload(distributor, plan, manifest, list(range(9)), mock.AsyncMock())
        running = asyncio.ensure_future(download.run_in_own_task())
        await asyncio.sleep(0.01)
        running.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await running

    async def test_download_that_fails_does_not_seem_cancelled(self) -> None:
        """Guards against a sidecar that gives a version up for ever because its engine has died."""
        contents = {digest_of(bytes([n])): bytes([n]) for n in range(9)}
        manifest = Manifest(1, 9, tuple(contents))
        plan = ChunkPlan("root", manifest.chunks, {"w": "rift-a"})
        distributor = FailingDistributor(contents, random.Random(1))
        distributor.seconds = ORIGIN_FIRST_SECONDS + 0.1
        download = VersionDownload(distributor, plan, manifest, list(range(9)), mock.AsyncMock())
        with self.assertRaises(ExceptionGroup):
            await download.run_in_own_task()
        self.assertEqual(asyncio.current_task().cancelling(), 0)


class RecordingDistributor(SlowDistributor):
    """Records which fetches were started; origin fetches block until the origin answers."""

    def __init__(self, contents: dict[str, bytes], plan: ChunkPlan) -> None:
        super().__init__(contents, random.Random(1))
        self._plan = plan
        self.started: list[int] = []
        self.origin = asyncio.Event()

    async def fetch(self, plan: ChunkPlan, digest: str) -> bytes:
        """Returns a chunk; one from the origin only once `origin` is set."""
        index = plan.index_of(digest)
        self.started.append(index)
        if self.fetches_from_origin(index):
            await self.origin.wait()
        return await super().fetch(plan, digest)

    def fetches_from_origin(self, index: int) -> bool:
        """Returns whether this sidecar fetches a chunk from the origin."""
        return self.is_ingress_node(self._plan, index) and self.is_first_region(self._plan, index)


class OriginFirstTest(unittest.IsolatedAsyncioTestCase):
    """Concurrency while fetches from the origin are in progress."""

    def setUp(self) -> None:
        text = bytes(range(240))
        manifest = build_manifest(text, CHUNK_BYTES)
        plan = ChunkPlan("root", manifest.chunks, {"w": "rift-a"})
        contents = {digest_of(text[i : i + 4]): text[i : i + 4] for i in range(0, 240, 4)}
        self.distributor = RecordingDistributor(contents, plan)
        self.staged: dict[int, bytes] = {}
        every = list(range(60))
        self.download = VersionDownload(self.distributor, plan, manifest, every, self.deliver)

    async def deliver(self, index: int, content: bytes) -> None:
        """Records a delivered chunk."""
        self.staged[index] = content

    async def test_origin_fetches_run_before_most_peer_requests(self) -> None:
        """On a slow link, a dozen concurrent requests to peers delay the origin fetches by
        seconds. If the origin fails meanwhile, the whole fleet lacks two chunks for the length
        of the outage."""
        running = asyncio.ensure_future(self.download.run())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        started = self.distributor.started
        asked_at_once = {
            index for index in started if not self.distributor.fetches_from_origin(index)
        }
        self.assertTrue(0 < len(asked_at_once) <= PEER_REQUESTS_AT_START)
        self.distributor.origin.set()
        await running
        self.assertEqual(len(self.staged), 60)

    async def test_an_unreachable_origin_does_not_delay_peer_requests(self) -> None:
        running = asyncio.ensure_future(self.download.run())
        await asyncio.sleep(ORIGIN_FIRST_SECONDS + 0.3)
        from_origin = sum(self.distributor.fetches_from_origin(index) for index in range(60))
        self.assertEqual(len(self.staged), 60 - from_origin)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_a_narrow_link_limits_concurrent_requests(self) -> None:
        """A link becomes narrow during a download. A dozen chunks sent to it at once delay the
        engine's requests by nine seconds, and callers give up before their requests arrive."""
        self.distributor.late_seconds = 1.0
        self.distributor.origin.set()
        at_once = 0
        fetching = 0
        fetch = self.distributor.fetch

        async def count(plan: ChunkPlan, digest: str) -> bytes:
            nonlocal at_once, fetching
            from_origin = self.distributor.fetches_from_origin(plan.index_of(digest))
            fetching += not from_origin
            at_once = max(at_once, fetching)
            await asyncio.sleep(0.001)
            content = await fetch(plan, digest)
            fetching -= not from_origin
            return content

        self.distributor.fetch = count
        await self.download.run()
        imports = 4
        self.assertLessEqual(at_once, PEER_REQUESTS_AT_START + imports)


class LostChunksDistributor(SlowDistributor):
    """A distributor of whose chunks some can be had from nobody."""

    def __init__(self, contents: dict[str, bytes], lost: set[int]) -> None:
        super().__init__(contents, random.Random(1))
        self._lost = lost

    def is_ingress_node(self, plan: ChunkPlan, index: int) -> bool:
        """See Distributor."""
        return False

    def has_peer_for(self, plan: ChunkPlan, digest: str) -> bool:
        """See Distributor."""
        return plan.index_of(digest) not in self._lost

    async def fetch(self, plan: ChunkPlan, digest: str) -> bytes:
        """Returns a chunk; waits without end for one that is lost."""
        if plan.index_of(digest) in self._lost:
            await asyncio.Event().wait()
        return await super().fetch(plan, digest)


class LostChunksTest(unittest.IsolatedAsyncioTestCase):
    """A download of which no peer has the first part, and the origin is away."""

    async def test_other_chunks_travel_meanwhile(self) -> None:
        """Guards against requests to peers that are all held up by waits for the origin."""
        text = bytes(range(240))
        manifest = build_manifest(text, CHUNK_BYTES)
        plan = ChunkPlan("root", manifest.chunks, {"w": "rift-a"})
        contents = {digest_of(text[i : i + 4]): text[i : i + 4] for i in range(0, 240, 4)}
        lost = set(range(20))
        staged = set()

        async def deliver(index: int, content: bytes) -> None:
            staged.add(index)

        distributor = LostChunksDistributor(contents, lost)
        download = VersionDownload(distributor, plan, manifest, list(range(60)), deliver)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(download.run(), 0.5)
        self.assertEqual(staged, set(range(60)) - lost)
