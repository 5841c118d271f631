"""Tests of waiting between sidecars, narrow links, and chunks of unknown versions."""

import asyncio
import unittest

import logbook

from tests.paused_clock import PausedClockCase

from ..config.settings import PlatformSettings, Settings
from ..core.digest import digest_of
from ..core.instance import Instance, InstanceRole
from ..decisions.chunk_plan import ChunkPlan
from ..observe.event_log import EventLog
from ..peers.member_view import MemberView
from .chunk_requester import REQUEST_WAIT_SECONDS
from .chunk_state import ChunkState
from .distributor import WAITS_BEFORE_SKIP, Distributor
from .origin_fetcher import OriginFetcher
from .peer_chunk_client import PeerAnswer, SilenceCheck

CONTENT = b"a chunk"
DIGEST = digest_of(CONTENT)


class FixedOrigin:
    """Returns the chunk at once."""

    async def fetch(self, digest: str) -> bytes:
        """See BlobSource."""
        return CONTENT


class FixedMembership:
    """Two sidecars of one region."""

    def __init__(self) -> None:
        self.members = [MemberView(make_instance(name)) for name in ("a", "b")]

    def report_failure(self, name: str) -> None:
        """See Membership."""

    def report_success(self, name: str) -> None:
        """See Membership."""


class DirectPeers:
    """Requests chunks from other distributors in this process."""

    def __init__(self, fleet: dict[str, Distributor]) -> None:
        self._fleet = fleet

    async def request_chunk(
        self,
        url: str,
        digest: str,
        wait: float,
        revision: int,
        probe: bool = False,
        is_silent: SilenceCheck | None = None,
        rate: float = 0.0,
    ) -> PeerAnswer:
        """See PeerChunkClient."""
        peer = next(d for name, d in self._fleet.items() if f"{name}:" in url)
        if not probe:
            peer.record_request()
        await peer.store.wait(digest, wait)
        content = peer.store.get(digest)
        return PeerAnswer(peer.state_of(digest), content)


def make_instance(name: str) -> Instance:
    """Returns a sidecar whose host has the same name."""
    return Instance(name, InstanceRole.SIDECAR, "r", "r", name, 1, 2)


def make_distributor(name: str, in_progress: int = 0) -> Distributor:
    """Returns a distributor whose engine has some requests in progress."""
    settings = Settings(
        name=name,
        role="sidecar",
        site="r",
        region="r",
        data_centre="r",
        platform=PlatformSettings(configuration="", instances="", origin=""),
    )
    log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
    origin = OriginFetcher([FixedOrigin()])
    return Distributor(settings, FixedMembership(), None, origin, lambda: in_progress, log)


class WaitTest(unittest.IsolatedAsyncioTestCase):
    """Two sidecars, one of which the plan assigns to fetch the chunk from the origin."""

    async def test_a_restarted_sidecar_and_its_peer_do_not_wait_for_each_other(
        self,
    ) -> None:
        """A sidecar restarts during a distribution and receives no request for a second. It assumes
        that peers don't know it and waits for its peer, which waits for the chunk that the plan
        assigns to the first. For three seconds neither makes progress, and all behind them lack
        one chunk."""
        plan = ChunkPlan("root", (DIGEST,), {"a": "r", "b": "r"})
        first, second = plan.regions["r"].order(0)
        fleet = {name: make_distributor(name) for name in ("a", "b")}
        for distributor in fleet.values():
            distributor.chunk_requester.peers = DirectPeers(fleet)
            distributor.store.expected = {DIGEST}
            distributor.begin_version()
        began = asyncio.get_running_loop().time()

        async def wait_then_fetch(name: str, seconds: float) -> bytes:
            await asyncio.sleep(seconds)
            return await fleet[name].fetch(plan, DIGEST)

        # The assigned sidecar starts after one second without a request.
        contents = await asyncio.gather(wait_then_fetch(first, 1.05), wait_then_fetch(second, 1.2))
        self.assertEqual(contents, [CONTENT, CONTENT])
        self.assertLess(asyncio.get_running_loop().time() - began, 3.0)
        self.assertIs(fleet[first].state_of(DIGEST), ChunkState.HELD)


