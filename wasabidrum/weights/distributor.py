"""Fetches the chunks of a version for one process and serves them to its peers."""

import asyncio
import collections.abc
import contextlib

from tornado import httpclient

from ..config.settings import Settings
from ..core.errors import CodedError
from ..decisions import chunk_source_choice
from ..decisions.chunk_peer_health import SLOW_BACKOFF_SECONDS
from ..decisions.chunk_plan import ChunkPlan
from ..decisions.chunk_source_choice import FetchStep, FetchStepKind, Requester
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.member_view import MemberView
from ..peers.membership import Membership
from .chunk_state import ChunkState
from .chunk_store import ChunkStore
from .link_pacer import LinkPacer
from .origin_draw import OriginDraw
from .peer_asker import ASK_WAIT_SECONDS, PeerAsker
from .transfer_counts import TransferCounts

# A sidecar that has received no request yet assumes that peers don't know it, ranks itself last and
# waits for its peers. They may know it after all and wait for the chunks that the plan assigns to
# it. It therefore waits only briefly before it checks again; otherwise each would wait for the
# other until the longer wait ends.
UNKNOWN_WAIT_SECONDS = 0.5
WAITS_BEFORE_OTHERS = 4
PROBE_ROUNDS_WHEN_SPREAD = 4
KNOWN_WITHIN_SECONDS = 1.0
# Pause between failed fetches from the origin. A try at an origin that is down costs one refused
# connection; each second between its return and the next try delays the version on all engines.
FIRST_PAUSE_SECONDS = 0.25
LONGEST_PAUSE_SECONDS = 0.75
# Rounds in which a sidecar that suspects its own link leaves a chunk to its peers before it fetches
# the chunk from the origin itself. Peers notice within two seconds that they wait for it. A second
# fetch would cost the origin one more copy and compete with what peers send over the same link.
ROUNDS_IN_DOUBT = 3
# Concurrent requests to relays. A relay's link is wider than the requester's, so the requester sets
# the rate; otherwise requests to its engine would queue behind the chunks.
RELAY_ASKS_AT_ONCE = 4
# Concurrent requests to other peers. Most of them wait until the peer has the chunk itself.
ASKS_AT_ONCE = 12


