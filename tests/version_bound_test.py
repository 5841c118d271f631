"""The bound after which no request begins on weights that were replaced.

Engines answer with version 1; version 2 is named, and must be the only one that requests begin
on two seconds later.
"""

import asyncio
import unittest
from unittest import mock

from tests.listed_platform import (
    FakeEndpoint,
    ListedFleet,
    Reply,
    Seen,
    make_configuration,
    stream_events,
)
from wasabidrum.config.deployment import Bounds
from wasabidrum.core import boot_clock
from wasabidrum.gateway import endpoint_connection
from wasabidrum.platform import names

MODEL = "m1"
SERVICE = "text"
BOUND_SECONDS = 2.0
# After the bound by more than this process, which plays all parts, is late.
PAST_SECONDS = 0.4
SUSPENDED_SECONDS = 60.0


def make_engines_configuration() -> dict:
    """Returns a configuration whose one service is of engines and whose routes wait long."""
    configuration = make_configuration(7, SERVICE)
    for route in configuration["routes"]:
        route.update(timeoutMs=6000, targetLatencyMs=3000)
    models = [{"name": MODEL}]
    configuration["services"] = [{"name": SERVICE, "engine": {"slots": 4, "models": models}}]
    return configuration


class BeginsWhenWoken:
    """An engine that takes requests and begins them only once it is woken."""

    def __init__(self) -> None:
        self.woken = asyncio.Event()
        self._stream = stream_events(1, 5)

    async def __call__(
        self, endpoint: FakeEndpoint, seen: Seen, writer: asyncio.StreamWriter
    ) -> None:
        """Waits, then streams."""
        await self.woken.wait()
        await self._stream(endpoint, seen, writer)


class VersionBoundCase(unittest.IsolatedAsyncioTestCase):
    """One entry before an engine that holds version 1 and another that holds nothing yet."""

    bounds = Bounds(version=BOUND_SECONDS)

    async def asyncSetUp(self) -> None:
        self.fleet = ListedFleet()
        await self.fleet.start()
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_engines_configuration())
        self.old = await self.fleet.add_endpoint("old", SERVICE)
        self.new = await self.fleet.add_endpoint("new", SERVICE)
        self.old.behave = self.new.behave = stream_events(1, 5)
        await self.register(self.old, 1)
        await self.name_version(1)
        self.gateway = await self.fleet.add_gateway("entry-1", bounds=self.bounds)
        await self.fleet.wait_until(lambda: self.gateway.ready)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("old").weights == 1)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def register(self, engine: FakeEndpoint, version: int) -> None:
        """Has an engine register with a version of the weights."""
        entry = engine.entry(models=[{"name": MODEL, "version": version}])
        await self.fleet.store.put(names.ENDPOINT_PREFIX + engine.id, entry)

    async def name_version(self, version: int) -> float:
        """Names a version; returns when, by the event loop's clock."""
        value = {"model": MODEL, "version": version}
        await self.fleet.store.put(names.VERSION_PREFIX + MODEL, value)
        return asyncio.get_running_loop().time()

    async def name_and_hear(self, version: int) -> float:
        """Names a version and waits until the entry knows; returns when it was named."""
        named_at = await self.name_version(version)

        def heard() -> bool:
            return (MODEL, version) in [n[:2] for n in self.gateway.state.named_versions()]

        await self.fleet.wait_until(heard)
        return named_at

    def ask(self, request_id: str, kind: str = "streaming") -> "asyncio.Future[Reply]":
        """Sends a request, whose answer may take long."""
        asking = self.fleet.ask(0, SERVICE, kind, request_id, seconds=8.0)
        return asyncio.ensure_future(asking)


