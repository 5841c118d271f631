"""The time bound after which no request may start on weights that were replaced.

Engines serve version 1; version 2 is named, and two seconds later requests may start on version 2
only.
"""

import asyncio
import contextlib
import itertools
import typing
import unittest
from unittest import mock

from tests.fake_platform import (
    FakeEndpoint,
    PlatformFleet,
    ReceivedRequest,
    Reply,
    make_configuration,
    reset,
    response_head,
    stream_events,
)
from tests.paused_clock import PausedClockCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.core import boot_clock
from wasabidrum.decisions.request_recall import BOUND_MARGIN_SECONDS
from wasabidrum.gateway import endpoint_connection
from wasabidrum.observe.event import Event
from wasabidrum.observe.line_rate_limit import ROUTINE_LINES_PER_SECOND
from wasabidrum.platform import names

MODEL = "m1"
SERVICE = "text"
BOUND_SECONDS = 2.0
# Exceeds the scheduling delay of this process, which runs entry, engines and callers.
PAST_SECONDS = 0.4
SUSPENDED_SECONDS = 60.0
EVENT_SECONDS = 0.1
# Tokens of the prompt, and of an answer that takes longer than the bound.
LONG_ANSWER = f"{names.TOKEN_USAGE}: 100,400"


def make_engines_configuration(**figures: object) -> dict:
    """Returns a configuration with one engine service and routes with a long time limit.

    Args:
      figures: Further figures of the engines.
    """
    configuration = make_configuration(7, SERVICE)
    for route in configuration["routes"]:
        route.update(timeoutMs=6000, targetLatencyMs=3000)
    models = [{"name": MODEL}]
    engine = {"slots": 4, "models": models} | figures
    configuration["services"] = [{"name": SERVICE, "engine": engine}]
    return configuration


async def drain() -> None:
    """Waits as an engine does between two events."""
    await asyncio.sleep(0.5)


