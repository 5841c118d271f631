"""Fetches the chunks of a version for one process and serves them to its peers."""

import asyncio
import collections.abc
import contextlib

from tornado import httpclient

from ..config.settings import Settings
from ..core import waiting
from ..core.errors import CodedError
from ..decisions import chunk_source_choice
from ..decisions.chunk_order import request_order
from ..decisions.chunk_peer_health import SLOW_BACKOFF_SECONDS
from ..decisions.chunk_plan import ChunkPlan
from ..decisions.chunk_source_choice import FetchStep, FetchStepKind, Requester
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.member_view import MemberView
from ..peers.membership import Membership
from .chunk_requester import REQUEST_WAIT_SECONDS, ChunkRequester
from .chunk_state import ChunkState
from .chunk_store import ChunkStore
from .link_pacer import LinkPacer
from .origin_fetcher import CorruptContentError, OriginFetcher
from .transfer_counts import TransferCounts

# A sidecar that has received no request yet assumes that peers don't know it, ranks itself last and
# waits for its peers. They may know it after all and wait for the chunks that the plan assigns to
# it. It therefore waits only briefly before it checks again; otherwise each would wait for the
# other until the longer wait ends.
UNKNOWN_WAIT_SECONDS = 0.5
# Full waits for a chunk after which a peer that is itself waiting for it is skipped.
WAITS_BEFORE_SKIP = 4
# Rounds of probes before a fetch from the origin, if some engine already serves the version.
PROBE_ROUNDS_WHEN_ACTIVE = 4
# How long after the start of a version a process assumes that peers know it.
ASSUMED_KNOWN_SECONDS = 1.0
# Pause after a failed fetch from the origin until peers are asked again.
MIN_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 0.75
# Pause between tries at an origin that refuses. Each second between its return and the next try
# delays the version on all engines.
ORIGIN_RETRY_SECONDS = 0.1
# Rounds in which a sidecar that suspects its own link leaves a chunk to its peers before it fetches
# the chunk from the origin itself. Peers notice within two seconds that they wait for it. A second
# fetch would cost the origin one more copy and compete with what peers send over the same link.
OWN_LINK_DOUBT_ROUNDS = 3
# Concurrent requests to relays. A relay's link is wider than the requester's, so the requester sets
# the rate; otherwise requests to its engine would queue behind the chunks.
MAX_RELAY_REQUESTS = 4
# Concurrent requests to other peers. Most of them wait until the peer has the chunk itself.
MAX_PEER_REQUESTS = 12


class FetchAttempts:
    """The attempts to get one chunk.

    Attributes:
      waiting_since: When a peer was first asked in vain since one was last skipped, by the event
        loop's clock; None if none was.
      rounds: The attempts without a peer to ask.
      skips_peers: Whether the next attempt asks who holds or draws the chunk now, and else the
        origin, whoever is ahead in the order.
    """

    __slots__ = ("waiting_since", "rounds", "skips_peers")

    def __init__(self) -> None:
        self.waiting_since: float | None = None
        self.rounds = 0
        self.skips_peers = False


