"""Downloads the chunks of a version that an engine lacks, each as soon as it is available."""

import asyncio
import collections
import collections.abc

from ..core.manifest import Manifest, decode_manifest
from ..decisions.chunk_plan import ChunkPlan
from ..decisions.inbound_rate_limit import ON_TIME_SECONDS
from .chunk_requester import REQUEST_WAIT_SECONDS
from .distributor import Distributor, FetchAttempts

# Concurrent fetches from the origin: enough that the next is in flight while one completes, few
# enough that each chunk arrives soon and can be served to peers meanwhile.
MAX_ORIGIN_FETCHES = 2
# How long origin fetches take precedence over other transfers. If the origin is unreachable, the
# other transfers must not wait longer than this.
ORIGIN_FIRST_SECONDS = 2.0
# Concurrent requests to peers during that time. Peers wait for this sidecar's chunks and learn
# from these requests that it is up.
PEER_REQUESTS_AT_START = 2
# Concurrent fetches from another region, where several peers send to this sidecar.
MAX_IMPORTS = 4
# The same for a relay. Most of them wait until the other region has the chunk. A relay that waits
# for a few late chunks does not get those that are already there, and every region behind it waits.
MAX_RELAY_IMPORTS = 16
# For how long peers may hold a request for a chunk that they lack while others could be asked for:
# briefly at first, because those may lie ready, then longer, because nothing seems to.
MIN_HOLD_SECONDS = 0.05
MAX_HOLD_SECONDS = 0.8

Deliver = collections.abc.Callable[[int, bytes], collections.abc.Awaitable[None]]


async def fetch_manifest(
    distributor: Distributor, root: str, region_of: dict[str, str], origin_region: str
) -> Manifest:
    """Returns a version's verified manifest, which is distributed as a chunk itself."""
    plan = ChunkPlan(root, (root,), region_of, origin_region)
    return decode_manifest(await distributor.fetch(plan, root), root)


