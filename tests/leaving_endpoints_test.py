"""Endpoints that announce in their answers that they leave, whatever the platform's list says."""

import asyncio
import contextlib
import typing
from unittest import mock

from standins.key_value_store import StoreView
from tests.fake_platform import (
    FakeEndpoint,
    PlatformFleet,
    ReceivedRequest,
    Reply,
    answer_ok,
    make_configuration,
    refuse,
    reset,
    response_head,
    run_and_reset,
    stream_events,
)
from tests.paused_clock import PausedClockCase
from tests.version_bound_test import MODEL, make_engines_configuration
from wasabidrum.gateway import endpoint_connection
from wasabidrum.gateway.forwarding import Forwarding
from wasabidrum.gateway.placement import Placer
from wasabidrum.platform import names

SERVICE = "text"
BORN = 1_700_000_000_000
OUTAGE_SECONDS = 11.0
# Longer than a lapsed registration is kept after an outage.
SETTLED_SECONDS = 4.0
PROBING_SECONDS = 30.0
ASK_SECONDS = 0.1
AT_ONCE_SECONDS = 0.05
WORK_SECONDS = 0.3

Handler = typing.Callable[
    [FakeEndpoint, ReceivedRequest, asyncio.StreamWriter], typing.Awaitable[None]
]


