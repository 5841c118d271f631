"""Endpoints that have just started, behind real entries that have more requests than these take."""

import asyncio
import bisect
import contextlib
from unittest import mock

import msgspec

from tests.fake_platform import (
    FakeEndpoint,
    PlatformFleet,
    ReceivedRequest,
    make_configuration,
    response_head,
)
from tests.paused_clock import PausedClockCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.gateway import endpoint_connection
from wasabidrum.gateway.endpoint_connection import EndpointConnection
from wasabidrum.observe.event import Event
from wasabidrum.platform import names

SERVICE = "tally"
COLD_SECONDS = 3.0
COLD_RATE = 32.0
# By the bounds of the platform, 1.5 times the rate and five.
LIMIT = 53
BOUNDS = Bounds(cold_factor=1.5, cold_extra=5.0)
ENTRIES = 3
REQUESTS_PER_SECOND = 200.0
ANSWER_SECONDS = 0.05
# Until entries that have started together know each other.
SETTLING_SECONDS = 12.0
COLD_HEADER = f"{names.COLD_TIME}: 2500"


class Arrivals:
    """Answers after some time, and keeps when requests arrived."""

    def __init__(self, *lines: str, seconds: float = 0.0) -> None:
        self.times: list[float] = []
        self._seconds = seconds
        self._lines = lines

    async def __call__(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request."""
        self.times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self._seconds)
        head = response_head(request, endpoint, "200 OK", "Content-Length: 0", *self._lines)
        writer.write(head)
        await writer.drain()

    def worst_second(self) -> int:
        """Returns the most requests in any second."""
        return max(
            bisect.bisect_left(self.times, at + 1.0) - place for place, at in enumerate(self.times)
        )


class ColdEndpointsTest(PausedClockCase):
    """Three entries, and a service of which a warm endpoint serves as much as is asked."""

    async def asyncSetUp(self) -> None:
        """Starts the entries, and the warm endpoint before them."""
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.warm = await self.fleet.add_endpoint("warm", SERVICE)
        self.warm.handler = Arrivals(seconds=ANSWER_SECONDS)
        self.requests = 0

    async def start_entries(self, count: int, cold_rate: float = COLD_RATE) -> None:
        """Publishes the service, and starts entries that know each other."""
        configuration = make_configuration(1, SERVICE)
        for service in configuration["services"]:
            service.update(coldStartS=COLD_SECONDS, coldPerS=cold_rate)
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        for number in range(count):
            await self.fleet.add_gateway(f"entry-{number}", bounds=BOUNDS)
        gateways = self.fleet.gateways
        await self.fleet.wait_until(lambda: all(g.ready for g in gateways), 10.0)
        if count > 1:
            await asyncio.sleep(SETTLING_SECONDS)

    async def ask(self, number: int = 0) -> int:
        """Sends one request to an entry; returns the status of the answer."""
        self.requests += 1
        reply = await self.fleet.ask(number, SERVICE, "safe", f"r{self.requests}")
        return reply.status

    async def ask_for(self, seconds: float) -> set[int]:
        """Sends requests to all entries in turn; returns the statuses of the answers."""
        asking = []
        for number in range(int(seconds * REQUESTS_PER_SECOND)):
            asking.append(asyncio.ensure_future(self.ask(number % len(self.fleet.gateways))))
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
        return set(await asyncio.gather(*asking))

    def events(self, event: Event) -> list[dict]:
        """Returns the lines of an event that the first entry has logged."""
        lines = map(msgspec.json.decode, self.fleet.gateways[0].log.buffer._lines)
        return [line for line in lines if line["n"] == event]

    async def add_new_endpoint(self) -> tuple[FakeEndpoint, Arrivals]:
        """Starts and registers an endpoint that has just started."""
        endpoint = FakeEndpoint("new", SERVICE)
        endpoint.handler = arrivals = Arrivals(seconds=ANSWER_SECONDS)
        await endpoint.start()
        self.fleet.endpoints.append(endpoint)
        cold = endpoint.entry(coldRemainingMs=COLD_SECONDS * 1000, born=5)
        await self.fleet.store.put(names.ENDPOINT_PREFIX + "new", cold)
        return endpoint, arrivals

    async def test_new_endpoint_gets_its_rate_and_callers_are_served(self) -> None:
        """Guards against entries that together overrun a new endpoint, or refuse for its sake."""
        await self.start_entries(ENTRIES)
        started_at = self.loop.time()
        _, arrivals = await self.add_new_endpoint()
        statuses = await self.ask_for(COLD_SECONDS + 3.0)
        self.assertEqual(statuses, {200})
        early = Arrivals()
        early.times = [at for at in arrivals.times if at < started_at + COLD_SECONDS]
        self.assertGreater(len(early.times), 10)
        self.assertLessEqual(early.worst_second(), LIMIT)
        self.assertGreater(len(arrivals.times) - len(early.times), 2 * len(early.times))
        self.assertFalse(self.fleet.gateways[0].cold_rule.count)
        [cold] = self.events(Event.ENDPOINT_COLD)
        [warm] = self.events(Event.ENDPOINT_WARM)
        self.assertEqual((cold["reason"], warm["reason"]), ("started", "time"))

    async def test_endpoints_of_a_service_without_a_cold_rate_get_all(self) -> None:
        """Guards against a limit where the configuration sets none."""
        await self.start_entries(1, cold_rate=0.0)
        await self.add_new_endpoint()
        await asyncio.sleep(1.0)
        self.assertFalse(self.fleet.gateways[0].cold_rule.active)

    async def test_endpoint_that_says_so_in_an_answer_is_cold(self) -> None:
        """Guards against a registration that comes too late."""
        await self.start_entries(1)
        self.assertFalse(self.fleet.gateways[0].cold_rule.active)
        self.warm.handler = Arrivals(COLD_HEADER)
        self.assertEqual(await self.ask(), 200)
        self.assertEqual(self.fleet.gateways[0].cold_rule.count, 1)
        self.assertEqual(await self.ask(), 503)
        self.warm.handler = Arrivals()
        await asyncio.sleep(4.0)
        self.assertEqual(await self.ask(), 200)

    async def test_endpoint_that_was_down_is_cold(self) -> None:
        """Guards against an endpoint that restarts before its registration says so."""
        await self.start_entries(1)
        gateway = self.fleet.gateways[0]
        await self.warm.stop()
        port = self.warm.port
        while not self.events(Event.ENDPOINT_EJECTED):
            await self.ask()
            await asyncio.sleep(0.1)
        self.warm._server = await asyncio.start_server(self.warm._serve, "127.0.0.1", port)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(10.0):
                while await self.ask() != 200:
                    await asyncio.sleep(0.1)
        self.assertEqual(gateway.cold_rule.count, 1)
        await self.fleet.store.put(names.ENDPOINT_PREFIX + "warm", self.warm.entry(sequence=2))
        await asyncio.sleep(0.7)
        self.assertEqual(gateway.cold_rule.count, 1)
        await asyncio.sleep(0.7)
        await self.fleet.store.put(names.ENDPOINT_PREFIX + "warm", self.warm.entry(sequence=3))
        await asyncio.sleep(0.7)
        self.assertEqual(gateway.cold_rule.count, 0)

    async def test_endpoints_of_a_data_centre_that_comes_back_are_cold(self) -> None:
        """Guards against a data centre that gets all its load at once after an evacuation."""
        await self.start_entries(1)
        rule, back_at = self.fleet.gateways[0].cold_rule, {}
        rule._find_back_at = back_at.get
        self.assertFalse(rule.active)
        back_at["rift-a"] = self.loop.time()
        self.assertTrue(rule.active)
        self.assertEqual(rule.count, 1)
        await asyncio.sleep(COLD_SECONDS + 1.5)
        self.assertFalse(rule.active)
        self.assertEqual(self.events(Event.ENDPOINT_COLD)[0]["reason"], "data_centre_back")

    async def test_requests_do_not_reach_a_later_run(self) -> None:
        """Guards against requests that were placed before an endpoint started again."""
        await self.start_entries(1)
        connect = endpoint_connection.connect

        async def connect_late(*arguments: object) -> EndpointConnection:
            registration = self.warm.entry(born=9)
            await self.fleet.store.put(names.ENDPOINT_PREFIX + "warm", registration)
            await asyncio.sleep(1.0)
            return await connect(*arguments)

        with mock.patch.object(endpoint_connection, "connect", connect_late):
            self.assertEqual(await self.ask(), 503)
        self.assertEqual(self.warm.received, [])