class VersionDownload:
    """The download of one version for one engine. Cancelling `run` cancels all its requests."""

    __slots__ = ("_distributor", "_plan", "_manifest", "_deliver", "_places")
    __slots__ += ("_group", "_peer_queue", "_peer_workers", "_origin_first", "_attempts")
    __slots__ += ("_aside", "_aside_workers")

    def __init__(
        self,
        distributor: Distributor,
        plan: ChunkPlan,
        manifest: Manifest,
        missing: list[int],
        deliver: Deliver,
        origin_first: bool = True,
    ) -> None:
        """Creates a download.

        Args:
          missing: Indexes of the chunks to download.
          deliver: Called with the index and the content of each chunk.
          origin_first: Gives origin fetches precedence for a while, for an instance whose link
            is too narrow for both.
        """
        self._distributor = distributor
        self._plan = plan
        self._manifest = manifest
        self._deliver = deliver
        self._places: dict[str, list[int]] = {}
        self._group: asyncio.TaskGroup | None = None
        self._peer_queue: collections.deque[str] = collections.deque()
        self._attempts: dict[str, FetchAttempts] = {}
        # Chunks that no peer can be asked for, and how many tasks fetch them.
        self._aside: collections.deque[str] = collections.deque()
        self._aside_workers = 0
        self._peer_workers = 0
        self._origin_first = origin_first
        for index in missing:
            self._places.setdefault(manifest.chunks[index], []).append(index)

    async def run_in_own_task(self) -> None:
        """Runs the download so that its caller is cancelled if, and only if, somebody cancels it.

        A task group raises the errors of its tasks in place of its own cancellation. A caller that
        survives errors would then try again, and nobody would cancel it once more. Before Python
        3.12 a group that has failed may also leave its task marked as cancelled.
        """
        running = asyncio.ensure_future(self.run())
        try:
            await asyncio.wait((running,))
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        running.result()

    async def run(self) -> None:
        """Returns once every missing chunk has been delivered."""
        store = self._distributor.store
        store.expected = set(self._places)
        store.chunks_unknown = False
        store.wake_all()
        from_origin: list[str] = []
        from_regions: list[str] = []
        from_peers: list[str] = []
        for digest in self._distributor.in_request_order(self._plan, self._places):
            index = self._plan.index_of(digest)
            if not self._distributor.is_ingress_node(self._plan, index):
                from_peers.append(digest)
            elif self._distributor.is_first_region(self._plan, index):
                from_origin.append(digest)
            else:
                from_regions.append(digest)
        # Three separate queues: in a single one, chunks that peers wait for would queue behind
        # chunks that this sidecar waits for, and the delay would spread through the fleet.
        async with asyncio.TaskGroup() as group:
            origin_workers = self._start_queue(group, from_origin, MAX_ORIGIN_FETCHES)
            self._group = group
            self._peer_queue.extend(from_peers)
            for _ in range(min(PEER_REQUESTS_AT_START, len(from_peers))):
                group.create_task(self._work_on_peers())
            if origin_workers and self._origin_first:
                # No other sidecar fetches these chunks from the origin. If they shared the link
                # with requests to peers, one slow instance would delay the whole fleet by
                # seconds, or for the length of an outage if the origin fails meanwhile.
                await asyncio.wait(origin_workers, timeout=ORIGIN_FIRST_SECONDS)
            max_imports = MAX_IMPORTS if self._distributor.is_sidecar else MAX_RELAY_IMPORTS
            self._start_queue(group, from_regions, max_imports)
            self._peer_workers = PEER_REQUESTS_AT_START
            self._add_peer_worker()

    def _start_queue(
        self, group: asyncio.TaskGroup, queue: list[str], workers: int
    ) -> list[asyncio.Task]:
        work = iter(queue)
        return [group.create_task(self._work(work)) for _ in range(min(workers, len(queue)))]

    def _add_peer_worker(self) -> None:
        """Raises the number of concurrent requests by one if the last chunk arrived on time.

        An instance's link may be narrower than its settings say. A dozen chunks sent to it at
        once then delay its engine's requests by seconds, and callers give up before their
        requests arrive.
        """
        # None are added while fetches from the origin take precedence.
        if not 0 < self._peer_workers < self._distributor.max_requests(self._plan):
            return
        if self._distributor.late_seconds <= ON_TIME_SECONDS:
            self._peer_workers += 1
            self._group.create_task(self._work_on_peers())

    async def _work(self, digests: collections.abc.Iterator[str]) -> None:
        for digest in digests:
            content = await self._distributor.fetch(self._plan, digest)
            await self._complete(digest, content)

    async def _work_on_peers(self) -> None:
        """Requests chunks from peers in turn, so that one that none has yet holds up no other."""
        hold = MIN_HOLD_SECONDS
        while self._peer_queue:
            digest = self._peer_queue.popleft()
            if not self._distributor.has_peer_for(self._plan, digest):
                self._fetch_aside(digest)
                continue
            attempts = self._attempts.setdefault(digest, FetchAttempts())
            longest = hold if self._peer_queue else REQUEST_WAIT_SECONDS
            content = await self._distributor.try_fetch(self._plan, digest, attempts, longest)
            if content is None:
                hold = min(MAX_HOLD_SECONDS, 2.0 * hold)
                self._peer_queue.append(digest)
            else:
                hold = MIN_HOLD_SECONDS
                await self._complete(digest, content)

    def _fetch_aside(self, digest: str) -> None:
        """Fetches a chunk that no peer ahead of this process can be asked for.

        It may come from the origin after a delay, or not at all for as long as that is away.
        """
        self._aside.append(digest)
        if self._aside_workers < self._distributor.max_requests(self._plan):
            self._aside_workers += 1
            self._group.create_task(self._work_aside())

    async def _work_aside(self) -> None:
        while self._aside:
            digest = self._aside.popleft()
            await self._complete(digest, await self._distributor.fetch(self._plan, digest))
        self._aside_workers -= 1

    async def _complete(self, digest: str, content: bytes) -> None:
        self._add_peer_worker()
        for index in self._places[digest]:
            await self._deliver(index, content)
        self._distributor.store.expected.discard(digest)
