"""Endpoints that turn requests away, and want no more from the same entry for some time."""

import asyncio
import bisect
import collections
import contextlib
import dataclasses
import unittest
from unittest import mock

from tests.fake_platform import (
    FakeEndpoint,
    PlatformFleet,
    ReceivedRequest,
    Reply,
    answer_ok,
    make_configuration,
    refuse,
    refuse_for,
    stream_events,
)
from tests.paused_clock import PausedClockCase
from tests.version_bound_test import SERVICE as ENGINE_SERVICE
from tests.version_bound_test import StartsWhenWoken, VersionBoundCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.gateway import endpoint_connection
from wasabidrum.gateway.endpoint_connection import EndpointConnection
from wasabidrum.platform import names

SERVICE = "tally"
ENTRY_HEADER = "X-Entry"
# What may reach an endpoint from an entry in a rest, from this long after the refusal to its end.
SETTLING_SECONDS = 0.5
ALLOWED = 2
REST_SECONDS = 6.0
REST = f"{REST_SECONDS:g}"
# Until entries that have started together know each other.
MEETING_SECONDS = 12.0
# A caller that is refused at once has its answer by then.
AT_ONCE_SECONDS = 0.05
LONG_DEADLINE_MS = 30_000
# Until an endpoint that has failed gets as many requests as others.
FAILED_SECONDS = 20.0
RUN_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class AskedRest:
    """A rest that an endpoint has asked an entry for."""

    entry: str
    asked_at: float
    seconds: float


class RestLog:
    """The rests that one endpoint has asked for, and when requests reached it."""

    def __init__(self) -> None:
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self.rests: list[AskedRest] = []

    def most_in_a_rest(self) -> int:
        """Returns the most requests from one entry in a rest that it was asked for."""
        return max((self._arrivals_in(rest) for rest in self.rests), default=0)

    def _arrivals_in(self, rest: AskedRest) -> int:
        times = self.arrivals[rest.entry]
        first = bisect.bisect_right(times, rest.asked_at + SETTLING_SECONDS)
        return max(0, bisect.bisect_left(times, rest.asked_at + rest.seconds) - first)

    def count(self, start: float, end: float) -> int:
        """Returns the requests that arrived between two times."""
        return sum(start <= at < end for times in self.arrivals.values() for at in times)


