"""Gets the chunks of a version for one sidecar, and gives them to its peers."""

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

# A sidecar that nobody has asked yet stands last in its own eyes and waits for its peers. They may
# have known it all the while, and wait for what the plan has it draw: as soon as one asks, it must
# look again, or each waits for the other until the longer wait is over.
UNKNOWN_WAIT_SECONDS = 0.5
WAITS_BEFORE_OTHERS = 4
PROBE_ROUNDS_WHEN_SPREAD = 4
KNOWN_WITHIN_SECONDS = 1.0
# Between two draws that fail. An origin that is gone costs a refused connection a try; each second
# that passes between its return and the next try is one in which no engine has the version.
FIRST_PAUSE_SECONDS = 0.25
LONGEST_PAUSE_SECONDS = 0.75
# How often a sidecar whose own link is narrow lets others draw a chunk, before it does so itself.
# They notice within two seconds that they wait for it, and what it draws besides costs the origin
# a chunk and takes its link from what they send it.
ROUNDS_IN_DOUBT = 3
# Chunks asked of relays at once. A relay's link is wider than the asker's, so that the asker says
# how fast it may send; requests to the engine would wait behind the chunks otherwise.
RELAY_ASKS_AT_ONCE = 4
# Chunks asked of other peers at once. Most of these wait for the peer to get the chunk.
ASKS_AT_ONCE = 12


class Distributor:
    """One sidecar's part in the distribution: its store, its evidence and its requests."""

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
        # Whether a chunk of no known version is taken for one of a version that is heard of later
        # here than at those who ask; refused, they would pass this process over for seconds.
        self.hears_late = False
        # Whether the version is known to be in force somewhere, so that peers hold it.
        self.spread = False
        self._asked = asyncio.Event()
        self._begun_at = 0.0
        self._one_at_a_time = asyncio.Lock()
        self._in_progress = in_progress

    @property
    def late_seconds(self) -> float:
        """How late the last chunk of a peer was whole, beyond the time that it took to send."""
        return self.asker.late_seconds

    @property
    def _beside_engine(self) -> bool:
        return self._settings.role == "sidecar"

    def state_of(self, digest: str, asker_revision: int = 0) -> ChunkState:
        """Returns what this sidecar can say of a chunk."""
        if self.store.get(digest) is not None:
            return ChunkState.HELD
        if digest in self.store.drawing:
            return ChunkState.DRAWING
        # An asker whose configuration is newer may want what this one will want in a moment.
        # To deny it here would send the asker to the origin for what is about to come.
        behind = asker_revision > self.asker.revision
        newer = self.hears_late and not self.store.is_wanted(digest)
        if digest in self.store.expected or self.store.undecided or behind or newer:
            return ChunkState.COMING
        return ChunkState.LACKING

    def record_sent(self, digest: str, region: str, size: int) -> None:
        """Records that a peer has got a chunk from here."""
        self.store.record_served(digest)
        if region == self._settings.region:
            self.counts.to_own_region += size
        else:
            self.counts.to_other_regions += size

    def share_link(self, plan: ChunkPlan) -> None:
        """Takes this sidecar's part of its region's thin link, by the carriers alive now."""
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
        # A stand-in for dead carriers is one of all, so all together keep within one share.
        mine = self._settings.name in region.carriers
        self.pacer.senders = len(carriers) if mine else len(region.names)

    def is_carrier(self, plan: ChunkPlan, index: int) -> bool:
        """Returns whether the plan names this sidecar to bring a chunk into its region."""
        region = plan.regions.get(self._settings.region)
        return region is not None and region.carrier(index) == self._settings.name

    def is_first_region(self, plan: ChunkPlan, index: int) -> bool:
        """Returns whether the plan has this sidecar's region draw a chunk from the origin."""
        return plan.region_order(index)[0] == self._settings.region

    def asks_at_once(self, plan: ChunkPlan) -> int:
        """Returns for how many chunks this instance asks its peers at once."""
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
        """Returns a verified chunk, from the store, a peer or the origin, whatever it takes."""
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
                    # One that waits for ever is passed over as well, for its own way to
                    # the chunk may be cut while another way is open.
                    self.asker.evidence.record_lack(step.peer, digest, self._now())
            else:
                content = await self._bring_in(plan, index, digest, step, rounds)
                rounds += 1
            if content is not None:
                self._keep(plan, index, digest, content)
                return content
        return content

    def begin(self) -> None:
        """Takes that another version is wanted from now on."""
        self._asked.clear()
        self._begun_at = self._now()

    def record_asked(self) -> None:
        """Records that a peer asked for something here, so that peers know of this sidecar."""
        self._asked.set()

    def avoided_names(self) -> list[str]:
        """Returns the peers passed over now."""
        return self.asker.evidence.skipped_names(self._now())

    def _inbound_rate(self, peer: str) -> float:
        """Returns the bytes a second that a peer may send here; zero where it knows itself."""
        pace = self.asker.pace
        if self._yields():
            return pace.rate
        if self._beside_engine and peer in self.asker.relays:
            return pace.link_rate / RELAY_ASKS_AT_ONCE
        return 0.0

    @contextlib.asynccontextmanager
    async def _turn(self) -> collections.abc.AsyncIterator[None]:
        """Has chunks come one at a time over a narrow link that requests need."""
        if not self._yields():
            yield
            return
        async with self._one_at_a_time:
            yield

    def _yields(self) -> bool:
        """Returns whether weights leave a narrow link to the requests of the engine beside it."""
        return self._beside_engine and self.asker.pace.narrow and self._in_progress() > 0

    def _patience(self) -> float:
        """Returns how long to wait at a peer for a chunk that it expects, in seconds."""
        return ASK_WAIT_SECONDS if self._known() else UNKNOWN_WAIT_SECONDS

    def _known(self) -> bool:
        """Returns whether peers know of this sidecar, as far as it can tell."""
        return self._asked.is_set() or self._now() < self._begun_at + KNOWN_WITHIN_SECONDS

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _asker(self, members: dict[str, MemberView]) -> Requester:
        name = self._settings.name
        # Nobody finds an instance that the lists of others lack. What it drew nobody would
        # ask it for, and others would draw the same once more; so it stands last.
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
        """Brings a chunk in where nobody ahead can give it; None means to look again."""
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
        """Waits for the peers behind this one to ask, which shows that they know of it."""
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
            # Once for the version and not for each chunk, or a fleet of which only this one
            # is left would wait for every chunk anew.
            late = self._begun_at + chunk_source_choice.MAX_ORIGIN_DELAY_SECONDS - self._now()
            await asyncio.sleep(max(0.0, min(late, step.delay)))

    async def _ask_holders(
        self, plan: ChunkPlan, index: int, digest: str, rounds: int
    ) -> tuple[bool, bytes | None]:
        """Looks for a peer that holds the chunk or draws it now, and asks that one."""
        members = self.asker.members()
        asker = self._asker(members)
        # A peer that lacked the chunk a moment ago may have it by now; probes are cheap.
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
