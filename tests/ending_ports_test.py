"""Callers that connect, or send a request, in the moment in which a daemon stops listening.

They judge by their own sockets: a caller whose connection was accepted gets a whole answer to what
it sends, or the connection is closed before it sends anything.
"""

import asyncio
import select
import socket
import unittest
import unittest.mock

from tornado import iostream, tcpserver

from standins.ports import free_ports
from tests.fake_platform import HOST, PORTS_OF_ONE, PlatformFleet, Reply, quiet_log, read_reply
from tests.paused_clock import PausedClockCase
from wasabidrum.config.deployment import Address, Bounds, Deployment
from wasabidrum.config.settings import EndpointSettings, PlatformSettings, Settings
from wasabidrum.entry import daemon as own_entry
from wasabidrum.gateway import daemon as gateway
from wasabidrum.sidecar import daemon as own_sidecar
from wasabidrum.sidecar.deployed import make_deployed_sidecar
from wasabidrum.weights.chunk_member import CHUNK_PORT_OFFSET
from wasabidrum.wire import ending_server

NOWHERE = "http://127.0.0.1:9"
BODY = b'{"prompt": "x"}'
BACKLOG = 8
ITERATIONS = 40
# How long the event loop is held up by one of its iterations.
SLOW_ITERATION_SECONDS = 0.3
# From the connecting of a caller, and from the first half of a request, to what it sends next.
CALLER_PAUSE_SECONDS = 0.02
PIECES = 10
PIECE_BYTES = 5_000
PIECE_SECONDS = 0.05


