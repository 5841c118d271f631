"""Endpoints that state how many requests a second they take from all entries together."""

import asyncio
import bisect
import collections
import contextlib
import unittest
from unittest import mock

from tests.fake_platform import (
    FakeEndpoint,
    PlatformFleet,
    ReceivedRequest,
    Reply,
    answer_ok,
    make_configuration,
)
from tests.paused_clock import PausedClockCase
from wasabidrum.gateway.entry_peers import EntryPeers
from wasabidrum.platform import names

SERVICE = "tally"
# From the first statement until entries must keep to it.
SETTLING_SECONDS = 3.0
WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5.0
# Until entries that have started together know each other.
MEETING_SECONDS = 12.0
QUIET_SECONDS = 150.0
RUN_SECONDS = 0.1


class LimitLog:
    """The limits that one endpoint has stated, and when requests reached it."""

    def __init__(self) -> None:
        self.arrived_at: list[float] = []
        self._statements: list[tuple[float, float | None]] = []

    def record_limit(self, limit: float | None) -> None:
        """Records what the endpoint states from now on."""
        self._statements.append((asyncio.get_running_loop().time(), limit))

    def arrivals(self, start: float, seconds: float) -> int:
        """Returns the requests that arrived from a time on."""
        end = bisect.bisect_left(self.arrived_at, start + seconds)
        return end - bisect.bisect_left(self.arrived_at, start)

    def worst_excess(self, until: float) -> float:
        """Returns by how many arrivals a window exceeds what its limits allow at most.

        Counted are windows in which a limit was stated all the time, from SETTLING_SECONDS after
        the first statement in a row; of several limits the highest counts.
        """
        worst = float("-inf")
        for start in self.arrived_at:
            limits = self._limits_between(start - SETTLING_SECONDS, start + WINDOW_SECONDS, until)
            if limits:
                allowed = ALLOWED_FACTOR * WINDOW_SECONDS * max(limits) + ALLOWED_EXTRA
                worst = max(worst, self.arrivals(start, WINDOW_SECONDS) - allowed)
        return worst

    def _limits_between(self, start: float, end: float, until: float) -> list[float]:
        if not self._statements:
            return []
        ends = [at for at, _ in self._statements[1:]] + [until]
        spans = zip(self._statements, ends, strict=True)
        held = [limit for (began, limit), ended in spans if began < end and ended > start]
        return held if self._statements[0][0] <= start and end <= until and None not in held else []