class Distributor:
    """One process's part in the distribution: its chunk store, peer health and requests.

    Attributes:
      hears_late: Whether requesters may learn of a version before this process does. A chunk of no
        known version is then reported as coming; if it were reported as lacking, requesters would
        skip this process for seconds.
      spread: Whether the version is known to be active on some engine, so that peers hold it.
    """

    __slots__ = ("_settings", "_origin", "_log", "asker", "store", "pacer", "counts")
    __slots__ += ("spread", "hears_late", "_asked", "_begun_at", "_one_at_a_time")
    __slots__ += ("_in_progress",)

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        client: httpclient.AsyncHTTPClient,
        origin: OriginDraw,
        in_progress: collections.abc.Callable[[], int],
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._origin = origin
        self._log = log
        self.store = ChunkStore(settings.chunk_memory_bytes)
        self.pacer = LinkPacer(settings.region, settings.link_mbit, in_progress)
        self.counts = TransferCounts()
        self.asker = PeerAsker(settings, membership, client, self.counts, log)
        self.hears_late = False
        self.spread = False
        self._asked = asyncio.Event()
        self._begun_at = 0.0
        self._one_at_a_time = asyncio.Lock()
        self._in_progress = in_progress

    @property
    def late_seconds(self) -> float:
        """How many seconds later than expected the last chunk from a peer was complete."""
        return self.asker.late_seconds

    @property
    def _beside_engine(self) -> bool:
        return self._settings.role == "sidecar"

    def state_of(self, digest: str, asker_revision: int = 0) -> ChunkState:
        """Returns the state of a chunk in this process."""
        if self.store.get(digest) is not None:
            return ChunkState.HELD
        if digest in self.store.drawing:
            return ChunkState.DRAWING
        # A requester with a newer configuration may need a chunk that this process will need in a
        # moment. LACKING would send it to the origin for a chunk that is about to arrive here.
        behind = asker_revision > self.asker.revision
        newer = self.hears_late and not self.store.is_wanted(digest)
        if digest in self.store.expected or self.store.undecided or behind or newer:
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
        """Sets this process's share of the link between regions from the usable carriers."""
        region = plan.regions.get(self._settings.region)
        if region is None:
            return
        now = asyncio.get_running_loop().time()
        members = self.asker.members()
        carriers = [
            name
            for name in region.carriers
            if name == self._settings.name
            or (name in members and not self.asker.evidence.is_skipped(name, now))
        ]
        # Any member may stand in for dead carriers, so each takes a share small enough that all
        # members together stay within the link's limit.
        mine = self._settings.name in region.carriers
        self.pacer.senders = len(carriers) if mine else len(region.names)

    def is_carrier(self, plan: ChunkPlan, index: int) -> bool:
        """Returns whether the plan assigns this process to bring a chunk into its region."""
        region = plan.regions.get(self._settings.region)
        return region is not None and region.carrier(index) == self._settings.name

    def is_first_region(self, plan: ChunkPlan, index: int) -> bool:
        """Returns whether the plan assigns this region to fetch a chunk from the origin."""
        return plan.region_order(index)[0] == self._settings.region

    def asks_at_once(self, plan: ChunkPlan) -> int:
        """Returns the limit of concurrent chunk requests to peers."""
        region = plan.regions.get(self._settings.region)
        relays = region.relays if region is not None else ()
        now = self._now()
        usable = any(
            name in self.asker.members() and not self.asker.evidence.is_skipped(name, now)
            for name in relays
        )
        if usable and self._settings.name not in relays:
            return RELAY_ASKS_AT_ONCE
        return ASKS_AT_ONCE

    async def fetch(self, plan: ChunkPlan, digest: str) -> bytes:
        """Returns a verified chunk from the store, a peer or the origin; retries until it can."""
        waits = rounds = 0
        while (content := self.store.get(digest)) is None:
            index = plan.index_of(digest)
            step = self._find_step(plan, index, digest)
            if step.kind is FetchStepKind.FROM_PEER:
                async with self._turn():
                    rate = self._inbound_rate(step.peer)
                    content, state = await self.asker.ask(step.peer, digest, self._patience(), rate)
                waits += 1
                stuck = waits % WAITS_BEFORE_OTHERS == 0
                if state is ChunkState.LACKING or (state is ChunkState.COMING and stuck):
                    # A peer that only waits itself is skipped too, because its path to the chunk
                    # may be cut while another path works.
                    self.asker.evidence.record_lack(step.peer, digest, self._now())
            else:
                content = await self._bring_in(plan, index, digest, step, rounds)
                rounds += 1
            if content is not None:
                self._keep(plan, index, digest, content)
                return content
        return content

    def begin(self) -> None:
        """Resets the state that belongs to the previous target version."""
        self._asked.clear()
        self._begun_at = self._now()

    def record_asked(self) -> None:
        """Records a peer's request, which shows that peers know this process."""
        self._asked.set()

    def avoided_names(self) -> list[str]:
        """Returns the peers that are currently skipped."""
        return self.asker.evidence.skipped_names(self._now())

    def _inbound_rate(self, peer: str) -> float:
        """Returns the rate limit in bytes per second for a peer; zero leaves it to the peer."""
        pace = self.asker.pace
        if self._yields():
            return pace.rate
        if self._beside_engine and peer in self.asker.relays:
            return pace.link_rate / RELAY_ASKS_AT_ONCE
        return 0.0

    @contextlib.asynccontextmanager
    async def _turn(self) -> collections.abc.AsyncIterator[None]:
        """Serializes chunk requests while a narrow link is needed for requests to the engine."""
        if not self._yields():
            yield
            return
        async with self._one_at_a_time:
            yield

    def _yields(self) -> bool:
        """Returns whether weights yield a narrow link to requests for the local engine."""
        return self._beside_engine and self.asker.pace.narrow and self._in_progress() > 0

    def _patience(self) -> float:
        """Returns how many seconds a peer may hold a request for a chunk that it expects."""
        return ASK_WAIT_SECONDS if self._known() else UNKNOWN_WAIT_SECONDS

    def _known(self) -> bool:
        """Returns whether peers are assumed to know this process."""
        return self._asked.is_set() or self._now() < self._begun_at + KNOWN_WITHIN_SECONDS

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _asker(self, members: dict[str, MemberView]) -> Requester:
        name = self._settings.name
        # Peers whose lists lack this instance would not request the chunks that it fetched from the
        # origin, and would fetch them again. It therefore ranks last until peers know it.
        return Requester(name, self._settings.region, self._known())

    def _usable(
        self, digest: str, members: dict[str, MemberView]
    ) -> chunk_source_choice.PeerPredicate:
        now = self._now()

        def usable(name: str) -> bool:
            return (
                name in members
                and name != self._settings.name
                and not self.asker.evidence.is_skipped(name, now)
                and not self.asker.evidence.lacks(name, digest, now)
            )

        return usable

    def _find_step(self, plan: ChunkPlan, index: int, digest: str) -> FetchStep:
        members = self.asker.members()
        asker = self._asker(members)
        usable = self._usable(digest, members)
        if self._settings.weights_from == "origin":
            return FetchStep(FetchStepKind.FROM_ORIGIN)
        if self._settings.weights_from == "chain":
            return chunk_source_choice.find_chain_step(plan, asker, usable)
        relay = chunk_source_choice.find_relay(plan, asker, index, usable)
        if relay:
            return FetchStep(FetchStepKind.FROM_PEER, relay)
        holder = chunk_source_choice.find_holder(self.asker.holders, asker.name, digest, usable)
        if holder:
            return FetchStep(FetchStepKind.FROM_PEER, holder)
        return chunk_source_choice.find_step(plan, asker, index, usable)

    def _keep(self, plan: ChunkPlan, index: int, digest: str, content: bytes) -> None:
        asker = self._asker(self.asker.members())
        rank = chunk_source_choice.retention_rank(plan, asker, digest)
        self.share_link(plan)
        self.store.add(
            digest, content, rank, chunk_source_choice.count_children(plan, asker, index)
        )

    async def _bring_in(
        self, plan: ChunkPlan, index: int, digest: str, step: FetchStep, rounds: int
    ) -> bytes | None:
        """Fetches a chunk that no peer ahead can provide; None means to find the next step anew."""
        plain = self._settings.weights_from != "peers"
        if not plain:
            await self._wait_before_draw(plan, step, rounds)
            if self._find_step(plan, index, digest).kind is not FetchStepKind.FROM_ORIGIN:
                return None
            found, content = await self._ask_holders(plan, index, digest, rounds)
            if found or (self.spread and rounds < PROBE_ROUNDS_WHEN_SPREAD):
                return content
            if rounds < ROUNDS_IN_DOUBT and self.asker.own_link_suspected():
                await asyncio.sleep(SLOW_BACKOFF_SECONDS)
                return None
        self.store.drawing.add(digest)
        began = self._now()
        try:
            content = await self._origin.draw(digest)
        except CodedError as error:
            self._log.write(Event.CHUNK_DRAW_FAILED, chunk=digest, code=error.code)
            pause = min(LONGEST_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2 ** min(rounds, 5))
            content = None
        finally:
            self.store.drawing.discard(digest)
            self.store.wake(digest)
            self.asker.record_draw(self._now() - began)
        if content is None:
            await asyncio.sleep(pause)
        else:
            self.counts.from_origin += len(content)
            self._log.write(Event.CHUNK_DRAWN, chunk=digest, place=index, bytes=len(content))
        return content

    async def _wait_before_draw(self, plan: ChunkPlan, step: FetchStep, rounds: int) -> None:
        """Waits before a fetch from the origin, first for a request that shows that peers know
        this process, then for its delay in the plan's order."""
        alone = sum(len(region.names) for region in plan.regions.values()) == 1
        patience = self._begun_at + KNOWN_WITHIN_SECONDS - self._now()
        if not alone and not self._asked.is_set() and patience > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._asked.wait(), patience)
        if rounds > 0 or alone:
            return
        if self._asked.is_set():
            await asyncio.sleep(step.delay)
        else:
            # The wait is counted from the start of the version, not for each chunk; otherwise the
            # only process left of a fleet would wait again for every chunk.
            late = self._begun_at + chunk_source_choice.MAX_ORIGIN_DELAY_SECONDS - self._now()
            await asyncio.sleep(max(0.0, min(late, step.delay)))

    async def _ask_holders(
        self, plan: ChunkPlan, index: int, digest: str, rounds: int
    ) -> tuple[bool, bytes | None]:
        """Probes for a peer that holds the chunk or is fetching it, and requests it there.

        Returns:
          Whether such a peer was found, and the content if it sent it.
        """
        members = self.asker.members()
        asker = self._asker(members)
        # Includes peers that lacked the chunk a moment ago: they may have it now, and probes are
        # cheap.
        now = self._now()
        names = chunk_source_choice.choose_probes(
            plan,
            asker,
            index,
            digest,
            lambda name: name in members and not self.asker.evidence.is_skipped(name, now),
            rounds,
        )
        states = await self.asker.probe(names, digest)
        for wanted in (ChunkState.HELD, ChunkState.DRAWING):
            for name, state in zip(names, states, strict=True):
                if state is wanted:
                    content, _ = await self.asker.ask(name, digest)
                    return True, content
        return False, None