class StartsWhenWoken:
    """A handler of an engine that accepts requests and starts them only once it is woken."""

    def __init__(self) -> None:
        self.woken = asyncio.Event()
        self._stream = stream_events(1, 5)

    async def __call__(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Waits, then streams."""
        await self.woken.wait()
        await self._stream(endpoint, request, writer)


class VersionBoundCase(PausedClockCase):
    """One entry, an engine that holds version 1, and another without weights."""

    bounds = Bounds(version=BOUND_SECONDS)
    figures: typing.ClassVar[dict[str, object]] = {}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        configuration = make_engines_configuration(**self.figures)
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        self.old = await self.fleet.add_endpoint("old", SERVICE)
        self.new = await self.fleet.add_endpoint("new", SERVICE)
        self.old.handler = self.new.handler = stream_events(1, 5)
        await self.register(self.old, 1)
        await self.name_version(1)
        self.gateway = await self.fleet.add_gateway("entry-1", bounds=self.bounds)
        await self.fleet.wait_until(lambda: self.gateway.ready)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("old").weights == 1)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def register(self, engine: FakeEndpoint, version: int) -> None:
        """Registers an engine with a version of the weights."""
        entry = engine.entry(models=[{"name": MODEL, "version": version}])
        await self.fleet.store.put(names.ENDPOINT_PREFIX + engine.id, entry)

    async def name_version(self, version: int) -> float:
        """Names a version and returns the time, by the event loop's clock."""
        value = {"model": MODEL, "version": version}
        await self.fleet.store.put(names.VERSION_PREFIX + MODEL, value)
        return asyncio.get_running_loop().time()

    async def name_version_and_wait(self, version: int) -> float:
        """Names a version, waits until the entry knows it, and returns when it was named."""
        named_at = await self.name_version(version)

        def is_known() -> bool:
            return (MODEL, version) in [n[:2] for n in self.gateway.state.named_versions()]

        await self.fleet.wait_until(is_known)
        return named_at

    def ask(self, request_id: str, kind: str = "streaming", *lines: str) -> "asyncio.Future[Reply]":
        """Sends a request whose response may take long."""
        asking = self.fleet.ask(0, SERVICE, kind, request_id, *lines, seconds=8.0)
        return asyncio.ensure_future(asking)


class LateBeginningTest(VersionBoundCase):
    """Requests that were placed in time but would start too late."""

    async def test_resumed_engine_starts_no_overdue_request(self) -> None:
        """An engine is suspended with a request that it has not started. Its entry had placed it
        well before the bound, then found the engine silent, and then found its registration gone;
        the request stayed on its connection. Resumed after the bound, the engine started it at
        once, and the caller got text from weights that operators had replaced. Times seen with a
        bound of 8 s: placed 5.45 s after the naming, read by the engine 8.36 s after it, started at
        8.39 s."""
        engine = StartsWhenWoken()
        self.old.handler = engine
        named_at = await self.name_version_and_wait(2)
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: bool(self.old.received))
        await self.register(self.new, 2)
        await self.sleep_until(named_at + BOUND_SECONDS + PAST_SECONDS)
        engine.woken.set()
        reply = await asking
        self.assertEqual(self.old.runs["r1"], 0)
        self.assertEqual((reply.status, reply.whole, self.new.runs["r1"]), (200, True, 1))

    async def test_request_in_engine_queue_does_not_start_after_bound(self) -> None:
        """A request is placed just before an entry stops placing on the old version, and waits in
        the engine's own queue for longer than the second that is left. No instance has failed; the
        engine is full. No other engine has the new version yet, so the caller gets an error with
        unknown outcome rather than "not run": the engine might have started it."""
        engine = StartsWhenWoken()
        self.old.handler = engine
        named_at = await self.name_version_and_wait(2)
        await self.sleep_until(named_at + 0.8)
        asking = self.ask("r1")
        await self.sleep_until(named_at + BOUND_SECONDS + PAST_SECONDS)
        self.assertEqual(len(self.old.received), 1)
        engine.woken.set()
        reply = await asking
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 502))

    async def test_started_request_completes_after_bound(self) -> None:
        """An engine is streaming a response when the bound passes. The request started in time;
        aborting it would lose what the caller has read, without benefit to operators."""

        async def slow(
            endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            original = writer.drain

            async def drain() -> None:
                await original()
                await asyncio.sleep(0.5)

            with mock.patch.object(writer, "drain", drain):
                await stream_events(1, 5)(endpoint, request, writer)

        self.old.handler = slow
        await self.name_version_and_wait(2)
        await self.register(self.new, 2)
        reply = await self.ask("r1")
        self.assertTrue(reply.whole)
        self.assertEqual((self.old.runs["r1"], self.new.runs["r1"]), (1, 0))

    async def test_endpoint_behind_slow_link_gets_no_request_shortly_before_bound(
        self,
    ) -> None:
        """An engine is behind a narrow link that carries weights, and receives requests more than a
        second after they were sent. A request placed there in time would start after the bound, and
        the reset that recalls it arrives behind it on the same link. Times seen: sent 0.15 s before
        placement ended, recalled 0.45 s before the bound, read by the engine 1.0 s after it,
        started, and reset 0.5 s later."""
        engine = StartsWhenWoken()
        self.old.handler = engine
        first = self.ask("r1")
        await asyncio.sleep(1.2)
        named_at = await self.name_version_and_wait(2)
        await self.sleep_until(named_at + 0.4)
        reply = await self.ask("r2")
        self.assertEqual((len(self.old.received), reply.status), (1, 503))
        first.cancel()

    async def sleep_until(self, moment: float) -> None:
        """Sleeps until a moment of the event loop's clock."""
        await asyncio.sleep(moment - asyncio.get_running_loop().time())


class CutStreamTest(VersionBoundCase):
    """A stream that is cut off shortly before the bound; another engine holds version 1 too."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.cut_at = asyncio.get_running_loop().create_future()
        self.old.handler = self.new.handler = self.stream_until_cut
        self.second = StartsWhenWoken()
        await self.register(self.new, 1)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new").weights == 1)

    async def stream_until_cut(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Sends events, and resets the connection at a moment; what is resumed waits."""
        if names.LAST_EVENT_ID.lower() in request.headers:
            await self.second(endpoint, request, writer)
            return
        endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
        more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(response_head(request, endpoint, "200 OK", *more))
        # Without events the engine would count as silent, and the stream would be moved.
        for number in itertools.count(1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
            if self.cut_at.done() and asyncio.get_running_loop().time() >= self.cut_at.result():
                break
        reset(writer)

    async def cut(self, seconds_after_naming: float) -> list[int]:
        """Returns how many requests each engine received, and how many runs began in all."""
        named_at = await self.name_version_and_wait(2)
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: bool(self.old.received or self.new.received))
        self.cut_at.set_result(named_at + seconds_after_naming)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(named_at + BOUND_SECONDS + PAST_SECONDS - loop.time())
        self.second.woken.set()
        reply = await asking
        self.assertFalse(reply.whole)
        received = sorted(len(engine.received) for engine in (self.old, self.new))
        return [*received, self.old.runs["r1"] + self.new.runs["r1"]]

    async def test_stream_that_is_cut_after_the_limit_is_not_resumed_on_replaced_weights(
        self,
    ) -> None:
        """Guards against a stream that begins anew at another engine after nothing more may be
        placed on its version."""
        self.assertEqual(await self.cut(1.3), [0, 1, 1])

    async def test_stream_that_is_resumed_in_time_is_recalled_if_it_has_not_begun(self) -> None:
        """Guards against a stream that was resumed before the limit, waits at its second engine,
        and begins there after the bound because its caller has events of the first."""
        self.assertEqual(await self.cut(0.7), [1, 1, 1])


class BusyEntryTest(VersionBoundCase):
    """An entry whose process is held up across the bound."""

    async def test_entry_that_was_held_up_recalls_before_its_engine_can_begin(self) -> None:
        """Guards against a request that an engine has read and not begun, and that its entry leaves
        there because its check of requests in progress runs late by more than every margin."""
        engine = StartsWhenWoken()
        self.old.handler = engine
        named_at = await self.name_version_and_wait(2)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(named_at + 0.8 - loop.time())
        asking = self.ask("r1")
        await asyncio.sleep(named_at + BOUND_SECONDS - 0.5 - loop.time())
        self.assertEqual(len(self.old.received), 1)
        loop.hold_up(1.5)
        await asyncio.sleep(0.01)
        engine.woken.set()
        reply = await asking
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 502))
        self.assertIn(b"process_woke_late", self.gateway.log.metrics.expose())