class Caller:
    """A caller with one connection.

    Attributes:
      seen: What it saw: "refused" if it could not connect, "closed" if its connection was closed
        before it sent anything, the status of a whole answer, or the error.
      reply: The answer.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._sock: socket.socket | None = None
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.seen: str | int = ""
        self.reply: Reply | None = None

    @property
    def is_closed_by_peer(self) -> bool:
        """Whether the daemon has closed the connection, and the kernel knows."""
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def connect(self) -> None:
        """Connects without a turn of the event loop: the kernel accepts the connection."""
        try:
            self._sock = socket.create_connection((HOST, self._port), timeout=1.0)
        except ConnectionRefusedError:
            self.seen = "refused"

    def send(self, content: bytes) -> None:
        """Sends bytes, unless the connection is known to be closed."""
        if self.seen:
            return
        if self.is_closed_by_peer:
            self.seen = "closed"
            return
        try:
            self._sock.sendall(content)
        except ConnectionError as error:
            self.seen = repr(error)

    def send_rest(self, content: bytes) -> None:
        """Sends the rest of a request, unless the connection is known to be closed."""
        if not self.is_closed_by_peer:
            self.send(content)

    def send_crossing(self, content: bytes) -> None:
        """Sends a request as a caller does that has not seen yet that its connection is closed."""
        self._sock.sendall(content)

    async def read_first_answer(self) -> None:
        """Waits for an answer, and keeps the connection."""
        reader, writer = await asyncio.open_connection(sock=self._sock.dup())
        await read_reply(reader)
        writer.transport.pause_reading()
        writer.transport.abort()

    async def read(self) -> None:
        """Waits for the answer, and closes the connection."""
        if self.seen:
            return
        try:
            reader, writer = await asyncio.open_connection(sock=self._sock)
            self.reply = await read_reply(reader)
            self.seen = self.reply.status if self.reply.whole else "cut"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.seen = repr(error)
        else:
            writer.close()

    async def send_slowly(self, head: bytes) -> None:
        """Sends a request in pieces, whatever is answered meanwhile, and then reads the answer."""
        reader, writer = await asyncio.open_connection(HOST, self._port)
        try:
            writer.write(head)
            for _ in range(PIECES):
                await asyncio.sleep(PIECE_SECONDS)
                writer.write(b"x" * PIECE_BYTES)
                await writer.drain()
            self.reply = await read_reply(reader)
            self.seen = self.reply.status if self.reply.whole else "cut"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.seen = repr(error)
        finally:
            writer.close()


class EndingPorts(PausedClockCase):
    """A daemon that ends, and callers of some of its ports.

    Attributes:
      stops_listening_after: From the beginning of the stop, in seconds.
      targets: The ports, with a path at each.
    """

    stops_listening_after: float
    targets: dict[int, str]

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.servers: dict[int, tcpserver.TCPServer] = {}
        self.streams: list[tuple[int, iostream.IOStream]] = []
        add_sockets = tcpserver.TCPServer.add_sockets
        make_stream = iostream.IOStream.__init__

        def watch_server(server: tcpserver.TCPServer, sockets: list[socket.socket]) -> None:
            self.servers |= {sock.getsockname()[1]: server for sock in sockets}
            add_sockets(server, sockets)

        def watch_stream(
            stream: iostream.IOStream, sock: socket.socket, *args: object, **kwargs: object
        ) -> None:
            make_stream(stream, sock, *args, **kwargs)
            self.streams.append((sock.getsockname()[1], stream))

        for owner, name, method in (
            (tcpserver.TCPServer, "add_sockets", watch_server),
            (iostream.IOStream, "__init__", watch_stream),
        ):
            watching = unittest.mock.patch.object(owner, name, method)
            watching.start()
            self.addCleanup(watching.stop)
        self.daemon = await self.start_daemon()
        self.callers: list[Caller] = []

    async def start_daemon(self) -> object:
        """Starts the daemon, sets the targets and returns it."""
        raise NotImplementedError

    def request(self, port: int, length: int = len(BODY)) -> bytes:
        """Returns the head of a request for a port."""
        return (
            f"POST {self.targets[port]} HTTP/1.1\r\nHost: a.example\r\n"
            f"Content-Length: {length}\r\n\r\n"
        ).encode()

    def connect(self) -> list[tuple[int, Caller]]:
        """Connects a caller to each port."""
        made = [(port, Caller(port)) for port in self.targets]
        self.callers += [caller for _, caller in made]
        for _, caller in made:
            caller.connect()
        return made

    def connect_and_send(self) -> None:
        """Connects a caller to each port, which sends a request at once."""
        for port, caller in self.connect():
            caller.send(self.request(port) + BODY)

    def end_process(self) -> None:
        """Closes the sockets of the ports as the end of the daemon's process does."""
        for port in self.targets:
            self.servers[port].stop()
        for port, stream in self.streams:
            if port in self.targets:
                stream.close()

    async def stop_daemon(self) -> None:
        """Stops the daemon."""
        await self.daemon.stop()

    def begin_stop(self) -> asyncio.Future:
        """Begins to stop the daemon."""
        stopping = asyncio.ensure_future(self.stop_daemon())
        stopping.add_done_callback(lambda stopped: self.end_process())
        return stopping

    async def wait_until_due(self) -> None:
        """Waits until the daemon is to stop listening in the next iteration but one."""
        await asyncio.sleep(self.stops_listening_after - 0.001)
        self.loop.hold_up(0.002)
        await asyncio.sleep(0)

    async def read_answers(self) -> None:
        """Lets all callers read."""
        async with asyncio.timeout(60.0):
            await asyncio.gather(*(caller.read() for caller in self.callers))

    def check(self, *allowed: str) -> None:
        """Checks that all callers got an answer, or what is allowed instead of one."""
        lost = [c.seen for c in self.callers if isinstance(c.seen, str) and c.seen not in allowed]
        self.assertEqual(lost, [])
        self.assertTrue([c for c in self.callers if isinstance(c.seen, int)])


