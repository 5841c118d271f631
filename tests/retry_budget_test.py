"""Retries of all entries together stay within what the platform allows, whatever entries do."""

import asyncio
import bisect
import collections.abc
import contextlib
import unittest
from unittest import mock

from tests.fake_platform import (
    FakeEndpoint,
    PlatformFleet,
    ReceivedRequest,
    answer_ok,
    make_configuration,
    refuse,
)
from tests.paused_clock import PausedClockCase
from tests.suspended_clock import suspended_for
from wasabidrum.config.deployment import Bounds
from wasabidrum.decisions.entry_roster import HostPort
from wasabidrum.gateway.entry_peers import EntryPeers
from wasabidrum.platform import names

Handler = collections.abc.Callable[
    [FakeEndpoint, ReceivedRequest, asyncio.StreamWriter], collections.abc.Awaitable[None]
]
SERVICE = "tally"
ENDPOINTS = 16
BOUNDS = Bounds(retry_fraction=0.2, retry_extra=24.0, retry_window=10.0)
# Within this time every entry knows every other one, and has earned all that it may hold.
SETTLE_SECONDS = 25.0
# After this time without a word from any other, an entry takes the others for gone.
CUT_SECONDS = 30.0


class ArrivalLog:
    """When callers sent requests, and when more than the first of a request reached an endpoint.

    Attributes:
      failing: Whether the first endpoint that a request reaches refuses it.
    """

    def __init__(self) -> None:
        self.failing = False
        self._sent_at: list[float] = []
        self._repeated_at: list[float] = []
        self._seen: set[str] = set()

    @property
    def repeats(self) -> int:
        """How many arrivals beyond the first of their request there were."""
        return len(self._repeated_at)

    def record_sent(self) -> None:
        """Records that a caller sent a request."""
        self._sent_at.append(asyncio.get_running_loop().time())

    def choose_handler(self, request: ReceivedRequest) -> Handler:
        """Records a request at an endpoint; returns what answers it."""
        name = request.headers[names.REQUEST_ID.lower()]
        repeated = name in self._seen
        self._seen.add(name)
        if repeated:
            self._repeated_at.append(asyncio.get_running_loop().time())
        return refuse if self.failing and not repeated else answer_ok

    async def handle(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Handles a request at an endpoint."""
        await self.choose_handler(request)(endpoint, request, writer)

    def worst_window(self, bounds: Bounds) -> tuple[float, int, float]:
        """Returns by how much a window exceeds the allowed arrivals at most, and both figures."""
        seconds = bounds.retry_window

        def sent(start: float) -> int:
            ends = bisect.bisect_left(self._sent_at, start + seconds)
            return ends - bisect.bisect_left(self._sent_at, start)

        worst = (float("-inf"), 0, bounds.retry_extra)
        for place, start in enumerate(self._repeated_at):
            arrivals = bisect.bisect_left(self._repeated_at, start + seconds) - place
            requests = max(sent(start), sent(start - seconds / 2), sent(start - seconds))
            allowed = bounds.retry_fraction * requests + bounds.retry_extra
            worst = max(worst, (arrivals - allowed, arrivals, allowed))
        return worst


class FleetRetryCase(PausedClockCase):
    """Entries before endpoints that refuse the first attempt of each request."""

    entries = 3
    bounds = BOUNDS

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, SERVICE))
        self.arrivals = ArrivalLog()
        for number in range(ENDPOINTS):
            endpoint = await self.fleet.add_endpoint(f"e{number}", SERVICE)
            endpoint.handler = self.arrivals.handle
        self._asked = 0
        self._asking: set[asyncio.Task] = set()

    async def asyncTearDown(self) -> None:
        for task in self._asking:
            task.cancel()
        await self.fleet.stop()

    async def start_entries(self) -> None:
        """Starts the entries, and waits until each can serve."""
        for number in range(self.entries):
            await self.fleet.add_gateway(f"entry-{number}", bounds=self.bounds)
        await self.fleet.wait_until(lambda: all(g.ready for g in self.fleet.gateways), 10.0)

    async def load(self, seconds: float, per_second: float) -> None:
        """Sends requests to the entries in turn, at a steady rate."""
        ends = self.loop.time() + seconds
        while self.loop.time() < ends:
            self._asked += 1
            asking = asyncio.ensure_future(self._ask(self._asked % self.entries, self._asked))
            self._asking.add(asking)
            asking.add_done_callback(self._asking.discard)
            await asyncio.sleep(1.0 / per_second)

    async def _ask(self, number: int, request: int) -> None:
        self.arrivals.record_sent()
        # A request that an entry's end cuts off counts as sent all the same.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            await self.fleet.ask(number, SERVICE, "safe", f"r{request}")

    def assert_within_budget(self) -> None:
        """Asserts that no window had more repeated arrivals than allowed."""
        excess, arrivals, allowed = self.arrivals.worst_window(BOUNDS)
        self.assertLessEqual(excess, 0.0, f"{arrivals} arrivals, {allowed:.0f} allowed")
        self.assertGreater(arrivals, 0)


class RestartedEntriesTest(FleetRetryCase):
    """Entries that are killed again and again while endpoints refuse."""

    async def test_entries_that_restart_add_no_retries(self) -> None:
        """Guards against a share of the retries that each start of an entry grants anew."""
        await self.start_entries()
        await self.load(SETTLE_SECONDS, 8.0)
        self.arrivals.failing = True
        for _ in range(3):
            await self.load(2.5, 9.0)
            await asyncio.gather(*(self.fleet.restart_gateway(n) for n in range(self.entries)))
        await self.load(2.5, 9.0)
        self.assert_within_budget()


class EntriesThatStartTest(FleetRetryCase):
    """Entries that get their first requests before they know the others."""

    entries = 12

    async def test_shares_follow_the_number_of_entries(self) -> None:
        """Guards against shares that are worked out once, from the entries known at the start."""
        self.arrivals.failing = True
        for number in range(self.entries):
            await self.fleet.add_gateway(f"entry-{number}", bounds=BOUNDS)
            await self.fleet.wait_until(lambda: self.fleet.gateways[-1].ready, 10.0)
            await self._ask(number, -number)
        await self.load(10.0, 12.0)
        self.assert_within_budget()


class UnmetEntriesTest(FleetRetryCase):
    """Entries that start together and of which each meets only one other."""

    entries = 12

    async def test_entries_that_have_not_met_hold_no_shares(self) -> None:
        """Guards against a first start that grants shares by the few entries met until then."""
        real_call = EntryPeers._call

        async def call(peers: EntryPeers, address: HostPort, *args: object, **named: object):
            pairs = {d.peers_listen.port: n // 2 for n, d in enumerate(self.fleet.deployments)}
            if pairs.get(address[1]) != pairs.get(peers.own_address[1]):
                return None
            return await real_call(peers, address, *args, **named)

        with mock.patch.object(EntryPeers, "_call", call):
            await self.start_entries()
            await asyncio.sleep(SETTLE_SECONDS)
            self.arrivals.failing = True
            await self.load(10.0, 12.0)
        self.assert_within_budget()


class SuspendedEntryTest(FleetRetryCase):
    """An entry whose share of the extra retries is less than one."""

    entries = 1
    bounds = Bounds(retry_fraction=0.2, retry_extra=1.0, retry_window=10.0)

    async def test_requests_before_a_suspension_pay_for_no_retry_after_it(self) -> None:
        """Guards against a window that doesn't count the time for which an entry was suspended."""
        await self.start_entries()
        await self.load(8.0, 5.0)
        self.arrivals.failing = True
        with suspended_for(2.0 * self.bounds.retry_window):
            await self._ask(0, -1)
        self.assertEqual(self.arrivals.repeats, 0)


class SeparatedEntriesTest(FleetRetryCase):
    """Entries that cannot reach each other."""

    entries = 9

    async def test_entries_cut_off_from_each_other_keep_the_number(self) -> None:
        """Guards against entries that take the share of those that they cannot reach any more."""
        await self.start_entries()
        await self.load(SETTLE_SECONDS, 9.0)

        async def unreachable(*args: object) -> None:
            return None

        with mock.patch.object(EntryPeers, "_call", unreachable):
            await self.load(CUT_SECONDS, 9.0)
            self.arrivals.failing = True
            await self.load(5.0, 9.0)
            await asyncio.gather(*(self.fleet.restart_gateway(n) for n in range(self.entries)))
            await self.load(CUT_SECONDS, 9.0)
        self.assert_within_budget()


if __name__ == "__main__":
    unittest.main()
