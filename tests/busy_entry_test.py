"""An overloaded entry, tested over real sockets.

Each request of a burst costs the entry as much time as on an instance that runs several times
slower than usual, and all of them are waiting when the event loop next polls.
"""

import asyncio
import socket
import unittest
from unittest import mock

from tornado import iostream

from tests.fake_platform import HOST, ReceivedRequest, Reply, make_configuration, read_reply, refuse
from tests.gateway_test import GatewayCase
from wasabidrum.core.request_head import RequestHead
from wasabidrum.gateway import endpoint_connection
from wasabidrum.platform import heads, names

# As many connections as the system queues for a listener that does not accept them.
BURST_REQUESTS = 120
SECONDS_PER_REQUEST = 0.01
BURST_SECONDS = BURST_REQUESTS * SECONDS_PER_REQUEST
ROUTE_MS = 9000
DEADLINE_MS = 6000
real_read_request = heads.read_request


# Limit for a response whose latency is not under test, long enough for a busy machine.
RESPONSE_TIMEOUT_SECONDS = 20.0


class WatchingEngine:
    """An engine that can be asked at any time whether its connection has ended.

    Attributes:
      began: Whether a request has arrived.
      ended_at: When the end of its connection was first seen, by the event loop's clock.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server((HOST, 0))
        self.listener.setblocking(False)
        self.began = False
        self.ended_at = 0.0
        self._connection: socket.socket | None = None

    def look(self) -> None:
        """Accepts a request, or notes the end of its connection."""
        try:
            if self._connection is None:
                self._connection, _ = self.listener.accept()
                self._connection.setblocking(False)
            ended = not self._connection.recv(65_536)
            self.began = True
        except BlockingIOError:
            return
        except ConnectionResetError:
            ended = True
        if ended and not self.ended_at:
            self.ended_at = asyncio.get_running_loop().time()

    def close(self) -> None:
        """Closes its sockets."""
        self.listener.close()
        if self._connection is not None:
            self._connection.close()


class BusyEntryCase(GatewayCase):
    """An entry whose next event loop iteration finds a burst of requests."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.callers: list[socket.socket] = []
        self.engine: WatchingEngine | None = None
        patched = mock.patch.object(heads, "read_request", self.read_request_slowly)
        patched.start()
        self.addCleanup(patched.stop)

    async def asyncTearDown(self) -> None:
        for caller in self.callers:
            caller.close()
        await super().asyncTearDown()

    def read_request_slowly(self, start, headers) -> RequestHead:
        """Reads a request head; one of the burst takes as long as on a slow instance."""
        head = real_read_request(start, headers)
        if head.request_id.startswith("crowd"):
            self.loop.hold_up(SECONDS_PER_REQUEST)
            if self.engine is not None:
                self.engine.look()
        return head

    def connect(self) -> socket.socket:
        """Opens a connection without yielding to the event loop."""
        address = self.fleet.deployments[0].callers
        caller = socket.create_connection((address.host, address.port), timeout=1.0)
        self.callers.append(caller)
        return caller

    def send(
        self, caller: socket.socket, kind: str, request_id: str, deadline: int = DEADLINE_MS
    ) -> None:
        """Sends a whole request without yielding to the event loop."""
        lines = (
            f"POST /{kind}/a?b=c HTTP/1.1",
            "Host: tally.example",
            f"{names.REQUEST_ID}: {request_id}",
            f"{names.DEADLINE}: {deadline}",
            "Content-Length: 1",
        )
        caller.sendall("\r\n".join([*lines, "", "x"]).encode())

    def send_burst(self) -> None:
        """Sends the requests of the burst, none of which matches a route."""
        for number in range(BURST_REQUESTS):
            self.send(self.connect(), "nothing", f"crowd-{number}")

    async def read_reply_on(self, caller: socket.socket) -> Reply:
        """Reads the response on a connection."""
        reader, _ = await asyncio.open_connection(sock=caller)
        async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
            return await read_reply(reader)

    def received(self, request_id: str) -> list[ReceivedRequest]:
        """Returns the copies of a request that endpoints received."""
        all_received = self.a.received + self.b.received
        return [s for s in all_received if s.headers[names.REQUEST_ID.lower()] == request_id]


