"""Requests at an endpoint that stands still, and at one that is gone from the list."""

import asyncio
import unittest

from tests.listed_platform import FakeEndpoint, Reply, Seen, head_of
from tests.version_bound_test import BeginsWhenWoken, VersionBoundCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.platform import names

EVENTS = 5
# A caller leaves a stream that says nothing for two seconds.
CALLERS_PATIENCE_SECONDS = 2.0
# What callers here say that they will wait, less what timers are early by.
CALLERS_DEADLINE_SECONDS = 2.9
# Longer than an endpoint may say nothing before it is silent.
PAUSE_SECONDS = 0.9


class TimedBehaviour:
    """A behaviour that notes when each request came.

    Attributes:
      came_at: When, by the request's id and the event loop's clock.
    """

    def __init__(self, behave) -> None:
        self._behave = behave
        self.came_at: dict[str, float] = {}

    async def __call__(
        self, endpoint: FakeEndpoint, seen: Seen, writer: asyncio.StreamWriter
    ) -> None:
        """Notes it, then behaves."""
        loop = asyncio.get_running_loop()
        self.came_at[seen.headers[names.REQUEST_ID.lower()]] = loop.time()
        await self._behave(endpoint, seen, writer)


async def stop_midway(endpoint: FakeEndpoint, seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Streams two events, and then stands still with the connection open."""
    endpoint.runs[seen.headers[names.REQUEST_ID.lower()]] += 1
    more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(head_of(seen, endpoint, "200 OK", *more))
    for number in (1, 2):
        event = f"id: {number}\ndata: t{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    await writer.drain()
    await asyncio.sleep(3600)


class SilentEndpointTest(VersionBoundCase):
    """Two engines that hold the same weights, of which one stands still."""

    bounds = Bounds()

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.register(self.new, 1)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new").weights == 1)

    async def ask_while_one_stands_still(self, behave) -> list[Reply]:
        """Asks both engines, of which one behaves as told; returns the answers.

        Whatever the first one stood still with must reach the other while its caller still waits.
        """
        old, new = TimedBehaviour(behave), TimedBehaviour(self.new.behave)
        self.old.behave, self.new.behave = old, new
        replies = await asyncio.gather(*(self.ask(f"r{number}") for number in range(8)))
        self.assertGreater(len(old.came_at), 0)
        for request, came_at in old.came_at.items():
            self.assertLess(new.came_at[request] - came_at, CALLERS_PATIENCE_SECONDS)
        return replies

    async def test_what_an_engine_that_stands_still_has_not_begun_goes_elsewhere(self) -> None:
        """An engine is suspended with requests of many callers. Its entry finds it silent and
        sends it nothing more, and leaves there what it has: every caller waits until it gives
        up, 3.2 s later, beside an engine that has room. What the engine had read it began on
        waking, for callers that had left 2.1 s before."""
        replies = await self.ask_while_one_stands_still(BeginsWhenWoken())
        self.assertEqual([reply.whole for reply in replies], [True] * len(replies))

    async def test_a_stream_whose_engine_stands_still_goes_on_elsewhere(self) -> None:
        """An engine is suspended in the middle of a stream and its connection stays open. Its
        caller leaves after two seconds without an event, though another engine could have
        gone on after the last one."""
        replies = await self.ask_while_one_stands_still(stop_midway)
        whole = b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, EVENTS + 1))
        self.assertEqual([reply.body for reply in replies], [whole] * len(replies))

    async def test_where_nobody_else_can_take_it_a_request_waits_for_its_engine(self) -> None:
        """The only engine is suspended for a moment. Cut off for its silence, a caller that
        would have had its answer a second later has none."""
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "new")
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new") is None)
        engine = BeginsWhenWoken()
        self.old.behave = engine
        asking = self.ask("r1")
        await asyncio.sleep(1.5)
        engine.woken.set()
        reply = await asking
        self.assertTrue(reply.whole)

    async def test_a_caller_whom_nobody_can_serve_is_answered_before_it_leaves(self) -> None:
        """Guards against work that a suspended engine begins on waking for callers that left."""
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "new")
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new") is None)
        self.old.behave = BeginsWhenWoken()
        began = asyncio.get_running_loop().time()
        reply = await self.ask("r1")
        self.assertLess(asyncio.get_running_loop().time() - began, CALLERS_DEADLINE_SECONDS)
        self.assertEqual((reply.status, reply.whole), (502, True))
        await self.fleet.wait_until(lambda: self.old.closed_early == 1)

    async def test_what_may_run_only_once_is_not_taken_elsewhere(self) -> None:
        """An endpoint stands still with a charge that it may have begun. Sent to another the
        charge would run twice."""
        self.old.behave = self.new.behave = stop_midway
        began = asyncio.get_running_loop().time()
        reply = await self.ask("r1", "unsafe")
        self.assertGreater(asyncio.get_running_loop().time() - began, CALLERS_DEADLINE_SECONDS)
        self.assertEqual(self.old.runs["r1"] + self.new.runs["r1"], 1)
        self.assertNotEqual(reply.status, 503)


class GoneEndpointTest(VersionBoundCase):
    """An engine that is gone from the list with work that it has not begun."""

    bounds = Bounds(drain=2.0)

    async def test_what_waits_at_an_engine_that_is_gone_does_not_begin_after_the_bound(
        self,
    ) -> None:
        """An engine's registration lapses while it is suspended, and it counts as gone. A
        request that was sent to it before lies unread on its connection. Woken, the engine
        would begin it seconds after it was to get no more work."""
        engine = BeginsWhenWoken()
        self.old.behave = engine
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: bool(self.old.seen))
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "old")
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("old") is None)
        await asyncio.sleep(self.bounds.drain + 0.1)
        engine.woken.set()
        reply = await asking
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 502))

    async def test_what_it_has_begun_goes_on(self) -> None:
        """An engine that never tells that it is leaving is gone from the list, and goes on
        with what it has. Cut off, its callers would lose answers that were on their way."""
        self.old.behave = stream_slowly
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: bool(self.old.seen))
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "old")
        reply = await asking
        self.assertTrue(reply.whole)


async def stream_slowly(endpoint: FakeEndpoint, seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Streams with pauses in which the endpoint passes for silent."""
    more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(head_of(seen, endpoint, "200 OK", *more))
    for number in range(1, 4):
        event = f"id: {number}\ndata: t{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


if __name__ == "__main__":
    unittest.main()