class StatedLimitsCase(PausedClockCase):
    """Entries before plain endpoints, some of which state limits."""

    entries = 3
    endpoints = 2
    per_second = 16.0
    run_seconds = RUN_SECONDS

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, SERVICE))
        self.logs: dict[str, LimitLog] = collections.defaultdict(LimitLog)
        self.replies: list[tuple[float, Reply]] = []
        for number in range(self.endpoints):
            endpoint = await self.fleet.add_endpoint(f"e{number}", SERVICE)
            endpoint.handler = self.answer
        for number in range(self.entries):
            await self.fleet.add_gateway(f"entry-{number}")
        await self.fleet.wait_until(lambda: all(g.ready for g in self.fleet.gateways), 10.0)
        await asyncio.sleep(MEETING_SECONDS)
        self._asked = 0
        self._asking: set[asyncio.Task] = set()

    async def asyncTearDown(self) -> None:
        for task in self._asking:
            task.cancel()
        await self.fleet.stop()

    @property
    def usual(self) -> float:
        """The requests a second that an endpoint gets while none states a limit."""
        return self.per_second / self.endpoints

    async def answer(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Handles a request at an endpoint."""
        self.logs[endpoint.id].arrived_at.append(self.loop.time())
        await asyncio.sleep(self.run_seconds)
        await answer_ok(endpoint, request, writer)

    def state_limit(self, number: int, limit: float | None) -> None:
        """Makes an endpoint state a limit in its responses, or none."""
        endpoint = self.fleet.endpoints[number]
        endpoint.limit = limit
        self.logs[endpoint.id].record_limit(limit)

    async def load(self, seconds: float) -> list[Reply]:
        """Sends requests to the entries in turn; returns the responses that arrived meanwhile."""
        before = len(self.replies)
        ends = self.loop.time() + seconds
        while self.loop.time() < ends:
            self._asked += 1
            asking = asyncio.ensure_future(self._ask(self._asked % self.entries))
            self._asking.add(asking)
            asking.add_done_callback(self._asking.discard)
            await asyncio.sleep(1.0 / self.per_second)
        return [reply for _, reply in self.replies[before:]]

    async def _ask(self, number: int) -> None:
        began = self.loop.time()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reply = await self.fleet.ask(number, SERVICE, "safe", f"r{self._asked}")
            self.replies.append((self.loop.time() - began, reply))

    def arrivals(self, number: int, seconds: float) -> int:
        """Returns the requests that an endpoint got in the last seconds."""
        return self.logs[f"e{number}"].arrivals(self.loop.time() - seconds, seconds)

    def assert_limits_kept(self) -> None:
        """Asserts that no endpoint got more than its stated limits allow."""
        for name, log in self.logs.items():
            self.assertLessEqual(log.worst_excess(self.loop.time()), 0.0, name)


async def refuse_with_id(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuses a request, as what stands before an endpoint does."""
    name = f"{names.REQUEST_ID}: {request.headers[names.REQUEST_ID.lower()]}"
    head = ("HTTP/1.1 503 Full", name, f"{names.NOT_EXECUTED}: 1", "Content-Length: 0")
    writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
    await writer.drain()


class FewEntriesTest(StatedLimitsCase):
    """Three entries."""

    async def test_endpoint_gets_no_more_than_it_states(self) -> None:
        """Guards against entries that do not read the limit, or keep to it each on its own."""
        await self.load(2.0)
        self.state_limit(0, 1.5)
        replies = await self.load(10.0)
        self.assert_limits_kept()
        # The others have room for all.
        self.assertEqual({reply.status for reply in replies}, {200})

    async def test_limit_is_used_and_withdrawn(self) -> None:
        """Guards against an endpoint that gets nothing any more once it has stated a limit."""
        self.state_limit(0, 3.0)
        await self.load(14.0)
        self.assert_limits_kept()
        self.assertGreaterEqual(self.arrivals(0, 8.0), 0.5 * 3.0 * 8.0)
        self.state_limit(0, None)
        await self.load(7.0)
        self.assertGreaterEqual(self.arrivals(0, 2.0), 0.5 * self.usual * 2.0)

    async def test_refusal_does_not_withdraw_a_limit(self) -> None:
        """Guards against a limit that ends with an answer that the endpoint itself has not made."""
        self.state_limit(0, 1.5)
        await self.load(4.0)
        self.fleet.endpoints[0].handler = refuse_with_id
        await self.load(4.0)
        self.assertEqual([g._limits.count for g in self.fleet.gateways], [1] * self.entries)

    async def test_limit_changes_from_response_to_response(self) -> None:
        """Guards against entries that keep to the first limit that they have heard."""
        for limit in (6.0, 0.5, 4.0, 1.0):
            self.state_limit(0, limit)
            await self.load(8.0)
            self.assertGreaterEqual(self.arrivals(0, 4.0), 0.5 * limit * 4.0 - 1.0)
        self.assert_limits_kept()

    async def test_callers_that_no_endpoint_takes_are_refused_at_once(self) -> None:
        """Guards against callers who wait for an endpoint that will not take them in time."""
        for number in range(self.endpoints):
            self.state_limit(number, 2.0)
        await self.load(5.0)
        before = len(self.replies)
        await self.load(8.0)
        refused = [(s, r) for s, r in self.replies[before:] if r.status == 503]
        self.assertGreater(len(refused), 0.5 * 8.0 * self.per_second)
        for seconds, reply in refused:
            self.assertLess(seconds, 0.05)
            self.assertGreater(float(reply.headers["retry-after"]), 0.0)
        self.assert_limits_kept()
        served = len(self.replies) - before - len(refused)
        self.assertGreaterEqual(served, 0.5 * 2.0 * self.endpoints * 8.0)

    async def test_limit_of_zero(self) -> None:
        """Guards against a division by a limit of zero, and an endpoint that is never asked again
        whether it still states it."""
        self.state_limit(0, 0.0)
        await self.load(15.0)
        self.assert_limits_kept()
        self.state_limit(0, None)
        await self.load(30.0)
        self.assertGreater(self.arrivals(0, 2.0), 0.5 * self.usual * 2.0)

    async def test_limit_holds_after_a_quiet_time(self) -> None:
        """Guards against entries that forget a limit while nobody sends anything."""
        self.run_seconds = 1.0
        self.state_limit(0, 0.3)
        await self.load(6.0)
        await asyncio.sleep(QUIET_SECONDS)
        await self.load(6.0)
        self.assert_limits_kept()

    async def test_endpoint_that_starts_again_has_stated_nothing(self) -> None:
        """Guards against a limit that outlives the endpoint that has stated it."""
        self.state_limit(0, 0.2)
        await self.load(5.0)
        endpoint = self.fleet.endpoints[0]
        self.state_limit(0, None)
        key = names.ENDPOINT_PREFIX + endpoint.id
        await self.fleet.store.put(key, endpoint.entry(born=1_800_000_000_000))
        await self.load(4.0)
        self.assertGreater(self.arrivals(0, 2.0), 0.5 * self.usual * 2.0)

    async def test_entries_restart_under_a_limit(self) -> None:
        """Guards against entries that send a new share at each of their starts."""
        self.state_limit(0, 1.5)
        await self.load(6.0)
        for number in (0, 1, 2, 0):
            await self.fleet.restart_gateway(number)
            await self.load(2.0)
        self.assert_limits_kept()


class ManyEntriesTest(StatedLimitsCase):
    """As many entries as a limit has requests in a window, and more."""

    entries = 14
    per_second = 24.0

    async def test_whole_requests_do_not_add_up_beyond_the_limit(self) -> None:
        """Guards against entries that each send one request, which together are too many."""
        await self.load(2.0)
        self.state_limit(0, 1.2)
        await self.load(16.0)
        self.assert_limits_kept()
        self.assertGreaterEqual(self.arrivals(0, 10.0), 0.4 * 1.2 * 10.0)

    async def test_entries_cut_off_from_each_other(self) -> None:
        """Guards against entries that take the shares of those that they cannot reach."""

        async def unreachable(*args: object) -> None:
            return None

        self.state_limit(0, 3.0)
        await self.load(5.0)
        with mock.patch.object(EntryPeers, "_call", unreachable):
            await self.load(30.0)
        await self.load(5.0)
        self.assert_limits_kept()


if __name__ == "__main__":
    unittest.main()