class Distributor:
    """One process's part in the distribution: its chunk store, peer health and requests.

    Attributes:
      learns_versions_late: Whether requesters may learn of a version before this process does. A
        chunk of no known version is then reported as coming; if it were reported as lacking,
        requesters would skip this process for seconds.
      active_elsewhere: Whether the version is known to be active on some engine, so that peers
        hold it.
      on_corrupt_draw: Called with the digest of a chunk that was asked of the origin, and with that
        of what came instead. A CodedError that it raises ends the download.
    """

    __slots__ = ("_settings", "_origin", "_log", "chunk_requester", "store", "pacer", "counts")
    __slots__ += (
        "active_elsewhere",
        "on_corrupt_draw",
        "learns_versions_late",
        "_requested",
        "_begun_at",
        "_serial_requests",
    )
    __slots__ += ("_in_progress", "_logged_lacking")

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        client: httpclient.AsyncHTTPClient,
        origin: OriginFetcher,
        in_progress: collections.abc.Callable[[], int],
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._origin = origin
        self._log = log
        self.store = ChunkStore(settings.chunk_memory_bytes)
        self.pacer = LinkPacer(settings.region, settings.link_mbit, in_progress)
        self.counts = TransferCounts()
        self.chunk_requester = ChunkRequester(settings, membership, client, self.counts, log)
        self.learns_versions_late = False
        self.active_elsewhere = False
        self.on_corrupt_draw = ignore_corrupt_draw
        self._requested = asyncio.Event()
        self._begun_at = 0.0
        self._serial_requests = asyncio.Lock()
        self._in_progress = in_progress
        # The peers whose lack of a chunk of this version was logged.
        self._logged_lacking: set[str] = set()

    @property
    def late_seconds(self) -> float:
        """How many seconds later than expected the last chunk from a peer was complete."""
        return self.chunk_requester.late_seconds

    @property
    def link_mbit(self) -> float:
        """The rate of this instance's link in megabits per second."""
        return self._settings.link_mbit

    @property
    def is_sidecar(self) -> bool:
        """Whether this process stands beside an endpoint; otherwise it is a relay."""
        return self._settings.role == "sidecar"

    def state_of(self, digest: str, requester_revision: int = 0) -> ChunkState:
        """Returns the state of a chunk in this process."""
        if self.store.get(digest) is not None:
            return ChunkState.HELD
        if digest in self.store.fetching_from_origin:
            return ChunkState.DRAWING
        if digest in self.store.withdrawn:
            return ChunkState.LACKING
        # A requester with a newer configuration may need a chunk that this process will need in a
        # moment. LACKING would send it to the origin for a chunk that is about to arrive here.
        behind = requester_revision > self.chunk_requester.revision
        newer = self.learns_versions_late and not self.store.is_wanted(digest)
        if digest in self.store.expected or self.store.chunks_unknown or behind or newer:
            return ChunkState.COMING
        return ChunkState.LACKING

    def record_sent(self, digest: str, region: str, size: int) -> None:
        """Records that a chunk was sent to a peer."""
        self.store.record_served(digest)
        if region == self._settings.region:
            self.counts.to_own_region += size
        else:
            self.counts.to_other_regions += size

    def share_link(self, plan: ChunkPlan) -> None:
        """Sets this process's share of the link between regions from the usable ingress nodes."""
        region = plan.regions.get(self._settings.region)
        if region is None:
            return
        now = asyncio.get_running_loop().time()
        members = self.chunk_requester.members()
        ingress_nodes = [
            name
            for name in region.ingress_nodes
            if name == self._settings.name
            or (name in members and not self.chunk_requester.health.is_skipped(name, now))
        ]
        # Any member may stand in for dead ingress nodes, so each takes a share small enough that
        # all members together stay within the link's limit.
        mine = self._settings.name in region.ingress_nodes
        self.pacer.senders = len(ingress_nodes) if mine else len(region.names)

    def is_ingress_node(self, plan: ChunkPlan, index: int) -> bool:
        """Returns whether the plan assigns this process to bring a chunk into its region."""
        region = plan.regions.get(self._settings.region)
        return region is not None and region.ingress_node(index) == self._settings.name

    def is_first_region(self, plan: ChunkPlan, index: int) -> bool:
        """Returns whether the plan assigns this region to fetch a chunk from the origin."""
        return plan.region_order(index)[0] == self._settings.region

    def in_request_order(
        self, plan: ChunkPlan, digests: collections.abc.Collection[str]
    ) -> list[str]:
        """Returns the digests of some chunks in the order in which to request them."""
        region = plan.regions.get(self._settings.region)
        if region is None:
            return list(digests)
        by_index = {plan.index_of(digest): digest for digest in digests}
        order = request_order(region, plan.chunk_count, self._settings.name, by_index)
        return [by_index[index] for index in order]

    def max_requests(self, plan: ChunkPlan) -> int:
        """Returns the limit of concurrent chunk requests to peers."""
        region = plan.regions.get(self._settings.region)
        relays = region.relays if region is not None else ()
        now = self._now()
        usable = any(
            name in self.chunk_requester.members()
            and not self.chunk_requester.health.is_skipped(name, now)
            for name in relays
        )
        if usable and self._settings.name not in relays:
            return MAX_RELAY_REQUESTS
        return MAX_PEER_REQUESTS

    def has_peer_for(self, plan: ChunkPlan, digest: str) -> bool:
        """Returns whether a chunk is here, or a peer is to be asked for it next."""
        if self.store.get(digest) is not None:
            return True
        step = self._find_step(plan, plan.index_of(digest), digest)
        return step.kind is FetchStepKind.FROM_PEER

    async def fetch(self, plan: ChunkPlan, digest: str) -> bytes:
        """Returns a verified chunk from the store, a peer or the origin, with retries."""
        attempts = FetchAttempts()
        while (content := await self.try_fetch(plan, digest, attempts)) is None:
            pass
        return content

    async def try_fetch(
        self,
        plan: ChunkPlan,
        digest: str,
        attempts: "FetchAttempts",
        max_hold: float = REQUEST_WAIT_SECONDS,
    ) -> bytes | None:
        """Returns a verified chunk, or None if one attempt to get it was in vain.

        Args:
          attempts: The attempts so far, to which this one is added.
          max_hold: For how many seconds a peer may hold the request until it has the chunk.
        """
        content = self.store.get(digest)
        if content is not None:
            return content
        index = plan.index_of(digest)
        step = self._find_step(plan, index, digest)
        if attempts.skips_peers:
            attempts.skips_peers = False
            content = await self._fetch_past_peers(plan, index, digest, attempts.rounds)
        elif step.is_holder:
            content = await self._request_from_listed(step.peer, digest, max_hold)
        elif step.kind is FetchStepKind.FROM_PEER:
            content = await self._request_from(step.peer, digest, attempts, max_hold)
        else:
            content = await self._fetch_into_region(plan, index, digest, step, attempts.rounds)
            attempts.rounds += 1
        if content is not None:
            self._store_chunk(plan, index, digest, content)
        return content

    async def _request_from(
        self, peer: str, digest: str, attempts: "FetchAttempts", max_hold: float
    ) -> bytes | None:
        hold = min(self._hold_seconds(), max_hold)
        asked_at = self._now()
        content, state = await self._request(peer, digest, hold)
        # Counted from the first request, because there are pauses between short ones.
        if attempts.waiting_since is None:
            attempts.waiting_since = asked_at
        stuck = self._now() - attempts.waiting_since >= WAITS_BEFORE_SKIP * self._hold_seconds()
        if stuck:
            # Processes whose lists of members differ may wait for each other. Each of them leaves
            # the order from time to time, so that such a wait ends.
            attempts.waiting_since = None
            attempts.skips_peers = content is None
        if state is ChunkState.LACKING or (state is ChunkState.COMING and stuck):
            # A peer that only waits itself is skipped too, because its path to the chunk
            # may be cut while another path works.
            self._record_lack(peer, digest, state, self._now() - asked_at, listed=False)
        return content

    async def _request_from_listed(self, peer: str, digest: str, max_hold: float) -> bytes | None:
        """Requests a chunk from a listed holder; one that does not have it is passed over.

        After a loss of power the list still names engines that have nothing any more, and their
        sidecars wait for the process that asks.
        """
        asked_at = self._now()
        settling = chunk_source_choice.listed_hold_seconds(asked_at - self._begun_at)
        hold = min(self._hold_seconds(), max_hold)
        content, state = await self._request(peer, digest, min(hold, settling))
        if state is ChunkState.DRAWING and not settling:
            # It waits for the origin and for nobody else.
            content, state = await self._request(peer, digest, hold)
        elapsed = self._now() - asked_at
        if state is ChunkState.LACKING or (state is ChunkState.COMING and elapsed >= settling):
            self._record_lack(peer, digest, state, elapsed, listed=True)
        return content

    async def _request(
        self, peer: str, digest: str, hold: float
    ) -> tuple[bytes | None, ChunkState | None]:
        async with self._request_slot():
            return await self.chunk_requester.request_chunk(
                peer, digest, hold, self._inbound_rate(peer)
            )

    def _record_lack(
        self, peer: str, digest: str, state: ChunkState, seconds: float, listed: bool
    ) -> None:
        """Passes a peer over for a chunk, and logs the first of each version that it lacks."""
        self.chunk_requester.health.record_lack(peer, digest, self._now())
        if peer not in self._logged_lacking:
            self._logged_lacking.add(peer)
            self._log.write(
                Event.CHUNK_LACKING,
                chunk=digest,
                peer=peer,
                state=state.value,
                listed=listed,
                seconds=round(seconds, 3),
            )

    async def prefetch(
        self,
        digests: collections.abc.Iterable[str],
        sources: collections.abc.Collection[str],
        go_on: collections.abc.Callable[[], bool],
    ) -> None:
        """Fetches chunks into the store from peers that hold all of them, and from nobody else.

        Args:
          sources: The names of these peers.
          go_on: Whether to begin with a further chunk.
        """
        queue = iter([digest for digest in digests if self.store.get(digest) is None])

        async def work() -> None:
            for digest in queue:
                if not go_on():
                    return
                usable = self._usable(digest, self.chunk_requester.members())
                source = chunk_source_choice.find_holder(
                    sources, self._settings.name, digest, usable
                )
                if not source:
                    return
                rate = self.chunk_requester.inbound_limit.rate / MAX_RELAY_REQUESTS
                content, _ = await self.chunk_requester.request_chunk(source, digest, 0.0, rate)
                if content is not None:
                    self.store.add(digest, content)

        await asyncio.gather(*(work() for _ in range(MAX_RELAY_REQUESTS)))

    def begin_version(self) -> None:
        """Resets the state that belongs to the previous target version."""
        self._requested.clear()
        self.store.withdrawn.clear()
        self._logged_lacking.clear()
        self._begun_at = self._now()

    def record_request(self) -> None:
        """Records a peer's request, which shows that peers know this process."""
        self._requested.set()

    def skipped_peers(self) -> list[str]:
        """Returns the peers that are currently skipped."""
        return self.chunk_requester.health.skipped_names(self._now())

    def _inbound_rate(self, peer: str) -> float:
        """Returns the rate limit in bytes per second for a peer; zero leaves it to the peer."""
        inbound_limit = self.chunk_requester.inbound_limit
        if self._yields_link():
            return inbound_limit.rate
        if self.is_sidecar and peer in self.chunk_requester.relays:
            return inbound_limit.link_rate / MAX_RELAY_REQUESTS
        return 0.0

    @contextlib.asynccontextmanager
    async def _request_slot(self) -> collections.abc.AsyncIterator[None]:
        """Serializes chunk requests while a narrow link is needed for requests to the engine."""
        if not self._yields_link():
            yield
            return
        async with self._serial_requests:
            yield

    def _yields_link(self) -> bool:
        """Returns whether weights yield a narrow link to requests for the local engine."""
        return (
            self.is_sidecar
            and self.chunk_requester.inbound_limit.narrow
            and self._in_progress() > 0
        )

    def _hold_seconds(self) -> float:
        """Returns how many seconds a peer may hold a request for a chunk that it expects."""
        return REQUEST_WAIT_SECONDS if self._known_to_peers() else UNKNOWN_WAIT_SECONDS

    def _known_to_peers(self) -> bool:
        """Returns whether peers are assumed to know this process."""
        return self._requested.is_set() or self._now() < self._begun_at + ASSUMED_KNOWN_SECONDS

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _make_requester(self, members: dict[str, MemberView]) -> Requester:
        name = self._settings.name
        # Peers whose lists lack this instance would not request the chunks that it fetched from the
        # origin, and would fetch them again. It therefore ranks last until peers know it.
        return Requester(name, self._settings.region, self._known_to_peers())

    def _usable(
        self, digest: str, members: dict[str, MemberView]
    ) -> chunk_source_choice.PeerPredicate:
        now = self._now()

        def usable(name: str) -> bool:
            return (
                name in members
                and name != self._settings.name
                and not self.chunk_requester.health.is_skipped(name, now)
                and not self.chunk_requester.health.has_recent_lack(name, digest, now)
            )

        return usable

    def _find_step(self, plan: ChunkPlan, index: int, digest: str) -> FetchStep:
        members = self.chunk_requester.members()
        requester = self._make_requester(members)
        usable = self._usable(digest, members)
        if self._settings.weights_from == "origin":
            return FetchStep(FetchStepKind.FROM_ORIGIN)
        if self._settings.weights_from == "chain":
            return chunk_source_choice.find_chain_step(plan, requester, usable)
        holders = self.chunk_requester.holders
        return chunk_source_choice.choose_source(plan, requester, index, digest, holders, usable)

    def _store_chunk(self, plan: ChunkPlan, index: int, digest: str, content: bytes) -> None:
        requester = self._make_requester(self.chunk_requester.members())
        rank = chunk_source_choice.retention_rank(plan, requester, digest)
        self.share_link(plan)
        self.store.add(
            digest, content, rank, chunk_source_choice.count_children(plan, requester, index)
        )

    async def _fetch_into_region(
        self, plan: ChunkPlan, index: int, digest: str, step: FetchStep, rounds: int
    ) -> bytes | None:
        """Fetches a chunk that no peer ahead can provide; None means to find the next step anew."""
        is_baseline = self._settings.weights_from != "peers"
        if not is_baseline:
            await self._wait_before_origin(plan, step, rounds)
            if self._find_step(plan, index, digest).kind is not FetchStepKind.FROM_ORIGIN:
                return None
            found, content = await self._request_from_holder(plan, index, digest, rounds)
            if found or (self.active_elsewhere and rounds < PROBE_ROUNDS_WHEN_ACTIVE):
                return content
            if rounds < OWN_LINK_DOUBT_ROUNDS and self.chunk_requester.own_link_suspected():
                await asyncio.sleep(SLOW_BACKOFF_SECONDS)
                return None
        return await self._draw(index, digest, rounds)

    async def _fetch_past_peers(
        self, plan: ChunkPlan, index: int, digest: str, rounds: int
    ) -> bytes | None:
        """Fetches a chunk from who holds or draws it now, or else from the origin."""
        found, content = await self._request_from_holder(plan, index, digest, rounds)
        return content if found else await self._draw(index, digest, rounds)

    async def _draw(self, index: int, digest: str, rounds: int) -> bytes | None:
        """Fetches a chunk from the origin; None if that failed and a pause has passed since.

        While the origin refuses, it is tried again during the pause, at the cost of a connection:
        peers, which are asked after each pause, cost far more, and the origin's return decides
        when all engines have the version.
        """
        pause_ends = self._now() + min(MAX_PAUSE_SECONDS, MIN_PAUSE_SECONDS * 2 ** min(rounds, 5))
        logged = rounds > 0
        while True:
            began = self._now()
            self.store.fetching_from_origin.add(digest)
            try:
                content = await self._origin.fetch(digest)
                self.counts.from_origin += len(content)
                self._log.write(Event.CHUNK_DRAWN, chunk=digest, place=index, bytes=len(content))
                return content
            except CodedError as error:
                failure = error
            finally:
                self.store.fetching_from_origin.discard(digest)
                self.store.wake(digest)
                self.chunk_requester.record_origin_duration(self._now() - began)
            if not logged:
                logged = True
                self._log.write(Event.CHUNK_DRAW_FAILED, chunk=digest, code=failure.code)
            if isinstance(failure, CorruptContentError):
                await self.on_corrupt_draw(digest, failure.actual)
            left = pause_ends - self._now()
            refused = failure.code == "source_unreachable"
            await asyncio.sleep(max(0.0, min(left, ORIGIN_RETRY_SECONDS) if refused else left))
            if self._now() >= pause_ends:
                return None

    async def _wait_before_origin(self, plan: ChunkPlan, step: FetchStep, rounds: int) -> None:
        """Waits before a fetch from the origin, first for a request that shows that peers know
        this process, then for its delay in the plan's order."""
        alone = sum(len(region.names) for region in plan.regions.values()) == 1
        grace_seconds = self._begun_at + ASSUMED_KNOWN_SECONDS - self._now()
        if not alone and not self._requested.is_set() and grace_seconds > 0:
            with contextlib.suppress(TimeoutError):
                await waiting.wait_for(self._requested.wait(), grace_seconds)
        if rounds > 0 or alone:
            return
        if self._requested.is_set():
            await asyncio.sleep(step.delay)
        else:
            # The wait is counted from the start of the version, not for each chunk; otherwise the
            # only process left of a fleet would wait again for every chunk.
            remaining = self._begun_at + chunk_source_choice.MAX_ORIGIN_DELAY_SECONDS - self._now()
            await asyncio.sleep(max(0.0, min(remaining, step.delay)))

    async def _request_from_holder(
        self, plan: ChunkPlan, index: int, digest: str, rounds: int
    ) -> tuple[bool, bytes | None]:
        """Probes for a peer that holds the chunk or is fetching it, and requests it there.

        Returns:
          Whether such a peer was found, and the content if it sent it.
        """
        members = self.chunk_requester.members()
        requester = self._make_requester(members)
        # Includes peers that lacked the chunk a moment ago: they may have it now, and probes are
        # cheap.
        now = self._now()
        names = chunk_source_choice.choose_probes(
            plan,
            requester,
            index,
            digest,
            lambda name: name in members and not self.chunk_requester.health.is_skipped(name, now),
            rounds,
        )
        states = await self.chunk_requester.probe(names, digest)
        for wanted in (ChunkState.HELD, ChunkState.DRAWING):
            for name, state in zip(names, states, strict=True):
                if state is wanted:
                    content, _ = await self.chunk_requester.request_chunk(name, digest)
                    return True, content
        return False, None


async def ignore_corrupt_draw(digest: str, actual: str) -> None:
    """The default on_corrupt_draw callback; does nothing."""