def answer_with(status: str, *lines: str) -> Handler:
    """Returns a handler that answers with a status and an empty body."""

    async def handler(
        endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(response_head(request, endpoint, status, "Content-Length: 0", *lines))
        await writer.drain()

    return handler


async def cut_answer(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Sends the head and a part of the body, and resets the connection."""
    writer.write(response_head(request, endpoint, "200 OK", "Content-Length: 10") + b"abc")
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


async def stream_without_end(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Streams one event, and keeps the stream open."""
    more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(response_head(request, endpoint, "200 OK", *more))
    event = b"id: 1\ndata: t1\n\n"
    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    await writer.drain()
    await asyncio.sleep(3600)


def answer_after(handler: Handler, seconds: float) -> Handler:
    """Returns a handler that answers as another one does, after some time."""

    async def wait_and_answer(
        endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(seconds)
        await handler(endpoint, request, writer)

    return wait_and_answer


class LeavingCase(PausedClockCase):
    """One entry and two endpoints, of which only the one that will leave is listed at first."""

    engines = False

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        store = self.fleet.store
        configuration = make_engines_configuration() if self.engines else None
        configuration = configuration or make_configuration(7, SERVICE)
        await store.put(names.CONFIGURATION_KEY, configuration)
        await store.put(names.VERSION_PREFIX + MODEL, {"model": MODEL, "version": 1})
        self.view = StoreView(store)
        self.leaver, self.other = FakeEndpoint("leaver", SERVICE), FakeEndpoint("other", SERVICE)
        for endpoint in (self.leaver, self.other):
            await endpoint.start()
            self.fleet.endpoints.append(endpoint)
        self.gateway = await self.fleet.add_gateway("entry-1", self.view.port)
        await self.fleet.wait_until(lambda: self.gateway.ready, 10.0)
        await self.list(self.leaver)
        self._asked = 0

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()
        self.view.stop()

    async def list(self, endpoint: FakeEndpoint, **facts: object) -> None:
        """Registers an endpoint, and waits until the entry knows it if it reads the store."""
        models = [{"name": MODEL, "version": 1}] if self.engines else []
        entry = endpoint.entry(**({"born": BORN, "models": models} | facts))
        await self.fleet.store.put(names.ENDPOINT_PREFIX + endpoint.id, entry)
        if self.view.failing.is_set():
            return
        listed = self.gateway.state.endpoints

        def is_known() -> bool:
            known = listed.get(endpoint.id)
            return known is not None and known.started_at == entry["born"]

        await self.fleet.wait_until(is_known)
        await asyncio.sleep(ASK_SECONDS)

    async def unlist(self, endpoint: FakeEndpoint) -> None:
        """Removes a registration, and waits until the entry knows."""
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + endpoint.id)
        listed = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: listed.get(endpoint.id) is None)

    def ask(self, kind: str = "safe", **options: object) -> "asyncio.Task[Reply]":
        """Sends a request to the entry."""
        self._asked += 1
        asking = self.fleet.ask(0, SERVICE, kind, f"r{self._asked}", **options)
        return asyncio.ensure_future(asking)

    async def announce(self, handler: Handler = answer_ok, kind: str = "safe") -> Reply:
        """Makes the endpoint leave, and say so in an answer to a request."""
        self.leaver.leaving = True
        self.leaver.handler = handler
        return await self.ask(kind)

    async def assert_gets_nothing(self, seconds: float = 2.0) -> None:
        """Asks for some time, and asserts that the other endpoint gets all requests."""
        before = len(self.leaver.received)
        ends = self.loop.time() + seconds
        while self.loop.time() < ends:
            reply = await self.ask()
            self.assertEqual((reply.status, reply.body), (200, b"other"))
            await asyncio.sleep(ASK_SECONDS)
        self.assertEqual(len(self.leaver.received), before)

    async def assert_refused_at_once(self, kind: str = "safe") -> None:
        """Asserts that a request is refused before it waits or reaches the leaving endpoint."""
        before, asked_at = len(self.leaver.received), self.loop.time()
        reply = await self.ask(kind)
        self.assertEqual((reply.status, len(self.leaver.received)), (503, before))
        self.assertLess(self.loop.time() - asked_at, AT_ONCE_SECONDS)
        self.assertGreater(float(reply.headers[names.RETRY_AFTER.lower()]), 0.0)


class AnnouncementTest(LeavingCase):
    """Every kind of answer in which an endpoint announces that it leaves."""

    async def assert_heard(self, handler: Handler, status: int, kind: str = "safe") -> None:
        """Asserts that nothing reaches the endpoint any more after an answer."""
        reply = await self.announce(handler, kind)
        self.assertEqual(reply.status, status)
        await self.assert_refused_at_once()
        await self.list(self.other)
        await self.assert_gets_nothing()

    async def test_success(self) -> None:
        """Guards against requests to an endpoint that has announced in a success that it leaves."""
        await self.assert_heard(answer_ok, 200)

    async def test_refusals(self) -> None:
        """Guards against requests to an endpoint that announces it while it refuses them."""
        await self.assert_heard(answer_with("503 Full", f"{names.NOT_EXECUTED}: 1"), 503)

    async def test_refusal_without_a_request_id(self) -> None:
        """Guards against an announcement that is passed on to the caller and not believed."""
        await self.assert_heard(refuse, 503)

    async def test_too_many_requests(self) -> None:
        """Guards against requests to an endpoint that announces it with status 429."""
        await self.assert_heard(answer_with("429 Many", f"{names.NOT_EXECUTED}: 1"), 503)

    async def test_own_failure(self) -> None:
        """Guards against requests to an endpoint that announces it with status 500."""
        await self.assert_heard(answer_with("500 Failed"), 500, "unsafe")

    async def test_own_timeout(self) -> None:
        """Guards against requests to an endpoint that announces it with status 504."""
        await self.assert_heard(answer_with("504 Late"), 504, "unsafe")

    async def test_cut_answer(self) -> None:
        """Guards against an announcement that is lost with the end of its answer."""
        await self.assert_heard(cut_answer, 502, "unsafe")

    async def test_cut_stream(self) -> None:
        """Guards against an announcement that is lost with the end of its stream."""
        await self.assert_heard(stream_events(1, 5, cut_after=2), 200, "streaming")

    async def test_open_stream(self) -> None:
        """Guards against requests to an endpoint that has announced it in the head of a stream
        that goes on."""
        self.leaver.leaving = True
        self.leaver.handler = stream_without_end
        streaming = self.ask("streaming")
        await self.fleet.wait_until(lambda: self.leaver.received)
        await asyncio.sleep(ASK_SECONDS)
        await self.assert_refused_at_once("streaming")
        await self.list(self.other)
        await self.assert_gets_nothing()
        streaming.cancel()
        await asyncio.gather(streaming, return_exceptions=True)

    async def test_other_instance_at_the_address(self) -> None:
        """Guards against an endpoint that is left alone for what another one says of itself."""
        handler = answer_with("421 Other", f"{names.INSTANCE}: i-9")
        await self.announce(handler)
        self.leaver.handler = answer_ok
        self.assertEqual((await self.ask()).body, b"leaver")

    async def test_answer_to_another_request(self) -> None:
        """Guards against an endpoint that is left alone for an answer that is not its own."""

        async def answer_another(
            endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            request.headers[names.REQUEST_ID.lower()] = "another"
            await answer_ok(endpoint, request, writer)

        await self.announce(answer_another, "unsafe")
        self.leaver.handler, self.leaver.leaving = answer_ok, False
        self.assertEqual((await self.ask()).body, b"leaver")


class ListTest(LeavingCase):
    """The platform's list, while and after an endpoint announces that it leaves."""

    async def test_store_is_away(self) -> None:
        """Guards against requests to an endpoint that leaves while the store cannot say so, and
        against an older registration that takes the announcement back once the store is there."""
        await self.list(self.other)
        self.view.fail("busy")
        self.leaver.leaving = True
        self.leaver.handler = self.other.handler = answer_after(answer_ok, WORK_SECONDS)
        replies = await asyncio.gather(*(self.ask() for _ in range(8)))
        self.assertIn(b"leaver", [reply.body for reply in replies])
        await self.assert_gets_nothing(OUTAGE_SECONDS)
        self.fleet.store.history_from = self.fleet.store.revision
        await self.list(self.leaver, sequence=2)
        self.view.recover()
        await self.assert_gets_nothing(SETTLED_SECONDS)
        await self.list(self.leaver, sequence=3, state="draining")
        await self.assert_gets_nothing()

    async def test_fresh_registration_that_says_ready(self) -> None:
        """Guards against a heartbeat that takes the announcement back."""
        await self.announce()
        await self.list(self.other)
        for sequence in (2, 3):
            await self.list(self.leaver, sequence=sequence, slots=6 + sequence)
            await self.assert_gets_nothing()

    async def test_same_run_that_is_listed_again(self) -> None:
        """Guards against a lapsed registration that is back, and takes the announcement back."""
        await self.announce()
        await self.list(self.other)
        await self.unlist(self.leaver)
        await self.list(self.leaver, sequence=2)
        await self.assert_gets_nothing()

    async def test_new_run_gets_requests(self) -> None:
        """Guards against an endpoint that stays out after it has started again with its id."""
        await self.announce()
        await self.assert_refused_at_once()
        self.leaver.leaving = False
        await self.list(self.leaver, born=BORN + 1)
        self.assertEqual((await self.ask()).body, b"leaver")
        await self.announce()
        await self.assert_refused_at_once()

    async def test_endpoint_without_a_start_is_removed_and_listed_again(self) -> None:
        """Guards against an endpoint that stays out for good where runs cannot be told apart."""
        await self.unlist(self.leaver)
        await self.list(self.leaver, born=0)
        await self.announce()
        await self.assert_refused_at_once()
        self.leaver.leaving = False
        await self.unlist(self.leaver)
        await self.list(self.leaver, born=0)
        self.assertEqual((await self.ask()).body, b"leaver")

    async def test_last_endpoint_leaves(self) -> None:
        """Guards against callers who wait for an endpoint that will take nothing any more, and
        against refusals that do not tell why."""
        await self.announce()
        for kind in ("safe", "unsafe", "streaming"):
            await self.assert_refused_at_once(kind)
        (line,) = self.gateway.log.buffer.find(f"r{self._asked}")
        self.assertEqual((line["code"], line["endpoints_leaving"]), ("no_endpoint", 1))


class PlacedBeforeTest(LeavingCase):
    """Requests that were placed, or have a place reserved, before the announcement is heard."""

    async def test_requests_in_progress_are_answered_whole(self) -> None:
        """Guards against answers that are cut because their endpoint has announced meanwhile that
        it leaves."""
        self.leaver.handler = answer_after(answer_ok, WORK_SECONDS)
        answering = self.ask()
        await self.fleet.wait_until(lambda: len(self.leaver.received) == 1)
        self.leaver.handler = stream_events(1, 200)
        streaming = self.ask("streaming")
        await self.fleet.wait_until(lambda: len(self.leaver.received) == 2)
        await self.announce()
        await self.list(self.other)
        await self.assert_gets_nothing(1.0)
        answer, stream = await asyncio.gather(answering, streaming)
        self.assertEqual((answer.status, answer.body), (200, b"leaver"))
        self.assertEqual((stream.whole, stream.body.count(b"id: ")), (True, 200))
        self.assertEqual(self.leaver.closed_early, 0)

    async def test_retry(self) -> None:
        """Guards against a request that another endpoint has refused, and that is placed again at
        the endpoint that leaves."""
        await self.announce()
        await self.list(self.other)
        self.other.handler = refuse
        before = len(self.leaver.received)
        reply = await self.ask()
        self.assertEqual((reply.status, len(self.leaver.received)), (503, before))

    async def test_probe_of_ejected_endpoint(self) -> None:
        """Guards against probes of an endpoint that was ejected, and has announced in the answer to
        a probe that it leaves."""
        self.leaver.handler = run_and_reset
        for _ in range(2):
            await self.ask("unsafe")
        self.leaver.handler, self.leaver.leaving = refuse, True
        before = len(self.leaver.received)
        ends = self.loop.time() + PROBING_SECONDS
        while self.loop.time() < ends:
            await self.ask()
            await asyncio.sleep(ASK_SECONDS)
        self.assertEqual(len(self.leaver.received), before + 1)

    async def announce_while_a_connection_opens(self) -> Reply:
        """Returns the reply to a request whose connection to the endpoint opens late."""
        connect = endpoint_connection.connect

        async def connect_late(*arguments):
            connection = await connect(*arguments)
            await asyncio.sleep(WORK_SECONDS)
            return connection

        with mock.patch.object(endpoint_connection, "connect", connect_late):
            late = self.ask()
            await asyncio.sleep(ASK_SECONDS)
        await self.announce()
        await self.list(self.other)
        return await late

    async def test_announced_while_a_connection_opens(self) -> None:
        """Guards against a request that is sent after the announcement, as its connection took
        long to open."""
        reply = await self.announce_while_a_connection_opens()
        self.assertEqual((reply.body, len(self.leaver.received)), (b"other", 1))

    async def test_request_that_was_not_sent_spends_no_retry(self) -> None:
        """Guards against a caller that gets no answer because no retry is left, though its request
        was sent nowhere yet."""
        with mock.patch.object(Placer, "spend_retry", return_value=False):
            reply = await self.announce_while_a_connection_opens()
        self.assertEqual((reply.status, reply.body), (200, b"other"))

    async def test_announced_after_a_place_is_reserved(self) -> None:
        """Guards against a request that is recalled from a silent endpoint, and sent to a place
        that was reserved for it before the announcement."""
        await self.list(self.other)
        reserve, moved = Forwarding.reserve_elsewhere, []
        other = self.other

        def reserve_and_hear(forwarding, placement) -> bool:
            reserved = reserve(forwarding, placement)
            if reserved:
                moved.append(forwarding._reserved.endpoint.id)
                run = forwarding._reserved.endpoint
                self.gateway.state.endpoints.record_leaving(run.id, run.started_at)
            return reserved

        async def hold(*arguments) -> None:
            await asyncio.sleep(3600)

        other.handler = hold
        configuration = make_configuration(8, SERVICE)
        for route in configuration["routes"]:
            route.update(timeoutMs=6000, maxAttempts=3)
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        await self.fleet.wait_until(lambda: self.gateway.state.version == 8)
        await self.unlist(self.leaver)
        with mock.patch.object(Forwarding, "reserve_elsewhere", reserve_and_hear):
            waiting = self.ask(seconds=8.0, deadline_ms=4000)
            await self.fleet.wait_until(lambda: other.received)
            await self.list(self.leaver)
            await waiting
        self.assertEqual((moved, self.leaver.received), (["leaver"], []))
        # A place that is tried and given up would spend a second retry.
        codes = [line.get("code") for line in self.gateway.log.buffer.find(f"r{self._asked}")]
        self.assertNotIn("endpoint_leaving", codes)


class EnginesTest(LeavingCase):
    """Two model engines, which get the body of a request only when they have asked for it."""

    engines = True

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.leaver.handler = self.other.handler = stream_events(1, 5)

    async def test_stream(self) -> None:
        """Guards against requests to an engine that has announced in a stream that it leaves."""
        await self.announce(self.leaver.handler, "streaming")
        await self.assert_refused_at_once("streaming")
        await self.list(self.other)
        for _ in range(20):
            self.assertTrue((await self.ask("streaming")).whole)
        self.assertEqual((len(self.leaver.received), len(self.other.received)), (1, 20))

    async def test_held_body(self) -> None:
        """Guards against a body that was held back, and is sent to an engine that has announced
        meanwhile that it leaves."""
        asked_for = asyncio.Event()
        bodies: list[bytes] = []

        async def ask_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asked_for.wait()
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                bodies.append(await reader.read(1))
            writer.close()

        servers = [self.leaver._serve, ask_late]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await servers.pop()(reader, writer)

        self.leaver._serve = serve
        await self.leaver.stop()
        await self.leaver.start()
        await self.list(self.leaver, born=BORN + 1)
        held = self.ask("streaming")
        await asyncio.sleep(ASK_SECONDS)
        await self.announce(self.leaver.handler, "streaming")
        await self.list(self.other)
        asked_for.set()
        reply = await held
        self.assertNotIn(b"x", bodies)
        self.assertEqual((reply.whole, len(self.other.received)), (True, 1))