class EndingPortsTests:
    """The failures, for each daemon."""

    async def test_connections_in_the_backlog(self) -> None:
        """Guards against a daemon that closes a listening socket on connections that the kernel
        has accepted for it, and which came while one iteration of its event loop was slow."""
        stopping = self.begin_stop()
        await self.wait_until_due()
        for _ in range(BACKLOG):
            self.connect_and_send()
        self.loop.hold_up(SLOW_ITERATION_SECONDS)
        await asyncio.gather(stopping, self.read_answers())
        self.check()

    async def test_connections_in_each_iteration(self) -> None:
        """Guards against a daemon that ends with connections that it has accepted and not read."""
        stopping = self.begin_stop()
        await self.wait_until_due()
        for _ in range(ITERATIONS):
            self.connect_and_send()
            await asyncio.sleep(0)
        await asyncio.gather(stopping, self.read_answers())
        self.check("refused")

    async def test_first_request_soon_after_the_connect(self) -> None:
        """Guards against a daemon that closes a new connection as idle, though the first request
        is about to come."""
        stopping = self.begin_stop()
        await self.wait_until_due()
        made = self.connect()
        await asyncio.sleep(CALLER_PAUSE_SECONDS)
        for port, caller in made:
            caller.send(self.request(port) + BODY)
        await asyncio.gather(stopping, self.read_answers())
        self.check()

    async def test_rest_of_a_request_soon_after_its_first_half(self) -> None:
        """Guards against a daemon that closes a connection with half a request unanswered."""
        stopping = self.begin_stop()
        await asyncio.sleep(self.stops_listening_after - CALLER_PAUSE_SECONDS / 2)
        rests = []
        for cut in (10, -len(BODY), -1):
            for port, caller in self.connect():
                whole = self.request(port) + BODY
                caller.send(whole[:cut])
                rests.append((caller, whole[cut:]))
        await asyncio.sleep(CALLER_PAUSE_SECONDS)
        for caller, rest in rests:
            caller.send_rest(rest)
        await asyncio.gather(stopping, self.read_answers())
        self.check()
        for caller in self.callers:
            self.assertEqual(caller.seen, 503)
            self.assertIn("retry-after", caller.reply.headers)

    async def test_kept_connections_in_each_iteration(self) -> None:
        """Guards against a daemon that closes a kept connection in the iteration in which a
        request comes on it."""
        kept = []
        for _ in range(ITERATIONS):
            made = self.connect()
            for port, caller in made:
                caller.send(self.request(port) + BODY)
            kept.append(made)
        streams = [
            await asyncio.open_connection(sock=caller._sock.dup()) for caller in self.callers
        ]
        replies = await asyncio.gather(*(read_reply(reader) for reader, _ in streams))
        self.assertTrue(all(reply.whole for reply in replies))
        for _, writer in streams:
            writer.transport.pause_reading()
            writer.transport.abort()
        stopping = self.begin_stop()
        await self.wait_until_due()
        for made in kept:
            for port, caller in made:
                caller.send(self.request(port) + BODY)
            await asyncio.sleep(0)
        await asyncio.gather(stopping, self.read_answers())
        self.check("closed")


class SlowBodyTests:
    """A failure of ports that take long requests."""

    async def test_body_that_is_still_being_sent(self) -> None:
        """Guards against a daemon that answers a request and closes the connection while its caller
        still sends: the reset that follows discards the answer."""
        stopping = self.begin_stop()
        await asyncio.sleep(self.stops_listening_after - PIECES * PIECE_SECONDS / 2)
        for port in self.targets:
            self.callers.append(Caller(port))
        length = PIECES * PIECE_BYTES
        sending = [
            caller.send_slowly(self.request(port, length))
            for port, caller in zip(self.targets, self.callers, strict=True)
        ]
        await asyncio.gather(stopping, *sending)
        self.check()


class CrossingTests:
    """A failure of ports for callers, who keep their connections."""

    async def test_request_that_crosses_the_close_of_its_connection(self) -> None:
        """Guards against a caller whose request is on its way when its kept connection is closed,
        and who gets no word of whether it has run."""
        made = self.connect()
        for port, caller in made:
            caller.send(self.request(port) + BODY)
            await caller.read_first_answer()
        stopping = self.begin_stop()
        await asyncio.sleep(self.stops_listening_after)
        for port, caller in made:
            while not caller.is_closed_by_peer:
                await asyncio.sleep(0)
            caller.send_crossing(self.request(port) + BODY)
        await asyncio.gather(stopping, self.read_answers())
        self.check()
        self.assertEqual([caller.seen for caller in self.callers], [408] * len(made))
        crossed = [self.servers[port].counts.crossed for port in self.targets]
        self.assertEqual(crossed, [1] * len(made))


class GatewayCase(EndingPorts):
    """An entry of a platform that publishes routes, without a configuration."""

    stops_listening_after = gateway.LOAD_BALANCER_DELAY_SECONDS

    async def start_daemon(self) -> gateway.Gateway:
        fleet = PlatformFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        daemon = await fleet.add_gateway("entry")
        self.deployment = fleet.deployments[0]
        self.targets = self.find_targets()
        return daemon

    def find_targets(self) -> dict[int, str]:
        """Returns the ports, with a path at each."""
        raise NotImplementedError