class CountingPeers:
    """Returns chunks after a short delay and counts concurrent requests."""

    def __init__(self, contents: dict[str, bytes]) -> None:
        self.at_once = 0
        self.rates: set[float] = set()
        self._contents = contents
        self._open = 0

    async def request_chunk(
        self,
        url: str,
        digest: str,
        wait: float,
        revision: int,
        probe: bool = False,
        is_silent: SilenceCheck | None = None,
        rate: float = 0.0,
    ) -> PeerAnswer:
        """See PeerChunkClient."""
        self._open += 1
        self.at_once = max(self.at_once, self._open)
        self.rates.add(rate)
        await asyncio.sleep(0.01)
        self._open -= 1
        return PeerAnswer(ChunkState.HELD, self._contents[digest])


class NarrowLinkTest(unittest.IsolatedAsyncioTestCase):
    """A sidecar whose link has been measured as narrow."""

    async def fetch_all(self, in_progress: int) -> CountingPeers:
        """Fetches twelve chunks at once while the engine has some requests in progress."""
        contents = {digest_of(bytes([n])): bytes([n]) for n in range(12)}
        plan = ChunkPlan("root", tuple(contents), {"a": "r", "b": "r"})
        distributor = make_distributor("a", in_progress)
        peers = distributor.chunk_requester.peers = CountingPeers(contents)
        distributor.chunk_requester.relays = frozenset(("b",))
        distributor.chunk_requester.holders = frozenset(("b",))
        distributor.chunk_requester.inbound_limit.record(49_152, 2, 0.4, 2.0)
        distributor.begin_version()
        await asyncio.gather(*(distributor.fetch(plan, digest) for digest in contents))
        return peers

    async def test_weights_yield_a_narrow_link_to_requests(self) -> None:
        """Guards against requests that queue behind chunks until their callers give up."""
        peers = await self.fetch_all(in_progress=3)
        self.assertEqual(peers.at_once, 1)
        self.assertLess(min(peers.rates), 100_000.0)

    async def test_weights_use_an_idle_link_fully(self) -> None:
        """Guards against throttled weights on a link that carries no requests."""
        peers = await self.fetch_all(in_progress=0)
        self.assertEqual(peers.at_once, 12)
        self.assertGreater(min(peers.rates), 1_000_000.0)


class UnknownVersionTest(unittest.IsolatedAsyncioTestCase):
    """An entry receives a request for a chunk of a version that it does not know yet."""

    async def test_an_entry_reports_a_chunk_of_an_unknown_version_as_coming(self) -> None:
        """If the entry answered that it lacks the chunk, sidecars would skip it for four seconds
        and fetch from the origin what the entry is about to fetch."""
        relay = make_distributor("a")
        relay.store.chunks_unknown = False
        self.assertIs(relay.state_of(DIGEST), ChunkState.LACKING)
        relay.learns_versions_late = True
        self.assertIs(relay.state_of(DIGEST), ChunkState.COMING)
        relay.store.set_wanted({DIGEST})
        self.assertIs(relay.state_of(DIGEST), ChunkState.LACKING)


class RingTest(PausedClockCase):
    """Three sidecars whose plans differ, so that each takes itself for the last in the order."""

    async def test_wait_in_a_ring_ends(self) -> None:
        """Guards against processes with different lists that wait for each other for good."""
        names = ("a", "b", "c")
        fleet = {name: make_distributor(name) for name in names}
        members = [MemberView(make_instance(name)) for name in names]
        for name, distributor in fleet.items():
            requester = distributor.chunk_requester
            requester.peers = DirectPeers(fleet)
            requester._membership.members = [view for view in members if view.name != name]
            distributor.store.expected = {DIGEST}
            distributor.begin_version()
            distributor.record_request()
        began = asyncio.get_running_loop().time()
        fetches = (fleet[name].fetch(plan_that_ends_with(name, names), DIGEST) for name in names)
        async with asyncio.timeout(60.0):
            self.assertEqual(await asyncio.gather(*fetches), [CONTENT] * len(names))
        longest = WAITS_BEFORE_SKIP * REQUEST_WAIT_SECONDS
        self.assertLess(asyncio.get_running_loop().time() - began, longest + 2.0)


def plan_that_ends_with(name: str, names: tuple[str, ...]) -> ChunkPlan:
    """Returns a plan in which an instance is the last of its region."""
    plans = (ChunkPlan(f"{n}", (DIGEST,), dict.fromkeys(names, "r")) for n in range(100))
    return next(plan for plan in plans if plan.regions["r"].order(0)[-1] == name)
