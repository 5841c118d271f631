"""Tests that an engine is only ever told to switch to a whole version."""

import asyncio
import random
import unittest

import hypothesis
from hypothesis import strategies

from ..core.digest import digest_of
from ..core.manifest import Manifest, build_manifest
from ..decisions.chunk_plan import ChunkPlan
from .chunk_store import ChunkStore
from .version_download import VersionDownload

CHUNK_BYTES = 4


class SlowDistributor:
    """Gives chunks after a random number of turns of the event loop."""

    def __init__(self, contents: dict[str, bytes], chance: random.Random) -> None:
        self.store = ChunkStore(16)
        self._contents = contents
        self._chance = chance

    def is_carrier(self, plan: ChunkPlan, index: int) -> bool:
        """Returns whether the plan names this sidecar."""
        return index % 3 == 0

    def is_first_region(self, plan: ChunkPlan, index: int) -> bool:
        """Returns whether its region draws."""
        return index % 2 == 0

    async def fetch(self, plan: ChunkPlan, digest: str) -> bytes:
        """Returns a chunk, sometimes late."""
        for _ in range(self._chance.randrange(6)):
            await asyncio.sleep(0)
        self.store.add(digest, self._contents[digest], self._chance.randrange(9))
        return self._contents[digest]


class VersionDownloadTest(unittest.TestCase):
    """Any order of arrivals, cancellations and changes of version."""

    @hypothesis.settings(derandomize=True, max_examples=120, deadline=None)
    @hypothesis.given(
        strategies.integers(0, 9999), strategies.lists(strategies.integers(0, 25), max_size=5)
    )
    def test_an_engine_switches_to_whole_versions_only(self, seed: int, turns: list[int]) -> None:
        """The wanted version changes again and again while chunks arrive in any order. If a
        download that was given up could end as if it were complete, callers would be
        answered from partial weights, or from two versions at once."""
        chance = random.Random(seed)
        texts = [bytes(chance.randrange(3) for _ in range(30)) for _ in range(3)]
        activated: list[int] = []

        async def bring(number: int, manifest: Manifest, contents: dict[str, bytes]) -> None:
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

        async def play() -> None:
            work: asyncio.Task | None = None
            for number, wait in enumerate([*turns, 10_000]):
                text = texts[number % 3]
                manifest = build_manifest(text, CHUNK_BYTES)
                pieces = (text[i : i + CHUNK_BYTES] for i in range(0, len(text), CHUNK_BYTES))
                contents = {digest_of(piece): piece for piece in pieces}
                if work is not None:
                    work.cancel()
                    await asyncio.wait((work,))
                work = asyncio.ensure_future(bring(number % 3, manifest, contents))
                for _ in range(wait):
                    if work.done():
                        break
                    await asyncio.sleep(0)
            await work

        asyncio.run(play())
        self.assertEqual(activated[-1], len(turns) % 3)