class GatewayCallersTest(GatewayCase, EndingPortsTests, SlowBodyTests, CrossingTests):
    """The port for callers."""

    def find_targets(self) -> dict[int, str]:
        return {self.deployment.callers.port: "/safe/a"}

    async def test_system_that_refuses_filters(self) -> None:
        """Guards against a stop that fails, or loses the backlog, where the system lets no filter
        be attached to a listening socket."""
        refusing = unittest.mock.patch.object(
            ending_server, "drop_handshakes", side_effect=PermissionError
        )
        with refusing, self.assertLogs("tornado.general", "WARNING"):
            await self.test_connections_in_the_backlog()


class GatewayInternalPortsTest(GatewayCase, EndingPortsTests):
    """The ports for readiness, metrics and weights."""

    def find_targets(self) -> dict[int, str]:
        first = self.deployment.first_port
        return {
            self.deployment.readiness.port: "/readyz",
            first + gateway.METRICS_PORT_OFFSET: "/metrics",
            first + CHUNK_PORT_OFFSET: "/internal/chunks/00",
        }


def make_settings(role: str) -> Settings:
    """Returns settings of a daemon of the own dialect that reaches no other."""
    return Settings(
        "own",
        role,
        "rift-a",
        "rift",
        "rift-a",
        PlatformSettings(NOWHERE, NOWHERE, NOWHERE),
        endpoint=EndpointSettings("service", NOWHERE),
        control="service",
    )


class OwnEntryCase(EndingPorts):
    """An entry of the own dialect, without a configuration."""

    stops_listening_after = own_entry.LEAVING_NOTICE_SECONDS

    async def start_daemon(self) -> own_entry.Entry:
        daemon = own_entry.make_entry(make_settings("entry"), quiet_log("own"))
        await daemon.start()
        callers, internal = self.servers
        self.targets = self.find_targets(callers, internal)
        return daemon

    def find_targets(self, callers: int, internal: int) -> dict[int, str]:
        """Returns the ports, with a path at each."""
        raise NotImplementedError


class OwnEntryCallersTest(OwnEntryCase, EndingPortsTests, SlowBodyTests, CrossingTests):
    """The port for callers."""

    def find_targets(self, callers: int, internal: int) -> dict[int, str]:
        return {callers: "/v1/completions"}


class OwnEntryInternalPortTest(OwnEntryCase, EndingPortsTests):
    """The port for HTTP between the fleet's daemons."""

    def find_targets(self, callers: int, internal: int) -> dict[int, str]:
        return {internal: "/internal/status"}


class OwnSidecarTest(EndingPorts, EndingPortsTests, SlowBodyTests):
    """A sidecar of the own dialect, which takes the requests of entries."""

    stops_listening_after = own_sidecar.LEAVING_NOTICE_SECONDS

    async def start_daemon(self) -> own_sidecar.Sidecar:
        daemon = own_sidecar.make_sidecar(make_settings("sidecar"), quiet_log("own"))
        await daemon.start()
        (port,) = self.servers
        self.targets = {port: "/internal/service"}
        return daemon


class DeployedSidecarTest(EndingPorts, EndingPortsTests):
    """A sidecar of a platform that publishes routes: its ports for weights and metrics."""

    # It stops listening at once.
    stops_listening_after = 0.5

    async def start_daemon(self) -> object:
        first = free_ports(PORTS_OF_ONE)
        deployment = Deployment(
            name="i-1",
            role="sidecar",
            host=HOST,
            data_centre="rift-a",
            region="rift",
            region_of={"rift-a": "rift"},
            store=Address(HOST, 9),
            bounds=Bounds(),
            first_port=first,
            last_port=first + PORTS_OF_ONE,
            endpoint=Address(HOST, 9),
            service="tally",
        )
        daemon = make_deployed_sidecar(deployment, quiet_log("i-1"))
        await daemon.start()
        self.targets = dict.fromkeys(self.servers, "/metrics")
        return daemon

    async def stop_daemon(self) -> None:
        await asyncio.sleep(self.stops_listening_after)
        await super().stop_daemon()


if __name__ == "__main__":
    unittest.main()