class CallerDisconnectTest(BusyEntryCase):
    """Disconnects of callers, as noticed by an overloaded entry."""

    async def test_request_is_cancelled_at_once_during_burst(self) -> None:
        """Many requests arrive at once at a slow entry, and a caller whose request is running on an
        engine disconnects. If the entry first read everything that has arrived, it would check
        neither for closed connections nor for timers for seconds; the engine would work for nobody
        while other requests wait for its slots, and the events of other streams would be delayed as
        long."""
        engine = self.engine = WatchingEngine()
        self.addCleanup(engine.close)
        await self.move_endpoints_to(engine.listener.getsockname()[1])
        caller = self.connect()
        self.send(caller, "unsafe", "r1")
        await self.fleet.wait_until(lambda: engine.look() or engine.began)
        self.send_burst()
        caller.close()
        left_at = asyncio.get_running_loop().time()
        await self.fleet.wait_until(lambda: engine.look() or engine.ended_at, seconds=5.0)
        self.assertLess(engine.ended_at - left_at, BURST_SECONDS / 2)

    async def test_unread_request_of_disconnected_caller_is_not_started(self) -> None:
        """A request is still unread at a busy entry when its caller gives up and disconnects. If it
        were processed as new, it would take a connection to an engine, and a place in the entry's
        counts, from a request whose caller is still waiting."""
        self.send_burst()
        caller = self.connect()
        self.send(caller, "unsafe", "r1")
        caller.close()
        connect = mock.AsyncMock(side_effect=endpoint_connection.connect)
        with mock.patch.object(endpoint_connection, "connect", connect):
            await self.fleet.ask(0, "tally", "nothing", "last")
            await asyncio.sleep(0.1)
        self.assertEqual(connect.await_count, 0)
        self.assertEqual(self.received("r1"), [])

    async def move_endpoints_to(self, port: int) -> None:
        """Registers both endpoints at another port, and waits until the entry has applied it."""
        for endpoint in (self.a, self.b):
            entry = endpoint.entry(address=f"{HOST}:{port}")
            await self.fleet.store.put(names.ENDPOINT_PREFIX + endpoint.id, entry)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: {e.port for e in endpoints.endpoints} == {port})


class SameIterationTest(BusyEntryCase):
    """A caller that disconnects in the same event loop iteration in which its request's state
    changes."""

    async def test_nothing_is_sent_when_caller_disconnects_during_connect(self) -> None:
        """A caller disconnects while a connection to an engine is being opened, and a busy entry
        learns of both in one iteration of its event loop. The request's task is cancelled just as
        its wait succeeds, and unless that cancellation takes effect the request is sent. Nothing
        cancels it again: the engine holds a slot for it until its first event finds that the caller
        is gone."""
        caller = self.connect()
        real_connect = iostream.IOStream.connect

        def connect_as_caller_disconnects(stream, address, *args):
            connecting = real_connect(stream, address, *args)
            if address[1] in (self.a.port, self.b.port):
                caller.close()
            return connecting

        with mock.patch.object(iostream.IOStream, "connect", connect_as_caller_disconnects):
            self.send(caller, "unsafe", "r1")
            await self.fleet.wait_until(lambda: caller.fileno() < 0)
            await asyncio.sleep(0.1)
        self.assertEqual(self.received("r1"), [])

    async def test_refused_request_is_not_retried_after_caller_disconnects(self) -> None:
        """An engine refuses a request in the event loop iteration in which its caller disconnects.
        Unless the cancellation takes effect, the request is retried on another engine, for
        nobody."""
        caller = self.connect()

        async def refuse_as_caller_disconnects(endpoint, request, writer) -> None:
            await refuse(endpoint, request, writer)
            caller.close()

        self.set_both(refuse_as_caller_disconnects)
        self.send(caller, "unsafe", "r1")
        await self.fleet.wait_until(lambda: caller.fileno() < 0)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.received("r1")), 1)


class UnreadTimeTest(BusyEntryCase):
    """Time that a request spends unread, where the route's time limit is longer than the caller's
    deadline."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        configuration = make_configuration(8, "tally")
        for route in configuration["routes"]:
            route.update(timeoutMs=ROUTE_MS)
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        await self.fleet.wait_until(lambda: self.gateway.state.version == 8)

    async def test_time_spent_unread_is_deducted_from_endpoint_deadline(self) -> None:
        """A request is unread for a second at a busy entry. If its deadline were counted from when
        it is read, it would end a second after the caller has given up, and until then an endpoint
        would work for nobody."""
        self.send_burst()
        caller = self.connect()
        self.send(caller, "safe", "r1")
        self.assertEqual((await self.read_reply_on(caller)).status, 200)
        sent_deadline = int(self.received("r1")[0].headers[names.DEADLINE.lower()])
        self.assertLessEqual(sent_deadline, DEADLINE_MS - 1000 * BURST_SECONDS)

    async def test_request_that_expired_unread_is_refused(self) -> None:
        """A request with a deadline of 300 ms is read after a second. If it were forwarded, it
        would take an endpoint's slot for a response that comes too late in any case; if it is
        refused as not run, its caller may retry elsewhere."""
        self.send_burst()
        caller = self.connect()
        self.send(caller, "unsafe", "r1", deadline=300)
        reply = await self.read_reply_on(caller)
        self.assertEqual((reply.status, self.received("r1")), (503, []))
        self.assertIn(b"deadline_passed", reply.body)

    async def test_early_connection_does_not_reduce_request_deadline(self) -> None:
        """A caller opens a connection ahead of its request. If the deadline were counted from the
        opening, the request would have less time than its caller allows."""
        self.send_burst()
        caller = self.connect()
        await self.fleet.ask(0, "tally", "nothing", "last")
        self.send(caller, "safe", "r1")
        self.assertEqual((await self.read_reply_on(caller)).status, 200)
        sent_deadline = int(self.received("r1")[0].headers[names.DEADLINE.lower()])
        self.assertGreater(sent_deadline, DEADLINE_MS - 1000 * BURST_SECONDS / 2)


if __name__ == "__main__":
    unittest.main()
