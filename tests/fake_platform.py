"""Fakes of the platform's store and of its endpoints, in the test's own process.

They speak the platform's protocol over real sockets, and inject the faults that a test sets.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import socket
import types

import msgspec

from standins.key_value_store import FakeStore
from standins.ports import free_ports
from tests import process_log
from wasabidrum.config.deployment import Address, Bounds, Deployment
from wasabidrum.gateway.daemon import Gateway, make_gateway
from wasabidrum.observe.event_log import EventLog, make_event_log
from wasabidrum.platform import names

HOST = "127.0.0.1"
PORTS_OF_ONE = 6
# Items of the store that another writer has left and that nobody can read.
UNREADABLE_ITEMS = {
    names.ENDPOINT_PREFIX + "nested": b'{"labels":' + b"[" * 2000,
    names.ENDPOINT_PREFIX + "bytes": b"\xff\xfe\x00",
    names.VERSION_PREFIX + "nested": b'{"model":' + b"[" * 2000,
    names.EVACUATION_PREFIX + "rift-a": b'{"since":' + b"[" * 2000,
}


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request as an endpoint received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter | None = None
) -> ReceivedRequest:
    """Reads a request; asks for its body, if that is held back and a writer is given."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    method, target, _ = lines[0].split(" ")
    pairs = (line.split(": ", 1) for line in lines[1:] if line)
    headers = {name.lower(): value for name, value in pairs}
    if writer is not None and headers.pop("expect", "") == "100-continue":
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(method, target, headers, body)


class FakeEndpoint:
    """An endpoint whose responses are written by the test.

    Attributes:
      handler: Called with the endpoint, a request and the writer; it writes the whole response.
      received: The requests that were received.
      runs: How many times each request id started to run here.
      closed_early: How many requests were cancelled by their sender before the response ended.
      limit: The requests a second that its responses state as its limit; None for no statement.
      leaving: Whether all its responses announce that it leaves.
    """

    def __init__(self, endpoint_id: str, service: str, zone: str = "rift-a") -> None:
        self.id = endpoint_id
        self.service = service
        self.zone = zone
        self.port = 0
        self.handler = answer_ok
        self.received: list[ReceivedRequest] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.closed_early = 0
        self.limit: float | None = None
        self.leaving = False
        self._server: asyncio.Server | None = None
        self._silent_until = float("-inf")

    @property
    def silent(self) -> bool:
        """Whether it is silent for a moment."""
        return self._silent_until > asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening; open connections stay open."""
        self._server.close()

    def entry(self, **facts: object) -> dict:
        """Returns the endpoint's registration, with some fields replaced."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        } | facts

    def fall_silent(self, seconds: float) -> None:
        """Reads, runs and sends nothing for some time, and goes on then; silences may overlap."""
        until = asyncio.get_running_loop().time() + seconds
        self._silent_until = max(self._silent_until, until)

    @types.coroutine
    def _run_unless_silent(
        self, work: collections.abc.Coroutine[object, object, None]
    ) -> collections.abc.Generator[object, None, None]:
        """Runs a coroutine that stands still wherever it is while the endpoint is silent."""
        loop = asyncio.get_running_loop()
        step = work.send
        argument: object = None
        while True:
            while (silent_seconds := self._silent_until - loop.time()) > 0.0:
                try:
                    yield from asyncio.sleep(silent_seconds).__await__()
                except asyncio.CancelledError as error:
                    step, argument = work.throw, error
                    break
            try:
                awaited = step(argument)
            except StopIteration:
                return
            step, argument = work.send, None
            try:
                yield awaited
            except BaseException as error:
                step, argument = work.throw, error

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._run_unless_silent(self._serve_request(reader, writer))

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await read_request(reader, writer)
            self.received.append(request)
            working = asyncio.ensure_future(
                self._run_unless_silent(self.handler(self, request, writer))
            )
            closing = asyncio.ensure_future(reader.read(1))
            await asyncio.wait((working, closing), return_when=asyncio.FIRST_COMPLETED)
            if not working.done():
                self.closed_early += 1
                working.cancel()
            closing.cancel()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def response_head(
    request: ReceivedRequest, endpoint: FakeEndpoint, status: str, *more: str
) -> bytes:
    """Returns a response head with the endpoint's signature."""
    lines = [f"HTTP/1.1 {status}"]
    lines.append(f"{names.REQUEST_ID}: {request.headers.get(names.REQUEST_ID.lower(), '')}")
    lines.append(f"{names.SIGNATURE}: {endpoint.id}")
    if endpoint.limit is not None:
        lines.append(f"{names.STATED_LIMIT}: {endpoint.limit}")
    if endpoint.leaving:
        lines.append(f"{names.LEAVING}: 1")
    return "\r\n".join([*lines, *more, "", ""]).encode()


