"""Several requests that are recalled from one endpoint at the same time."""

import asyncio
import unittest

from tests.fake_platform import FakeEndpoint, ReceivedRequest, Reply, response_head, stream_events
from tests.version_bound_test import (
    MODEL,
    SERVICE,
    StartsWhenWoken,
    VersionBoundCase,
    make_engines_configuration,
)
from wasabidrum.config.deployment import Bounds
from wasabidrum.platform import names

# Longer than an endpoint may be silent before it counts as stalled.
SILENT_SECONDS = 1.0
HELD = 3


class RecalledTogetherCase(VersionBoundCase):
    """An engine that holds requests of several callers, and another that registers later."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.engine = StartsWhenWoken()
        self.old.handler = self.engine

    async def hold(self) -> "list[asyncio.Future[Reply]]":
        """Sends requests to the only engine, which does not start them yet."""
        asking = [self.ask(f"r{number}") for number in range(HELD)]
        await self.fleet.wait_until(lambda: len(self.old.received) == HELD)
        return asking

    async def register_other(self) -> None:
        """Registers the other engine with the same weights."""
        await self.register(self.new, 1)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new").weights == 1)

    async def wake_and_read(self, asking: "list[asyncio.Future[Reply]]") -> list[int]:
        """Wakes the engine after a while and returns the callers' status codes."""
        await asyncio.sleep(SILENT_SECONDS)
        self.engine.woken.set()
        return [reply.status for reply in await asyncio.gather(*asking)]


class OneRetryTest(RecalledTogetherCase):
    """A retry budget that covers one request."""

    bounds = Bounds(retry_extra=4.5)

    async def test_requests_beyond_retry_budget_wait_for_their_engine(self) -> None:
        """An engine is suspended for a moment with requests of three callers, and the retry budget
        has one retry left. It covers each request on its own; if all were recalled at once, the
        first would spend the retry and the others could not be placed. Their callers would get
        errors, although their responses would have come a second later."""
        asking = await self.hold()
        await self.register_other()
        self.assertEqual(await self.wake_and_read(asking), [200] * HELD)


class RoomForOneTest(RecalledTogetherCase):
    """Another engine with capacity for one request."""

    bounds = Bounds()

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        configuration = make_engines_configuration()
        configuration["version"] = 8
        configuration["services"][0]["engine"] = {"slots": 1, "models": [{"name": MODEL}]}
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        await self.fleet.wait_until(lambda: self.gateway.state.version == 8)

    async def test_requests_beyond_other_engines_capacity_wait_for_their_engine(self) -> None:
        """An engine is suspended for a moment with requests of three callers, and the only other
        one is busy and could take one of them in time. It has capacity for each request on its own;
        if all were recalled at once, the later ones would find it full, and their callers would get
        errors, although their responses would have come a second later."""
        asking = await self.hold()
        self.new.handler = stream_for_long
        await self.register_other()
        busy = [self.ask(f"busy{number}") for number in range(2)]
        await self.fleet.wait_until(lambda: len(self.new.received) == 2)
        self.assertEqual(await self.wake_and_read(asking), [200] * HELD)
        for request in busy:
            request.cancel()


class LongPromptTest(VersionBoundCase):
    """Two engines with the same weights, and a request whose prompt takes long to process."""

    bounds = Bounds()

    async def test_request_answered_within_forecast_is_not_recalled(self) -> None:
        """A caller sends a prompt that an engine takes a second to process, and the entry forecasts
        the first event accordingly. If half a second without an event counted as a stalled engine,
        the request would be recalled, the processed part of the prompt would be lost, and another
        engine would process it from the start. The caller would wait half as long again, a retry
        would be spent, and a healthy engine would lose its share of traffic."""

        async def read_and_stream(
            endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(SILENT_SECONDS)
            await stream_events(1, 5)(endpoint, request, writer)

        self.old.handler = self.new.handler = read_and_stream
        await self.register(self.new, 1)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new").weights == 1)
        usage = f"{names.TOKEN_USAGE}: 20000,20"
        reply = await self.fleet.ask(0, SERVICE, "streaming", "r1", usage, seconds=8.0)
        self.assertTrue(reply.whole)
        self.assertEqual(len(self.old.received) + len(self.new.received), 1)


async def stream_for_long(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Streams an event every 0.1 s, for longer than a test runs."""
    more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(response_head(request, endpoint, "200 OK", *more))
    for number in range(1, 100):
        event = f"id: {number}\ndata: t{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
