"""Brings all chunks of one version that an engine lacks, each as soon as it can be had."""

import asyncio
import collections.abc

from ..core.manifest import Manifest, decode_manifest
from ..decisions.chunk_plan import ChunkPlan
from ..decisions.inbound_rate_limit import ON_TIME_SECONDS
from .distributor import Distributor

# Chunks that this sidecar draws from the origin, at once: enough that the next is under
# way while one ends, few enough that each comes soon and is passed on meanwhile.
DRAWS_AT_ONCE = 2
# How long draws go before all else; with an origin that is gone the rest must not wait longer.
DRAWS_FIRST_SECONDS = 2.0
# Asked of peers meanwhile, so that they know of this sidecar, which they wait for.
ASKS_WHILE_DRAWING = 2
# Chunks that it brings in from another region, at once. Its senders there are several.
IMPORTS_AT_ONCE = 4

Deliver = collections.abc.Callable[[int, bytes], collections.abc.Awaitable[None]]


async def fetch_manifest(
    distributor: Distributor, root: str, region_of: dict[str, str], origin_region: str
) -> Manifest:
    """Returns a version's verified manifest, which travels as a chunk does."""
    plan = ChunkPlan(root, (root,), region_of, origin_region)
    return decode_manifest(await distributor.fetch(plan, root), root)


class VersionDownload:
    """One version on its way to one engine. Cancelling run ends every request for it."""

    __slots__ = ("_distributor", "_plan", "_manifest", "_deliver", "_places")
    __slots__ += ("_group", "_asking", "_askers", "_draws_first")

    def __init__(
        self,
        distributor: Distributor,
        plan: ChunkPlan,
        manifest: Manifest,
        missing: list[int],
        deliver: Deliver,
        draws_first: bool = True,
    ) -> None:
        """Takes what is missing, and what to call with each chunk.

        Args:
          draws_first: What is drawn from the origin goes before all else for a while, as where
            this instance's link is too narrow for both.
        """
        self._distributor = distributor
        self._plan = plan
        self._manifest = manifest
        self._deliver = deliver
        self._places: dict[str, list[int]] = {}
        self._group: asyncio.TaskGroup | None = None
        self._asking: collections.abc.Iterator[str] | None = None
        self._askers = 0
        self._draws_first = draws_first
        for index in missing:
            self._places.setdefault(manifest.chunks[index], []).append(index)

    async def run(self) -> None:
        """Returns once every missing chunk has been delivered."""
        store = self._distributor.store
        store.expected = set(self._places)
        store.undecided = False
        store.wake_all()
        draws: list[str] = []
        imports: list[str] = []
        asks: list[str] = []
        for digest in self._places:
            index = self._plan.index_of(digest)
            if not self._distributor.is_carrier(self._plan, index):
                asks.append(digest)
            elif self._distributor.is_first_region(self._plan, index):
                draws.append(digest)
            else:
                imports.append(digest)
        # Three lanes: were there one, chunks that others wait for would stand in line behind
        # chunks that this sidecar itself waits for, and the whole fleet would wait in turn.
        async with asyncio.TaskGroup() as group:
            drawing = self._start_lane(group, draws, DRAWS_AT_ONCE)
            asking = iter(asks)
            self._start(group, asking, min(ASKS_WHILE_DRAWING, len(asks)))
            if drawing and self._draws_first:
                # What it draws nobody else has. Were the link shared with what it asks of
                # others, one slow instance would keep its part from the whole fleet for
                # seconds, and for as long as the origin is away if that fails meanwhile.
                await asyncio.wait(drawing, timeout=DRAWS_FIRST_SECONDS)
            self._start_lane(group, imports, IMPORTS_AT_ONCE)
            self._group = group
            self._asking = asking
            self._askers = ASKS_WHILE_DRAWING
            self._widen()

    def _start_lane(
        self, group: asyncio.TaskGroup, lane: list[str], workers: int
    ) -> list[asyncio.Task]:
        return self._start(group, iter(lane), min(workers, len(lane)))

    def _start(
        self, group: asyncio.TaskGroup, work: collections.abc.Iterator[str], workers: int
    ) -> list[asyncio.Task]:
        return [group.create_task(self._work(work)) for _ in range(workers)]

    def _widen(self) -> None:
        """Asks for one chunk more at once, while the last came as soon as it was sent.

        An instance's link may be narrower than its settings say. A dozen chunks sent to it at
        once then stand before its engine's requests for seconds: callers have left by the time
        that their requests arrive.
        """
        if self._asking is None or self._askers >= self._distributor.asks_at_once(self._plan):
            return
        if self._distributor.late_seconds <= ON_TIME_SECONDS:
            self._askers += 1
            self._start(self._group, self._asking, 1)

    async def _work(self, digests: collections.abc.Iterator[str]) -> None:
        for digest in digests:
            content = await self._distributor.fetch(self._plan, digest)
            self._widen()
            for index in self._places[digest]:
                await self._deliver(index, content)
            self._distributor.store.expected.discard(digest)