async def answer_ok(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Runs the request and responds with the endpoint's id."""
    endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
    body = endpoint.id.encode()
    head = response_head(request, endpoint, "200 OK", f"Content-Length: {len(body)}")
    writer.write(head + body)
    await writer.drain()


async def refuse(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuses the request as not run."""
    leaving = f"{names.LEAVING}: 1\r\n" if endpoint.leaving else ""
    writer.write(
        f"HTTP/1.1 503 Full\r\n{names.NOT_EXECUTED}: 1\r\n{leaving}"
        "Content-Length: 0\r\n\r\n".encode()
    )
    await writer.drain()


def refuse_for(retry_after: str):
    """Returns a handler that refuses requests as not run, and asks for some seconds of rest."""

    async def handler(
        endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        lines = (
            "HTTP/1.1 503 Full",
            f"{names.REQUEST_ID}: {request.headers.get(names.REQUEST_ID.lower(), '')}",
            f"{names.NOT_EXECUTED}: 1",
            f"{names.RETRY_AFTER}: {retry_after}",
            "Content-Length: 0",
        )
        writer.write("\r\n".join([*lines, "", ""]).encode())
        await writer.drain()

    return handler


async def run_and_reset(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Runs the request and resets the connection before the response."""
    endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
    reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def stream_events(first: int, last: int, cut_after: int | None = None, cut_mid_event: bool = False):
    """Returns a handler that streams events with ids, and may reset the connection midway.

    Args:
      first: The number of the first event.
      last: The number of the last event.
      cut_after: The last event before the reset; None for a complete stream.
      cut_mid_event: Reset in the middle of the next event.
    """

    async def handler(
        endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
        after = int(request.headers.get(names.LAST_EVENT_ID.lower(), first - 1))
        more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(response_head(request, endpoint, "200 OK", *more))
        for number in range(after + 1, last + 1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            if cut_after is not None and number > cut_after:
                if cut_mid_event:
                    part = event[: len(event) // 2]
                    writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                    await writer.drain()
                    await asyncio.sleep(0.02)
                reset(writer)
                return
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.005)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return handler


def make_configuration(version: int, *services: str, tenants: bool = False) -> dict:
    """Returns a configuration with a safe, an unsafe and a streaming route for each service."""
    routes = []
    for service in services:
        for kind in ("safe", "unsafe", "streaming"):
            routes.append(
                {
                    "name": f"{service}-{kind}",
                    "host": f"{service}.example",
                    "prefix": f"/{kind}/",
                    "type": kind,
                    "timeoutMs": 1500,
                    "targetLatencyMs": 400,
                    "priority": 1,
                    "service": service,
                    "maxAttempts": 2,
                    "public": False,
                    "resumable": kind == "streaming",
                    "gapTargetMs": 400,
                }
            )
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "healthPath": "/healthz"} for name in services],
        "limits": {"maxBodyBytes": 100_000},
        "tenants": [{"name": "till", "apiKeys": ["key-1"], "priority": 1}] if tenants else [],
    }


@dataclasses.dataclass(slots=True)
class Reply:
    """The response that a caller received.

    Attributes:
      whole: Whether the response is complete according to its framing.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class PlatformFleet:
    """A store, endpoints and entries, all in this process."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.endpoints: list[FakeEndpoint] = []
        self.gateways: list[Gateway] = []
        self.deployments: list[Deployment] = []

    async def start(self) -> None:
        """Starts the store."""
        await self.store.start()

    async def stop(self) -> None:
        """Stops all entries, the endpoints and the store."""
        for gateway in self.gateways:
            await kill_gateway(gateway)
        for endpoint in self.endpoints:
            await endpoint.stop()
        self.store.stop()

    async def add_endpoint(
        self, endpoint_id: str, service: str, zone: str = "rift-a", **facts: object
    ) -> FakeEndpoint:
        """Starts and registers an endpoint, with some fields of its registration replaced."""
        endpoint = FakeEndpoint(endpoint_id, service, zone)
        await endpoint.start()
        self.endpoints.append(endpoint)
        await self.store.put(names.ENDPOINT_PREFIX + endpoint_id, endpoint.entry(**facts))
        return endpoint

    async def add_gateway(
        self,
        name: str,
        store_port: int | None = None,
        bounds: Bounds | None = None,
        data_centre: str = "rift-a",
        shares_room: bool = False,
    ) -> Gateway:
        """Starts an entry, which may use another store port than the fleet's."""
        first = free_ports(PORTS_OF_ONE)
        seeds = tuple(d.peers_listen for d in self.deployments)
        deployment = Deployment(
            name=name,
            role="entry",
            host=HOST,
            data_centre=data_centre,
            region="rift",
            region_of={"rift-a": "rift", "nbi-a": "nairobi"},
            store=Address(HOST, store_port or self.store.port),
            bounds=bounds or Bounds(),
            first_port=first,
            last_port=first + PORTS_OF_ONE,
            callers=Address(HOST, first + 3),
            readiness=Address(HOST, first + 4),
            peers_listen=Address(HOST, first + 5),
            seeds=seeds,
            first_start=True,
            shares_room=shares_room,
        )
        gateway = make_gateway(deployment, quiet_log(name))
        await gateway.start()
        self.gateways.append(gateway)
        self.deployments.append(deployment)
        return gateway

    async def restart_gateway(self, number: int) -> Gateway:
        """Kills an entry, and starts another one with its settings."""
        await kill_gateway(self.gateways[number])
        deployment = self.deployments[number]
        deployment = msgspec.structs.replace(deployment, first_start=False)
        gateway = self.gateways[number] = make_gateway(deployment, quiet_log(deployment.name))
        await gateway.start()
        return gateway

    async def wait_until(self, condition, seconds: float = 3.0) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def ask(
        self,
        number: int,
        service: str,
        kind: str,
        request_id: str,
        *lines: str,
        method: str = "POST",
        body: bytes = b"x",
        seconds: float = 5.0,
        deadline_ms: int = 3000,
    ) -> Reply:
        """Sends one request to an entry on a connection of its own."""
        address = self.deployments[number].callers
        reader, writer = await asyncio.open_connection(address.host, address.port)
        head = [
            f"{method} /{kind}/a?b=c HTTP/1.1",
            f"Host: {service}.example",
            f"{names.REQUEST_ID}: {request_id}",
            f"{names.DEADLINE}: {deadline_ms}",
            f"Content-Length: {len(body)}",
            *lines,
        ]
        writer.write("\r\n".join([*head, "", ""]).encode() + body)
        try:
            async with asyncio.timeout(seconds):
                return await read_reply(reader)
        finally:
            writer.close()


async def kill_gateway(gateway: Gateway) -> None:
    """Ends an entry and its connections abruptly."""
    for server in gateway._servers:
        server.stop()
        await server.close_all_connections()
    await gateway.tasks.cancel_all()
    await gateway.peers.stop()


async def read_reply(reader: asyncio.StreamReader, head_seconds: float | None = None) -> Reply:
    """Reads a response, and checks that it is complete.

    Args:
      head_seconds: How long to wait for its head; None for no limit.

    Raises:
      TimeoutError: The head did not come in time.
    """
    async with asyncio.timeout(head_seconds):
        head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {n.lower(): v for n, v in (line.split(": ", 1) for line in lines[1:] if line)}
    parts = []
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return Reply(status, headers, body, True)
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            content = await reader.readexactly(size + 2)
            if not size:
                return Reply(status, headers, b"".join(parts), True)
            parts.append(content[:-2])
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(status, headers, b"".join(parts), False)


def quiet_log(name: str) -> EventLog:
    """Returns a log that is kept in memory, and in the log of the test process."""
    return make_event_log(name, process_log.log_path())
