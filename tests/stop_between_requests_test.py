"""Requests that arrive on kept connections in the moment in which an entry stops."""

import asyncio
import collections.abc
import re
import unittest
import unittest.mock

from tornado import iostream

from tests.fake_platform import (
    PlatformFleet,
    Reply,
    answer_ok,
    make_configuration,
    quiet_log,
    read_reply,
)
from tests.paused_clock import PausedClockCase
from wasabidrum.config.settings import PlatformSettings, Settings
from wasabidrum.entry.daemon import LEAVING_NOTICE_SECONDS, Entry, make_entry
from wasabidrum.gateway.daemon import LOAD_BALANCER_DELAY_SECONDS, Gateway
from wasabidrum.platform import names

SERVICE = "tally"
CONNECTIONS = 40
# How long an answer takes that is in progress when the entry stops to accept requests.
ANSWER_SECONDS = 0.8
NOWHERE = "http://127.0.0.1:9"
REQUEST_IN_BYTES = re.compile(rb"^POST .*\r\nX-Request-Number: (\S+)\r\n", re.S)


class StopCase(PausedClockCase):
    """An entry that ends, and callers that keep their connections."""

    path: str
    host = "a.example"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.read: set[str] = set()
        self.answered: dict[str, Reply] = {}
        self.daemon, self.port = await self.start_entry()
        read_from_fd = iostream.IOStream.read_from_fd

        def watch(stream: iostream.IOStream, buffer: bytearray) -> int | None:
            count = read_from_fd(stream, buffer)
            found = REQUEST_IN_BYTES.match(bytes(buffer[: count or 0]))
            if found is not None:
                self.read.add(found[1].decode())
            return count

        watching = unittest.mock.patch.object(iostream.IOStream, "read_from_fd", watch)
        watching.start()
        self.addCleanup(watching.stop)

    async def start_entry(self) -> tuple[Gateway | Entry, int]:
        """Starts an entry; returns it and the port for callers."""
        raise NotImplementedError

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection to the entry."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        """Sends a request, and records its answer if one comes."""
        head = (
            f"POST {self.path} HTTP/1.1\r\nX-Request-Number: {request_id}\r\n"
            f"{names.REQUEST_ID}: {request_id}\r\nHost: {self.host}\r\nContent-Length: 2\r\n\r\n"
        )
        writer.write(head.encode() + b"{}")
        try:
            self.answered[request_id] = await read_reply(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def ask_after(self, iterations: int, *connection: object, request_id: str) -> None:
        """Sends a request after some iterations of the event loop."""
        for _ in range(iterations):
            await asyncio.sleep(0)
        await self.ask(*connection, request_id)

    async def stop_while_requests_arrive(self, seconds: float) -> None:
        """Stops the entry; requests arrive one after the other from some time after that."""
        connections = [await self.connect() for _ in range(CONNECTIONS)]
        for number, connection in enumerate(connections):
            await self.ask(*connection, f"before-{number}")
        self.assertEqual(len(self.answered), CONNECTIONS)
        stopping = asyncio.ensure_future(self.daemon.stop())
        stopping.add_done_callback(lambda stopped: self.end_process())
        await asyncio.sleep(seconds)
        asking = [
            asyncio.ensure_future(self.ask_after(number, *connection, request_id=f"at-{number}"))
            for number, connection in enumerate(connections)
        ]
        await stopping
        await asyncio.gather(*asking)

    def end_process(self) -> None:
        """Closes the connections of callers as the end of the entry's process does."""
        for server in self.daemon._servers:
            for connection in list(server._connections):
                connection.stream.close()

    def check(self) -> None:
        """Checks that all requests that the entry has read were answered."""
        self.assertTrue([r for r in self.read if r.startswith("at-")])
        self.assertEqual(sorted(self.read - self.answered.keys()), [])
        self.assertTrue(all(reply.whole for reply in self.answered.values()))


