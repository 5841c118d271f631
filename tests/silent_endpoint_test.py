"""Requests at an endpoint that is suspended, and at one whose registration is gone."""

import asyncio
import unittest
from unittest import mock

from tests.fake_platform import FakeEndpoint, ReceivedRequest, Reply, response_head
from tests.version_bound_test import StartsWhenWoken, VersionBoundCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.gateway.forwarding import Forwarding
from wasabidrum.platform import names

EVENTS = 5
# A caller gives up on a stream after two seconds without an event.
STREAM_GAP_LIMIT_SECONDS = 2.0
# The deadline that callers send here, less a tolerance for timers that fire early.
CALLER_DEADLINE_SECONDS = 2.9
# Longer than an endpoint may send nothing before it counts as silent.
PAUSE_SECONDS = 0.9


class TimedHandler:
    """A handler that records when each request arrived.

    Attributes:
      arrived_at: Arrival times by request id, on the event loop's clock.
    """

    def __init__(self, handler) -> None:
        self._handler = handler
        self.arrived_at: dict[str, float] = {}

    async def __call__(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Records the arrival time, then calls the wrapped handler."""
        loop = asyncio.get_running_loop()
        self.arrived_at[request.headers[names.REQUEST_ID.lower()]] = loop.time()
        await self._handler(endpoint, request, writer)


async def stop_midway(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Streams two events, and then stalls with the connection open."""
    endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
    more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(response_head(request, endpoint, "200 OK", *more))
    for number in (1, 2):
        event = f"id: {number}\ndata: t{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    await writer.drain()
    await asyncio.sleep(3600)


class SilentEndpointTest(VersionBoundCase):
    """Two engines that hold the same weights, one of which stalls."""

    bounds = Bounds()

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.register(self.new, 1)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new").weights == 1)

    async def ask_while_one_stalls(self, handler) -> list[Reply]:
        """Sends requests to both engines, one with the given handler; returns the replies.

        Each request on which the first engine stalls must reach the other before its caller
        gives up, and every caller must have its whole response by then.
        """
        old, new = TimedHandler(handler), TimedHandler(self.new.handler)
        self.old.handler, self.new.handler = old, new
        asking = (self.ask(f"r{number}") for number in range(8))
        replies = await asyncio.wait_for(asyncio.gather(*asking), STREAM_GAP_LIMIT_SECONDS)
        self.assertGreater(len(old.arrived_at), 0)
        for request, arrived_at in old.arrived_at.items():
            self.assertLess(new.arrived_at[request] - arrived_at, STREAM_GAP_LIMIT_SECONDS)
        return replies

    async def test_unstarted_requests_of_suspended_engine_are_retried_elsewhere(self) -> None:
        """An engine is suspended with requests of many callers. If its entry found it silent and
        only stopped sending it new requests, every caller would wait until it gave up after 3.2 s,
        although another engine has room. On resuming, the engine would also start requests that it
        had read, whose callers had disconnected 2.1 s before."""
        replies = await self.ask_while_one_stalls(StartsWhenWoken())
        self.assertEqual([reply.whole for reply in replies], [True] * len(replies))

    async def test_successor_that_is_abandoned_at_once_gives_its_place_back(self) -> None:
        """Guards against engines that look ever fuller, as places of abandoned attempts remain."""
        start = Forwarding.start_successor
        abandoned = 0

        def start_and_abandon(forwarding: Forwarding) -> None:
            nonlocal abandoned
            start(forwarding)
            abandoned += forwarding._successor is not None
            forwarding._abandon_successor()

        with mock.patch.object(Forwarding, "start_successor", start_and_abandon):
            self.old.handler = stop_midway
            await asyncio.gather(*(self.ask(f"r{number}") for number in range(8)))
        self.assertGreater(abandoned, 0)
        placer = self.gateway.placer
        loads = [placer.load_of(each) for each in self.gateway.state.endpoints.endpoints]
        self.assertEqual([load.own_requests for load in loads], [0] * len(loads))

    async def test_stream_of_suspended_engine_is_resumed_elsewhere(self) -> None:
        """An engine is suspended in the middle of a stream, with the connection open. Its caller
        would give up after two seconds without an event, although another engine can resume after
        the last event."""
        replies = await self.ask_while_one_stalls(stop_midway)
        whole = b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, EVENTS + 1))
        self.assertEqual([reply.body for reply in replies], [whole] * len(replies))

    async def test_request_waits_for_its_engine_when_no_other_can_take_it(self) -> None:
        """The only engine is suspended for a moment. If the entry aborted its requests for being
        silent, a caller that would have had its response a second later would get an error."""
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "new")
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new") is None)
        engine = StartsWhenWoken()
        self.old.handler = engine
        asking = self.ask("r1")
        await asyncio.sleep(1.5)
        engine.woken.set()
        reply = await asking
        self.assertTrue(reply.whole)

    async def test_caller_gets_error_within_deadline_when_no_engine_can_serve(self) -> None:
        """Guards against a suspended engine that starts work on resuming, for callers that have
        already disconnected."""
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "new")
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new") is None)
        self.old.handler = StartsWhenWoken()
        began = asyncio.get_running_loop().time()
        reply = await self.ask("r1")
        self.assertLess(asyncio.get_running_loop().time() - began, CALLER_DEADLINE_SECONDS)
        self.assertEqual((reply.status, reply.whole), (502, True))
        await self.fleet.wait_until(lambda: self.old.closed_early == 1)

    async def test_request_that_is_not_idempotent_is_not_retried(self) -> None:
        """An endpoint stalls with a charge that it may have started. Retried on another endpoint,
        the charge would run twice."""
        self.old.handler = self.new.handler = stop_midway
        began = asyncio.get_running_loop().time()
        reply = await self.ask("r1", "unsafe")
        self.assertGreater(asyncio.get_running_loop().time() - began, CALLER_DEADLINE_SECONDS)
        self.assertEqual(self.old.runs["r1"] + self.new.runs["r1"], 1)
        self.assertNotEqual(reply.status, 503)


class GoneEndpointTest(VersionBoundCase):
    """An engine whose registration is gone while it has requests in progress."""

    bounds = Bounds(drain=2.0)

    async def test_unstarted_request_of_removed_engine_is_recalled_within_drain_bound(
        self,
    ) -> None:
        """An engine's registration expires while it is suspended, and it counts as gone. A request
        sent to it earlier is unread on its connection. On resuming, the engine would start it,
        seconds after the time from which it must get no more work."""
        engine = StartsWhenWoken()
        self.old.handler = engine
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: bool(self.old.received))
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "old")
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("old") is None)
        await asyncio.sleep(self.bounds.drain + 0.1)
        engine.woken.set()
        reply = await asking
        self.assertEqual((self.old.runs["r1"], reply.status), (0, 502))

    async def test_started_request_of_removed_engine_completes(self) -> None:
        """An engine's registration disappears without a draining state before, while the engine
        keeps working. If its requests were aborted, their callers would lose responses that were
        already being sent."""
        self.old.handler = stream_slowly
        asking = self.ask("r1")
        await self.fleet.wait_until(lambda: bool(self.old.received))
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "old")
        reply = await asking
        self.assertTrue(reply.whole)


async def stream_slowly(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Streams with pauses long enough for the endpoint to count as silent."""
    more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(response_head(request, endpoint, "200 OK", *more))
    for number in range(1, 4):
        event = f"id: {number}\ndata: t{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


if __name__ == "__main__":
    unittest.main()