class RestCase(PausedClockCase):
    """Entries before plain endpoints, some of which turn requests away."""

    entries = 1
    endpoints = 2
    per_second = 16.0
    bounds: Bounds | None = None

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, SERVICE))
        self.logs: dict[str, RestLog] = collections.defaultdict(RestLog)
        # What each endpoint that turns requests away asks for, and how long each one runs them.
        self.retry_after: dict[str, str] = {}
        self.run_seconds: dict[str, float] = {}
        self.replies: list[tuple[float, Reply]] = []
        for number in range(self.endpoints):
            await self.add_endpoint(number)
        for number in range(self.entries):
            await self.fleet.add_gateway(f"entry-{number}", bounds=self.bounds)
        await self.fleet.wait_until(lambda: all(g.ready for g in self.fleet.gateways), 10.0)
        if self.entries > 1:
            await asyncio.sleep(MEETING_SECONDS)
        self._asked = 0
        self._asking: set[asyncio.Task] = set()

    async def asyncTearDown(self) -> None:
        for task in self._asking:
            task.cancel()

    async def add_endpoint(self, number: int) -> FakeEndpoint:
        """Starts and registers an endpoint."""
        endpoint = await self.fleet.add_endpoint(f"e{number}", SERVICE)
        endpoint.handler = self.answer
        return endpoint

    async def answer(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Handles a request at an endpoint."""
        log, entry = self.logs[endpoint.id], request.headers[ENTRY_HEADER.lower()]
        log.arrivals[entry].append(self.loop.time())
        retry_after = self.retry_after.get(endpoint.id)
        if retry_after is None:
            await asyncio.sleep(self.run_seconds.get(endpoint.id, RUN_SECONDS))
            await answer_ok(endpoint, request, writer)
            return
        with contextlib.suppress(ValueError):
            log.rests.append(AskedRest(entry, self.loop.time(), float(retry_after)))
        await refuse_for(retry_after)(endpoint, request, writer)

    async def ask(self, number: int = 0, deadline_ms: int = LONG_DEADLINE_MS) -> Reply:
        """Sends a request to an entry and returns the response, which is also kept."""
        self._asked += 1
        began = self.loop.time()
        name, entry = f"r{self._asked}", f"{ENTRY_HEADER}: {number}"
        asking = self.fleet.ask(number, SERVICE, "safe", name, entry, deadline_ms=deadline_ms)
        reply = await asking
        self.replies.append((self.loop.time() - began, reply))
        return reply

    def start_asking(self, number: int = 0, deadline_ms: int = LONG_DEADLINE_MS) -> asyncio.Task:
        """Sends a request without waiting for the response."""
        asking = asyncio.ensure_future(self.ask(number, deadline_ms))
        self._asking.add(asking)
        asking.add_done_callback(self._asking.discard)
        return asking

    async def load(self, seconds: float) -> list[tuple[float, Reply]]:
        """Sends requests to the entries in turn.

        Returns:
          The responses that arrived meanwhile, and after how many seconds.
        """
        before, count = len(self.replies), 0
        ends = self.loop.time() + seconds
        while self.loop.time() < ends:
            count += 1
            self.start_asking(count % self.entries)
            await asyncio.sleep(1.0 / self.per_second)
        return self.replies[before:]

    def arrivals(self, number: int, seconds: float) -> int:
        """Returns the requests that an endpoint got in the last seconds."""
        now = self.loop.time()
        return self.logs[f"e{number}"].count(now - seconds, now)

    def assert_rests_kept(self) -> None:
        """Asserts that no endpoint got more than the rule allows, and that one asked for rest."""
        self.assertTrue(any(log.rests for log in self.logs.values()))
        for name, log in self.logs.items():
            self.assertLessEqual(log.most_in_a_rest(), ALLOWED, name)


class RestTest(RestCase):
    """One entry."""

    async def test_endpoint_is_left_alone_and_others_serve(self) -> None:
        """Guards against entries that do not read the rest, or only probe less often for it."""
        await self.load(1.0)
        self.retry_after["e0"] = REST
        replies = await self.load(3.0 * REST_SECONDS)
        self.assert_rests_kept()
        self.assertEqual({reply.status for _, reply in replies}, {200})

    async def test_rest_of_fractions_of_a_second(self) -> None:
        """Guards against a rest that is rounded down to whole seconds."""
        self.retry_after["e0"] = "2.9"
        await self.load(12.0)
        self.assert_rests_kept()

    async def test_store_is_away_and_comes_back(self) -> None:
        """Guards against a rest that a registration read from the store ends."""
        self.retry_after["e0"] = REST
        self.fleet.store.fault = "busy"
        await self.load(2.0)
        self.fleet.store.fault = ""
        endpoint = self.fleet.endpoints[0]
        await self.fleet.store.put(names.ENDPOINT_PREFIX + endpoint.id, endpoint.entry(sequence=2))
        await self.load(REST_SECONDS)
        self.assert_rests_kept()

    async def test_endpoint_is_unlisted_and_listed_again(self) -> None:
        """Guards against a rest that is forgotten with the endpoint while the list lacks it."""
        self.retry_after["e0"] = REST
        await self.load(1.0)
        endpoint = self.fleet.endpoints[0]
        key = names.ENDPOINT_PREFIX + endpoint.id
        await self.fleet.store.delete(key)
        await self.load(1.0)
        await self.fleet.store.put(key, endpoint.entry())
        await self.load(REST_SECONDS)
        self.assert_rests_kept()

    async def test_answer_to_an_earlier_request_does_not_end_the_rest(self) -> None:
        """Guards against a request that was running there, and whose success ends the rest."""
        self.run_seconds["e0"] = 1.0
        earlier = [self.start_asking() for _ in range(12)]
        await asyncio.sleep(0.5)
        self.assertGreater(self.arrivals(0, 1.0), 0)
        self.retry_after["e0"] = REST
        await self.load(REST_SECONDS)
        self.assertEqual({(await asking).status for asking in earlier}, {200})
        self.assert_rests_kept()

    async def test_ejected_endpoint_that_asks_for_rest_is_not_probed(self) -> None:
        """Guards against probes of an endpoint that was ejected for its failures before."""
        self.fleet.endpoints[0].handler = refuse
        await self.load(1.0)
        self.fleet.endpoints[0].handler = self.answer
        self.retry_after["e0"] = "30"
        await self.load(30.0)
        self.assert_rests_kept()

    async def test_second_refusal_prolongs_the_rest(self) -> None:
        """Guards against a rest that a later refusal with less time to go ends too soon."""
        self.retry_after["e0"] = self.retry_after["e1"] = REST
        first = self.start_asking()
        await asyncio.sleep(0.2)
        await first
        self.retry_after["e0"] = self.retry_after["e1"] = "0.6"
        await self.load(REST_SECONDS)
        self.assert_rests_kept()

    async def test_new_start_of_the_endpoint_has_no_rest(self) -> None:
        """Guards against a rest that outlives the run of the endpoint that asked for it."""
        self.retry_after["e0"] = "600"
        await self.load(2.0)
        del self.retry_after["e0"]
        endpoint = self.fleet.endpoints[0]
        key = names.ENDPOINT_PREFIX + endpoint.id
        await self.fleet.store.put(key, endpoint.entry(born=1_800_000_000_000))
        await self.load(4.0)
        self.assertGreater(self.arrivals(0, 2.0), 0.25 * self.per_second * 2.0)

    async def test_requests_come_back_after_the_rest(self) -> None:
        """Guards against an endpoint that gets nothing any more once it has asked for rest."""
        self.retry_after["e0"] = REST
        await self.load(1.0)
        del self.retry_after["e0"]
        await self.load(REST_SECONDS + 3.0)
        self.assert_rests_kept()
        self.assertGreater(self.arrivals(0, 2.0), 0.25 * self.per_second * 2.0)

    async def test_retry_after_that_is_no_number_of_seconds_asks_for_no_rest(self) -> None:
        """Guards against an endpoint that is lost for good by a header that nobody can read."""
        for text in ("soon", "-5", "1e9", "9" * 400):
            with self.subTest(text):
                self.retry_after["e0"] = text
                await self.load(0.5)
                del self.retry_after["e0"]
                await self.load(FAILED_SECONDS)
                self.assertGreater(self.arrivals(0, 2.0), 0.25 * self.per_second * 2.0)

    async def test_endpoint_that_asks_for_no_rest_to_speak_of_is_ejected(self) -> None:
        """Guards against an endpoint that turns all away, and gets a request each time that its
        rest of some milliseconds ends."""
        self.retry_after["e0"] = "0.05"
        replies = await self.load(10.0)
        self.assertEqual({reply.status for _, reply in replies}, {200})
        self.assertLess(self.arrivals(0, 8.0), 0.1 * self.per_second * 8.0)

    async def test_rest_of_a_day_is_kept(self) -> None:
        """Guards against a long rest that overflows or is cut short."""
        self.retry_after["e0"] = "86400"
        await self.load(30.0)
        await asyncio.sleep(300.0)
        await self.load(30.0)
        self.assert_rests_kept()

    async def test_request_whose_connection_opens_after_the_refusal(self) -> None:
        """Guards against a request that was placed before the rest was heard and is sent after
        it."""
        placer = self.fleet.gateways[0].placer
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "e1")
        listed = self.fleet.gateways[0].state.endpoints
        await self.fleet.wait_until(lambda: listed.get("e1") is None)
        connect, opened = endpoint_connection.connect, asyncio.Event()

        async def connect_late(*args: object) -> EndpointConnection:
            await opened.wait()
            return await connect(*args)

        with mock.patch.object(endpoint_connection, "connect", connect_late):
            late = self.start_asking()
            await self.fleet.wait_until(lambda: placer.load_of(listed.get("e0")).own_requests == 1)
        self.retry_after["e0"] = REST
        refused = await self.ask()
        key = names.ENDPOINT_PREFIX + "e1"
        await self.fleet.store.put(key, self.fleet.endpoints[1].entry())
        await self.fleet.wait_until(lambda: listed.get("e1") is not None)
        retries = placer.retries_left(SERVICE)
        opened.set()
        reply = await late
        self.assertEqual((refused.status, reply.status, reply.body), (503, 200, b"e1"))
        self.assertEqual(self.arrivals(0, 60.0), 1)
        # Nothing was sent, so that this is no retry.
        self.assertEqual(placer.retries_left(SERVICE), retries)


class AllRestTest(RestCase):
    """All endpoints of a service want nothing from the entry."""

    async def rest_all(self, *retry_after: str) -> float:
        """Lets the endpoints turn requests away; returns when the first rest ends."""
        # The entry learns how long a request takes.
        await self.load(6.0)
        for number, text in enumerate(retry_after):
            self.retry_after[f"e{number}"] = text
        await self.ask()
        await self.fleet.wait_until(lambda: all(self.logs[f"e{n}"].rests for n in range(2)))
        rests = [rest for log in self.logs.values() for rest in log.rests]
        return min(rest.asked_at + rest.seconds for rest in rests)

    async def test_callers_are_refused_at_once(self) -> None:
        """Guards against callers that are held until their deadlines, or told to come back while
        nobody can serve them."""
        first_end = await self.rest_all(REST, "9")
        while self.loop.time() < first_end - 0.5:
            began = self.loop.time()
            reply = await self.ask()
            self.assertEqual(reply.status, 503)
            self.assertLess(self.loop.time() - began, AT_ONCE_SECONDS)
            # Written in milliseconds.
            self.assertGreaterEqual(float(reply.headers["retry-after"]), first_end - began - 0.002)
            await asyncio.sleep(0.3)
        self.assert_rests_kept()

    async def test_callers_come_back_spread_out(self) -> None:
        """Guards against callers that are all told the moment at which the first rest ends."""
        first_end = await self.rest_all(REST, "9")
        now = self.loop.time()
        replies = await asyncio.gather(*(self.ask() for _ in range(40)))
        returns = sorted(now + float(reply.headers["retry-after"]) for reply in replies)
        self.assertGreaterEqual(returns[0], first_end - 0.002)
        self.assertLess(returns[0], first_end + RUN_SECONDS)
        # As many as an endpoint runs at once, while it runs them.
        for start in returns:
            self.assertLessEqual(sum(start <= at < start + 0.9 * RUN_SECONDS for at in returns), 6)

    async def test_callers_with_little_time_come_back_first(self) -> None:
        """Guards against callers that are sent to the end of a queue in which others could wait."""
        first_end = await self.rest_all(REST, REST)
        for _ in range(60):
            await self.ask()
        left_ms = int((first_end - self.loop.time() + 0.5) * 1000)
        reply = await self.ask(deadline_ms=left_ms)
        returns = self.loop.time() + float(reply.headers["retry-after"])
        self.assertLess(returns, first_end + 0.5 - RUN_SECONDS)

    async def test_callers_are_served_after_the_rest(self) -> None:
        """Guards against callers that come back when told and are refused again, because the
        entry does not use the endpoints yet, or sends them all that waited."""
        await self.rest_all(REST, REST)
        self.retry_after.clear()
        served = await asyncio.gather(*(self.come_back() for _ in range(40)))
        self.assertEqual(served, [200] * 40)

    async def test_endpoint_that_was_only_full_may_serve_earlier(self) -> None:
        """Guards against a caller that is told to wait for the end of a rest, while an endpoint
        that has turned it away for want of room may have room at once."""
        self.retry_after["e0"] = REST
        await self.load(1.0)
        self.fleet.endpoints[1].handler = refuse
        reply = await self.ask()
        self.assertEqual(reply.status, 503)
        self.assertLess(float(reply.headers["retry-after"]), 0.5 * REST_SECONDS)

    async def come_back(self) -> int:
        """Sends a request, and once more when its caller is told to come back."""
        reply = await self.ask()
        self.assertEqual(reply.status, 503)
        await asyncio.sleep(float(reply.headers["retry-after"]))
        return (await self.ask()).status


class NoRetryTest(RestCase):
    """One endpoint, and an entry that may not place a request again."""

    endpoints = 1
    bounds = Bounds(retry_fraction=0.0, retry_extra=0.0)

    async def test_caller_that_the_only_endpoint_turns_away(self) -> None:
        """Guards against a caller whose request cannot be placed again, and who is told to come
        back while the only endpoint wants none."""
        self.retry_after["e0"] = REST
        reply = await self.ask()
        self.assertEqual(reply.status, 503)
        self.assertGreaterEqual(float(reply.headers["retry-after"]), REST_SECONDS - 0.002)


class ManyEntriesTest(RestCase):
    """Several entries, each of which is asked for rest by itself."""

    entries = 4
    endpoints = 3
    per_second = 24.0

    async def test_each_entry_keeps_to_its_own_rest(self) -> None:
        """Guards against rests that one entry keeps and others break."""
        self.retry_after["e0"] = "5"
        await self.load(4.0)
        self.retry_after["e1"] = "3"
        replies = await self.load(16.0)
        self.assert_rests_kept()
        self.assertEqual({reply.status for _, reply in replies}, {200})


class EngineRestTest(VersionBoundCase):
    """An engine that asks for rest while requests are on their way to it."""

    bounds = Bounds()

    async def test_held_body_stays(self) -> None:
        """Guards against a body that is sent after the rest was heard, because the engine asks
        late for it."""
        asks, bodies = asyncio.Event(), []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            if b": r1\r\n" in head:
                await asks.wait()
                writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                with contextlib.suppress(ConnectionError):
                    bodies.append(await reader.read(1))
            else:
                lines = head.decode().split("\r\n")
                pairs = (line.split(": ", 1) for line in lines if ": " in line)
                headers = {name.lower(): value for name, value in pairs}
                request = ReceivedRequest("POST", "/", headers, b"")
                await refuse_for(REST)(self.old, request, writer)
            writer.close()

        self.old._serve = serve
        await self.old.stop()
        await self.old.start()
        await self.register(self.old, 1)
        listed, port = self.gateway.state.endpoints, self.old.port
        await self.fleet.wait_until(lambda: listed.get("old").port == port)
        held = self.ask("r1")
        await asyncio.sleep(0.1)
        refused = await self.ask("r2")
        await self.register(self.new, 1)
        await self.fleet.wait_until(lambda: listed.get("new").weights == 1)
        asks.set()
        reply = await held
        self.assertEqual((refused.status, reply.status, b"".join(bodies)), (503, 200, b""))
        self.assertEqual(self.new.runs["r1"], 1)

    async def test_reserved_place_at_an_engine_that_asks_for_rest(self) -> None:
        """Guards against a request that is sent from a silent engine to the one at which it had a
        place before that one asked for rest."""
        self.old.handler = StartsWhenWoken()
        waiting = self.ask("r1")
        await self.fleet.wait_until(lambda: bool(self.old.received))
        await self.register(self.new, 1)
        connect, opening, opens = endpoint_connection.connect, [], asyncio.Event()

        async def connect_later(host, port, *more) -> EndpointConnection:
            if port == self.new.port and not opening:
                opening.append(port)
                await opens.wait()
            return await connect(host, port, *more)

        with mock.patch.object(endpoint_connection, "connect", connect_later):
            await self.fleet.wait_until(lambda: bool(opening))
            self.new.handler = refuse_for(REST)
            refused = await self.ask("r2")
            third = await self.fleet.add_endpoint("third", ENGINE_SERVICE)
            third.handler = stream_events(1, 5)
            await self.register(third, 1)
            listed = self.gateway.state.endpoints
            await self.fleet.wait_until(
                lambda: any(e.id == "third" and e.weights for e in listed.endpoints)
            )
            opens.set()
            reply = await waiting
        self.assertEqual((refused.status, reply.status), (503, 200))
        received = [request.headers[names.REQUEST_ID.lower()] for request in self.new.received]
        self.assertEqual((received, third.runs["r1"]), (["r2"], 1))


if __name__ == "__main__":
    unittest.main()