class DeadlineCase(VersionBoundCase):
    """An engine that keeps the deadline that it gets."""

    async def stream_until_deadline(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Streams more events than the deadline allows, and breaks off there."""
        self.seconds = int(request.headers[names.DEADLINE.lower()]) / 1000.0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.seconds):
                await stream_events(1, 5)(endpoint, request, mock.Mock(wraps=writer, drain=drain))
        reset(writer)


class DeadlineTest(DeadlineCase):
    """The deadline that an engine gets, by which it stops work on a request."""

    # A usual answer takes a quarter of the bound.
    figures: typing.ClassVar[dict[str, object]] = {
        "usual": {"prompt": 100, "answer": 50},
        "step_ms": 10.0,
    }

    async def test_engine_is_told_to_stop_at_the_bound(self) -> None:
        """Guards against an engine that is suspended with a request that it has read, and may begin
        it after the bound because its caller would still wait."""
        self.old.handler = self.stream_until_deadline
        await self.name_version_and_wait(2)
        await self.ask("r1")
        self.assertLess(self.seconds, BOUND_SECONDS)
        self.assertGreater(self.seconds, BOUND_SECONDS / 2)

    async def test_engine_is_told_to_stop_if_the_usual_answer_ends_by_the_bound(self) -> None:
        """Guards against the same with a request that allows more tokens than it is likely to get:
        its engine has no limit where the longest answer counts."""
        self.old.handler = self.stream_until_deadline
        await self.name_version_and_wait(2)
        await self.ask("r1", "streaming", LONG_ANSWER)
        self.assertLess(self.seconds, BOUND_SECONDS)

    async def test_long_answer_is_not_stopped_while_no_version_is_named(self) -> None:
        """Guards against streams that are broken off although their weights were never replaced."""
        self.old.handler = self.stream_until_deadline
        await self.ask("r1", "streaming", LONG_ANSWER)
        self.assertGreater(self.seconds, BOUND_SECONDS)

    async def test_engine_that_stops_at_the_bound_has_not_crashed(self) -> None:
        """Guards against requests that are blocked, and engines that are left out, because engines
        have stopped when they were told to."""
        self.old.handler = self.stream_until_deadline
        await self.name_version_and_wait(2)
        reply = await self.ask("r1")
        self.assertFalse(reply.whole)
        lines = self.gateway.log.buffer.find("r1")
        self.assertEqual(lines[-1]["code"], "weights_overdue")
        events = {line["event"] for line in lines}
        self.assertNotIn("request_suspected", events)
        self.assertNotIn(b"endpoint_ejected", self.gateway.log.metrics.expose())


class ShortOfBoundTest(DeadlineCase):
    """Requests whose answers are forecast to end just before the bound."""

    # A usual answer takes half of the bound.
    figures: typing.ClassVar[dict[str, object]] = {
        "usual": {"prompt": 100, "answer": 100},
        "step_ms": 10.0,
    }

    async def test_engine_is_told_to_stop(self) -> None:
        """Guards against an engine that is suspended with a request, and begins it late because its
        usual answer might have taken a little longer than forecast."""
        self.old.handler = self.stream_until_deadline
        await self.name_version_and_wait(2)
        await asyncio.sleep(BOUND_SECONDS - 1.45)
        await self.ask("r1")
        self.assertLess(self.seconds, 1.45)


class LoggedLimitTest(VersionBoundCase):
    """What the log of an entry tells of a request that was sent for replaced weights."""

    def lines_of(self, request_id: str) -> list[dict]:
        """Returns the lines of a request that are written however many others there are."""
        lines = self.gateway.log.buffer.find(request_id)
        return [line for line in lines if line["event"] == "replaced_weights_asked"]

    async def test_line_of_a_request_that_began_names_the_limit_of_its_entry(self) -> None:
        """Guards against a log that cannot tell which bound an entry believed in when it sent a
        request that was answered: lines of answers are left out where there are many."""
        for _ in range(2 * ROUTINE_LINES_PER_SECOND):
            self.gateway.log.write(Event.REQUEST_DONE)
        await self.name_version_and_wait(2)
        await self.ask("r1")
        (line,) = self.lines_of("r1")
        self.assertEqual((line["outcome"], line["weights"], line["version"]), ("begun", 1, 2))
        self.assertGreater(line["left_at_sending"], BOUND_SECONDS - 0.5)
        self.assertEqual((line["put_off"], line["unacknowledged"]), (0.0, 0))
        self.assertLessEqual(line["head"], line["seconds"])

    async def test_line_of_a_request_that_is_recalled_tells_that_its_engine_had_it(self) -> None:
        """Guards against a log that cannot tell a request that lay at its engine from one that lay
        on the way there."""
        self.old.handler = StartsWhenWoken()
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: bool(self.old.received))
        await self.name_version_and_wait(2)
        await asking
        (line,) = self.lines_of("r1")
        self.assertEqual((line["outcome"], line["head"]), ("weights_overdue", None))
        self.assertEqual((line["left_at_sending"], line["unacknowledged"]), (None, 0))
        self.assertAlmostEqual(line["left"], BOUND_MARGIN_SECONDS, delta=0.2)


class SuspendedEntryTest(VersionBoundCase):
    """Entries that were suspended, where the event loop's clock does not count that time."""

    async def test_entry_suspended_after_naming_enforces_bound(
        self,
    ) -> None:
        """An entry learns of a version and is suspended for a minute. The event loop's clock has
        not advanced, and by it the previous version would be valid for seconds more; a caller right
        after the resume would get text from weights that all other entries have stopped using."""
        real = boot_clock.time.clock_gettime
        await self.name_version_and_wait(2)
        with mock.patch.object(
            boot_clock.time, "clock_gettime", lambda clock: real(clock) + SUSPENDED_SECONDS
        ):
            reply = await self.ask("r1")
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 503))

    async def test_request_in_progress_during_suspension_is_not_sent(self) -> None:
        """A request is placed in time, and its entry is suspended while a connection opens. Sent
        after the resume, it would start at once, on weights whose time has passed."""
        real = boot_clock.time.clock_gettime
        connect = endpoint_connection.connect
        ahead = [0.0]

        async def connect_and_sleep(*arguments):
            connection = await connect(*arguments)
            ahead[0] = SUSPENDED_SECONDS
            return connection

        await self.name_version_and_wait(2)
        with (
            mock.patch.object(
                boot_clock.time, "clock_gettime", lambda clock: real(clock) + ahead[0]
            ),
            mock.patch.object(endpoint_connection, "connect", connect_and_sleep),
        ):
            reply = await self.ask("r1")
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 503))


class LateHearingTest(VersionBoundCase):
    """An entry that learns late that a version was named."""

    bounds = Bounds(version=8.0)

    async def test_bound_is_counted_from_last_response_without_the_version(self) -> None:
        """An entry is suspended while a version is named and learns of it on resuming, 4.5 s late,
        when its last response from the store is 6.3 s old. Counted from then, the previous version
        would be valid until 11.5 s after the naming, with a bound of 8 s. All that the entry can
        know is that the version was named after the last response without it, so it counts from
        that response."""
        real = boot_clock.time.clock_gettime
        with mock.patch.object(
            boot_clock.time, "clock_gettime", lambda clock: real(clock) + SUSPENDED_SECONDS
        ):
            await self.name_version_and_wait(2)
            await asyncio.sleep(1.7)
            reply = await self.ask("r1")
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 503))


if __name__ == "__main__":
    unittest.main()
