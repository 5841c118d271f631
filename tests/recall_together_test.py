"""Many requests that are recalled from one endpoint in the same moment."""

import asyncio
import unittest

from tests.listed_platform import FakeEndpoint, Reply, Seen, head_of, stream_events
from tests.version_bound_test import (
    MODEL,
    SERVICE,
    BeginsWhenWoken,
    VersionBoundCase,
    make_engines_configuration,
)
from wasabidrum.config.deployment import Bounds
from wasabidrum.platform import names

# Longer than an endpoint may be silent before it is taken for one that stands still.
SILENT_SECONDS = 1.0
HELD = 3


class TakenBackTogetherCase(VersionBoundCase):
    """An engine that holds requests of several callers, and another that comes later."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.engine = BeginsWhenWoken()
        self.old.behave = self.engine

    async def hold(self) -> "list[asyncio.Future[Reply]]":
        """Sends requests to the only engine, which begins none of them yet."""
        asking = [self.ask(f"r{number}") for number in range(HELD)]
        await self.fleet.wait_until(lambda: len(self.old.seen) == HELD)
        return asking

    async def list_other(self) -> None:
        """Has the other engine join with the same weights."""
        await self.register(self.new, 1)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new").weights == 1)

    async def wake_and_read(self, asking: "list[asyncio.Future[Reply]]") -> list[int]:
        """Wakes the engine after a while; returns what the callers were told."""
        await asyncio.sleep(SILENT_SECONDS)
        self.engine.woken.set()
        return [reply.status for reply in await asyncio.gather(*asking)]


class OneRetryTest(TakenBackTogetherCase):
    """A retry budget that covers one request."""

    bounds = Bounds(retry_extra=4.5)

    async def test_what_the_budget_does_not_cover_waits_for_its_engine(self) -> None:
        """An engine is suspended for a moment with requests of three callers, and the retry
        budget has one retry left. Each request by itself is covered, and all are taken away at
        once; the first spends the retry, and the others have nowhere to go. Their callers are
        told that nobody answered, where they would have been answered a second later."""
        asking = await self.hold()
        await self.list_other()
        self.assertEqual(await self.wake_and_read(asking), [200] * HELD)


class RoomForOneTest(TakenBackTogetherCase):
    """Another engine that has room for one request."""

    bounds = Bounds()

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        configuration = make_engines_configuration()
        configuration["version"] = 8
        configuration["services"][0]["engine"] = {"slots": 1, "models": [{"name": MODEL}]}
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        await self.fleet.wait_until(lambda: self.gateway.state.version == 8)

    async def test_what_the_other_engine_has_no_room_for_waits_for_its_engine(self) -> None:
        """An engine is suspended for a moment with requests of three callers, and the only
        other one is busy and could take one of them in time. It is found able for each of them
        by itself, and all are taken away at once. Those that come second find it full, and
        their callers are told that nobody answered, where they would have been answered a
        second later."""
        asking = await self.hold()
        self.new.behave = stream_for_long
        await self.list_other()
        busy = [self.ask(f"busy{number}") for number in range(2)]
        await self.fleet.wait_until(lambda: len(self.new.seen) == 2)
        self.assertEqual(await self.wake_and_read(asking), [200] * HELD)
        for request in busy:
            request.cancel()


class LongPromptTest(VersionBoundCase):
    """Two engines with the same weights, and a request that takes long to read."""

    bounds = Bounds()

    async def test_what_is_answered_as_soon_as_forecast_is_not_taken_away(self) -> None:
        """A caller sends a prompt that takes an engine a second to read, and the entry forecasts
        its first event for then. Half a second without an event passes for an engine that
        stands still: the request is taken away, the part that was read is lost, and another
        engine reads it from its start. The caller waits half as long again, a retry is spent,
        and a healthy engine loses its share."""

        async def read_and_stream(
            endpoint: FakeEndpoint, seen: Seen, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(SILENT_SECONDS)
            await stream_events(1, 5)(endpoint, seen, writer)

        self.old.behave = self.new.behave = read_and_stream
        await self.register(self.new, 1)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("new").weights == 1)
        usage = f"{names.TOKEN_USAGE}: 20000,20"
        reply = await self.fleet.ask(0, SERVICE, "streaming", "r1", usage, seconds=8.0)
        self.assertTrue(reply.whole)
        self.assertEqual(len(self.old.seen) + len(self.new.seen), 1)


async def stream_for_long(endpoint: FakeEndpoint, seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Streams an event every 0.1 s, for longer than a test lasts."""
    more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(head_of(seen, endpoint, "200 OK", *more))
    for number in range(1, 100):
        event = f"id: {number}\ndata: t{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