class LateBeginningTest(VersionBoundCase):
    """Requests that were placed in time and would begin too late."""

    async def test_an_engine_that_was_suspended_begins_nothing_overdue_on_waking(self) -> None:
        """An engine is suspended with a request that it has not begun. Its entry had placed it
        well before the bound, and found the engine silent, then gone from the list; the request
        stayed on its connection. Woken after the bound the engine began it at once: the caller
        got text from weights that operators had replaced. The lines that settled it: placed
        5.45 s after the naming, read by the engine 8.36 s after it, begun at 8.39 s, with a
        bound of 8 s."""
        engine = BeginsWhenWoken()
        self.old.behave = engine
        named_at = await self.name_and_hear(2)
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: bool(self.old.seen))
        await self.register(self.new, 2)
        await self.sleep_until(named_at + BOUND_SECONDS + PAST_SECONDS)
        engine.woken.set()
        reply = await asking
        self.assertEqual(self.old.runs["r1"], 0)
        self.assertEqual((reply.status, reply.whole, self.new.runs["r1"]), (200, True, 1))

    async def test_what_waits_in_an_engines_queue_does_not_begin_after_the_bound(self) -> None:
        """A request is placed just before an entry stops placing on the old version, and waits
        in the engine's own queue for longer than the second that was left. No instance has
        failed; the engine is full. No other engine has the new version yet, so that the caller
        is told that nobody answered, and not that it has not run: the engine might have begun."""
        engine = BeginsWhenWoken()
        self.old.behave = engine
        named_at = await self.name_and_hear(2)
        await self.sleep_until(named_at + 0.8)
        asking = self.ask("r1")
        await self.sleep_until(named_at + BOUND_SECONDS + PAST_SECONDS)
        self.assertEqual(len(self.old.seen), 1)
        engine.woken.set()
        reply = await asking
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 502))

    async def test_what_has_begun_goes_on_past_the_bound(self) -> None:
        """An engine streams an answer when the bound comes. It began in time; cut off, its
        caller would lose what it has read, for no operator's good."""

        async def slow(endpoint: FakeEndpoint, seen: Seen, writer: asyncio.StreamWriter) -> None:
            original = writer.drain

            async def drain() -> None:
                await original()
                await asyncio.sleep(0.5)

            with mock.patch.object(writer, "drain", drain):
                await stream_events(1, 5)(endpoint, seen, writer)

        self.old.behave = slow
        await self.name_and_hear(2)
        await self.register(self.new, 2)
        reply = await self.ask("r1")
        self.assertTrue(reply.whole)
        self.assertEqual((self.old.runs["r1"], self.new.runs["r1"]), (1, 0))

    async def test_an_endpoint_that_gets_requests_late_gets_none_shortly_before_the_bound(
        self,
    ) -> None:
        """An engine stands behind a narrow link that carries weights, and gets requests over a
        second after they were sent. One that is placed there in time begins after the bound,
        and the reset that recalls it comes behind it on the same link. The lines that settled
        it: sent 0.15 s before nothing was placed any more, taken back 0.45 s before the bound,
        read by the engine 1.0 s after it, begun, and cut 0.5 s later."""
        engine = BeginsWhenWoken()
        self.old.behave = engine
        first = self.ask("r1")
        await asyncio.sleep(1.2)
        named_at = await self.name_and_hear(2)
        await self.sleep_until(named_at + 0.4)
        reply = await self.ask("r2")
        self.assertEqual((len(self.old.seen), reply.status), (1, 503))
        first.cancel()

    async def sleep_until(self, moment: float) -> None:
        """Sleeps until a moment of the event loop's clock."""
        await asyncio.sleep(moment - asyncio.get_running_loop().time())


class SuspendedEntryTest(VersionBoundCase):
    """Entries that were suspended, by a clock that does not count it."""

    async def test_an_entry_suspended_after_the_naming_knows_that_the_bound_has_passed(
        self,
    ) -> None:
        """An entry hears of a version and is suspended for a minute. The event loop's clock
        has not moved, and by it the version before is good for seconds more; whoever asks on
        waking gets text from weights that everyone else has stopped using."""
        real = boot_clock.time.clock_gettime
        await self.name_and_hear(2)
        with mock.patch.object(
            boot_clock.time, "clock_gettime", lambda clock: real(clock) + SUSPENDED_SECONDS
        ):
            reply = await self.ask("r1")
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 503))

    async def test_a_request_under_way_while_the_entry_was_suspended_does_not_leave(self) -> None:
        """A request is placed in time, and its entry is suspended while a connection opens.
        Sent on waking, it would begin at once, on weights whose time is over."""
        real = boot_clock.time.clock_gettime
        connect = endpoint_connection.connect
        ahead = [0.0]

        async def connect_and_sleep(*arguments):
            connection = await connect(*arguments)
            ahead[0] = SUSPENDED_SECONDS
            return connection

        await self.name_and_hear(2)
        with (
            mock.patch.object(
                boot_clock.time, "clock_gettime", lambda clock: real(clock) + ahead[0]
            ),
            mock.patch.object(endpoint_connection, "connect", connect_and_sleep),
        ):
            reply = await self.ask("r1")
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 503))


class LateHearingTest(VersionBoundCase):
    """An entry that hears late how long ago a version was named."""

    bounds = Bounds(version=8.0)

    async def test_a_version_that_is_heard_late_is_not_dated_by_its_hearing(self) -> None:
        """An entry is suspended while a version is named and hears of it on waking, 4.5 s
        late, with evidence 6.3 s old. Counted from its hearing, the version before would be
        good until 11.5 s after the naming, with a bound of 8 s. It was named after the last
        answer without it, and that is all that the entry can know."""
        real = boot_clock.time.clock_gettime
        with mock.patch.object(
            boot_clock.time, "clock_gettime", lambda clock: real(clock) + SUSPENDED_SECONDS
        ):
            await self.name_and_hear(2)
            await asyncio.sleep(1.7)
            reply = await self.ask("r1")
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 503))


if __name__ == "__main__":
    unittest.main()