class StopBetweenRequestsTest(StopCase):
    """An entry of a platform that publishes routes."""

    path = "/safe/a"
    host = f"{SERVICE}.example"

    async def start_entry(self) -> tuple[Gateway, int]:
        """Starts an entry with an endpoint."""
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, SERVICE))
        self.endpoint = await self.fleet.add_endpoint("e0", SERVICE)
        gateway = await self.fleet.add_gateway("entry")
        await self.fleet.wait_until(lambda: gateway.ready)
        return gateway, self.fleet.deployments[0].callers.port

    async def test_requests_that_arrive_while_an_idle_entry_ends(self) -> None:
        """Guards against a request that the entry has read, and whose task is cancelled before it
        has begun, because no request was counted as in progress when the entry stopped."""
        await self.stop_while_requests_arrive(LOAD_BALANCER_DELAY_SECONDS)
        self.check()

    async def test_requests_that_arrive_while_the_last_answer_ends(self) -> None:
        """The same in the moment in which the entry's last request in progress is answered."""

        async def answer_slowly(endpoint, request, writer) -> None:
            await asyncio.sleep(ANSWER_SECONDS)
            await answer_ok(endpoint, request, writer)

        async def ask_late() -> None:
            await asyncio.sleep(LOAD_BALANCER_DELAY_SECONDS - 0.1)
            self.endpoint.handler = answer_slowly
            await self.ask(*await self.connect(), "last")

        last = asyncio.ensure_future(ask_late())
        await self.stop_while_requests_arrive(LOAD_BALANCER_DELAY_SECONDS - 0.1 + ANSWER_SECONDS)
        await last
        self.check()
        self.assertEqual(self.answered["last"].status, 200)

    async def test_request_that_outlasts_the_grace_period(self) -> None:
        """Guards against a request in progress whose task is cancelled at the end of the stop, and
        whose caller is told nothing."""

        async def never_answer(endpoint, request, writer) -> None:
            await asyncio.sleep(60.0)

        configuration = make_configuration(8, SERVICE)
        for route in configuration["routes"]:
            route["timeoutMs"] = 30_000
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        await self.fleet.wait_until(lambda: self.daemon.state.version == 8)
        self.endpoint.handler = never_answer
        asking = asyncio.ensure_future(self.ask(*await self.connect(), "last"))
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.endpoint.received), 1)
        await self.daemon.stop()
        self.end_process()
        await asking
        self.assertEqual(self.answered["last"].status, 504)
        self.assertTrue(self.answered["last"].whole)

    async def test_request_that_is_read_as_the_grace_period_ends(self) -> None:
        """Guards against a request whose task is cancelled before its first step, and whose caller
        is told nothing."""
        start = self.daemon.tasks.start

        def start_cancelled(name: str, work: collections.abc.Coroutine) -> asyncio.Task:
            task = start(name, work)
            if name == "request":
                task.cancel()
            return task

        with unittest.mock.patch.object(
            type(self.daemon.tasks), "start", side_effect=start_cancelled
        ):
            async with asyncio.timeout(5.0):
                await self.ask(*await self.connect(), "last")
        self.assertEqual(self.answered["last"].status, 503)

    async def test_half_a_request_does_not_hold_up_the_stop(self) -> None:
        """Guards against an entry that waits for callers who never send the rest of a request."""
        for sent in (b"POST /safe/a HT", b"POST /safe/a HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"):
            _, writer = await self.connect()
            writer.write(sent)
        await asyncio.sleep(0.1)
        began = self.loop.time()
        await self.daemon.stop()
        self.assertLess(self.loop.time() - began, LOAD_BALANCER_DELAY_SECONDS + 0.5)


class OwnDialectTest(StopCase):
    """An entry of the own dialect."""

    path = "/v1/completions"

    async def start_entry(self) -> tuple[Entry, int]:
        """Starts an entry without a configuration, which refuses all requests."""
        platform = PlatformSettings(NOWHERE, NOWHERE, NOWHERE)
        settings = Settings("e", "entry", "rift-a", "rift", "rift-a", platform, control="service")
        entry = make_entry(settings, quiet_log("e"))
        await entry.start()
        sockets = entry._servers[0]._sockets.values()
        return entry, next(iter(sockets)).getsockname()[1]

    async def test_requests_that_arrive_while_an_idle_entry_ends(self) -> None:
        """Guards against a request that the entry has read in the event loop's last iterations, and
        whose connection the end of its process closes."""
        await self.stop_while_requests_arrive(LEAVING_NOTICE_SECONDS)
        self.check()


if __name__ == "__main__":
    unittest.main()
