"""Requests chunks from peers and tracks the health of each peer."""

import asyncio
import functools

from tornado import httpclient

from ..config.settings import Settings
from ..core.errors import CodedError
from ..core.instance import InstanceRole
from ..decisions.chunk_pacing import BYTES_PER_MEGABIT
from ..decisions.chunk_peer_health import ChunkPeerHealth
from ..decisions.inbound_rate_limit import InboundRateLimit
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.member_view import MemberView
from ..peers.membership import Membership
from .chunk_state import ChunkState
from .peer_chunk_client import PeerAnswer, PeerChunkClient
from .peer_prober import PeerProber
from .transfer_counts import TransferCounts

REQUEST_WAIT_SECONDS = 3.0
# Delay after which a holder counts as slow. A chunk passes an instance's link in a tenth of a
# second; from an instance with a quarter of the configured bandwidth it arrives this much later,
# while other holders could send it faster.
SLOW_SECONDS = 0.5
# The fraction of the instance's link that inbound weights may use.
LINK_FRACTION = 0.95


class ChunkRequester:
    """Sends one process's chunk requests and probes to its peers.

    Attributes:
      peers: The HTTP client for chunk requests.
      health: The health of the peers; decides which are skipped.
      holders: Peers of this region that are known to hold the version being fetched.
      relays: Members that serve chunks but are not sidecars.
      revision: The configuration revision of this process; peers may lag behind it.
      late_seconds: How much later than announced the last chunk was complete.
      inbound_limit: The limit on the rate at which peers may send.
    """

    __slots__ = ("_name", "_region", "_membership", "_log", "_prober", "_counts")
    __slots__ += (
        "peers",
        "health",
        "holders",
        "relays",
        "late_seconds",
        "revision",
        "inbound_limit",
        "_open",
    )

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        client: httpclient.AsyncHTTPClient,
        counts: TransferCounts,
        log: EventLog,
    ) -> None:
        self._name = settings.name
        self._region = settings.region
        self._membership = membership
        self._log = log
        self._prober = PeerProber(self._probe_one, self._usable_peers, self._record_silent)
        self._counts = counts
        self.peers = PeerChunkClient(client, settings.name, settings.region)
        self.health = ChunkPeerHealth()
        self.holders: frozenset[str] = frozenset()
        self.relays: frozenset[str] = frozenset()
        self.late_seconds = 0.0
        self.revision = 0
        self._open = 0
        self.inbound_limit = InboundRateLimit(
            settings.link_mbit * BYTES_PER_MEGABIT * LINK_FRACTION
        )

    def members(self) -> dict[str, MemberView]:
        """Returns the listed sidecars and the relays, by name."""
        return {
            view.name: view
            for view in self._membership.members
            if view.instance.role is InstanceRole.SIDECAR or view.name in self.relays
        }

    def own_link_suspected(self) -> bool:
        """Returns whether this process's own link seems to delay its peers' answers."""
        return self._prober.responsiveness.own_link_suspected(self._now())

    def record_origin_duration(self, seconds: float) -> None:
        """Records the duration of a fetch from the origin, failed or not."""
        self._prober.responsiveness.record_origin_fetch(seconds)

    async def request_chunk(
        self, name: str, digest: str, wait: float = REQUEST_WAIT_SECONDS, rate: float = 0.0
    ) -> tuple[bytes | None, ChunkState | None]:
        """Requests a chunk from a peer; a failure is recorded, and the state is then None.

        Args:
          wait: Seconds for which the peer may hold the request until it has the chunk.
          rate: The highest rate in bytes per second to send at; zero leaves it to the peer.
        """
        return await self._request(name, digest, wait, probe=False, rate=rate)

    async def probe(self, names: list[str], digest: str) -> list[ChunkState | None]:
        """Returns the state of a chunk at each peer, without waiting for a silent one."""
        return await self._prober.probe_all(names, digest)

    async def _probe_one(self, name: str, digest: str) -> ChunkState | None:
        _, state = await self._request(name, digest, 0.0, probe=True)
        return state

    async def _request(
        self, name: str, digest: str, wait: float, probe: bool, rate: float = 0.0
    ) -> tuple[bytes | None, ChunkState | None]:
        view = self.members().get(name)
        if view is None:
            return None, None
        self._counts.asks += 1
        requested_at = self._now()
        self.health.record_request(name, self._now())
        is_silent = None if probe else functools.partial(self._should_abandon, name, digest)
        self._open += not probe
        try:
            answer = await self.peers.request_chunk(
                view.url, digest, wait, self.revision, probe, is_silent, rate
            )
        except CodedError as error:
            if error.code != "peer_held_up":
                self._record_failure(name, digest, error)
            return None, None
        finally:
            self._open -= not probe
        self._membership.report_success(name)
        self.health.record_answer(name, answer.content is not None)
        if answer.content is not None:
            self._record_content(view, answer)
            self._log.write(
                Event.CHUNK_RECEIVED,
                chunk=digest,
                peer=name,
                seconds=round(self._now() - requested_at, 3),
                late=round(answer.late_seconds, 3),
                asks=self._open + 1,
            )
        return answer.content, answer.state

    def _record_content(self, view: MemberView, answer: PeerAnswer) -> None:
        size, late_seconds = len(answer.content), answer.late_seconds
        self.late_seconds = late_seconds
        self.inbound_limit.record(size, self._open + 1, answer.sending_seconds, late_seconds)
        if view.name in self.holders and late_seconds > SLOW_SECONDS:
            self.health.record_slow(view.name, self._now())
        self._counts.asks_answered += 1
        if view.instance.region == self._region:
            self._counts.from_own_region += size
        else:
            self._counts.from_other_regions += size

    def _usable_peers(self) -> list[str]:
        """Returns the other peers that are not skipped now."""
        now = self._now()
        names = (name for name in self.members() if name != self._name)
        return [name for name in names if not self.health.is_skipped(name, now)]

    async def _should_abandon(self, name: str, digest: str) -> bool:
        """Returns whether a request that waits at a peer is to be abandoned."""
        if name not in self.members():
            # The platform has removed the peer from its list, so it cannot be probed. The request
            # would wait for five seconds at a peer that is most likely gone.
            return True
        if self.health.should_wait_for(name):
            return False
        if self.health.is_skipped_as_slow(name, self._now()):
            return True
        return await self._prober.is_silent(name, digest)

    def _record_silent(self, name: str, digest: str) -> None:
        """Records that a peer is silent while others answer."""
        if not self.health.is_skipped(name, self._now()):
            self._log.write(Event.CHUNK_PEER_PASSED_OVER, peer=name, chunk=digest, code="held_up")
        self.health.record_slow(name, self._now())

    def _record_failure(self, name: str, digest: str, error: CodedError) -> None:
        corrupt = error.code == "chunk_corrupt"
        if corrupt:
            self._counts.corrupt += 1
        else:
            self._counts.peer_failures += 1
            if self.own_link_suspected() and self.health.discard_failures(name):
                # The fault is this process's own link. Recording the failure would skip every peer
                # for longer and longer, and the whole version would be fetched from the origin.
                return
            self._membership.report_failure(name)
        skipped = self.health.is_skipped(name, self._now())
        self.health.record_failure(name, self._now(), corrupt)
        if not skipped or corrupt:
            self._log.write(Event.CHUNK_PEER_PASSED_OVER, peer=name, chunk=digest, code=error.code)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
