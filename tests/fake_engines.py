"""Fakes of the platform's model engines and of its origin of weights."""

import hashlib
import random

import msgspec
from tornado import httpserver, netutil, web

from standins.key_value_store import FakeStore
from standins.ports import free_ports
from tests.fake_platform import quiet_log
from wasabidrum.config.deployment import Address, Bounds, Deployment
from wasabidrum.gateway.daemon import Gateway, make_gateway
from wasabidrum.platform import names
from wasabidrum.sidecar.deployed import DeployedSidecar, make_deployed_sidecar

MODEL = "m1"
SERVICE = "text"
LAYERS = 4
PIECES = 12
PIECE_BYTES = 4096
PORTS_OF_ONE = 4


def make_piece(version: int, number: int) -> bytes:
    """Returns the correct bytes of a piece."""
    return random.Random(f"{version}/{number}").randbytes(PIECE_BYTES)


def digest_of_piece(version: int, number: int) -> str:
    """Returns the digest of a piece's correct bytes."""
    return hashlib.sha256(make_piece(version, number)).hexdigest()


class OriginHandler(web.RequestHandler):
    """Serves lists of pieces, and pieces."""

    def initialize(self, origin: "FakeOrigin") -> None:
        """Receives the origin from the route's arguments."""
        self.origin = origin

    def get(self) -> None:
        """Serves one call."""
        origin = self.origin
        if origin.down:
            self.set_status(503)
            return
        version = int(self.get_query_argument("version", str(origin.newest)))
        if version < origin.oldest:
            self.set_status(410)
            return
        if self.request.path.startswith(names.MANIFEST_PATH):
            origin.lists += 1
            self.write(origin.next_list(version))
            return
        number = int(self.get_query_argument("num"))
        if origin.refuses_pieces or number >= origin.pieces_available:
            self.set_status(503)
            return
        content = make_piece(version, number)
        origin.sent += len(content)
        self.write(bytes(len(content)) if origin.next_is_corrupt() else content)


class FakeOrigin:
    """An origin that counts what it sends, and can corrupt pieces or refuse calls."""

    def __init__(self) -> None:
        self.newest = 1
        # Older versions are not served any more.
        self.oldest = 1
        self.down = False
        self.refuses_pieces = False
        # Pieces with this number or a higher one are refused.
        self.pieces_available = PIECES
        self.sent = 0
        self.lists = 0
        self.corrupt_every = 0
        # What the next lists have in place of what they should, one after the other.
        self.spoiled_lists: list[dict] = []
        self.port = 0
        self._count = 0
        self._server: httpserver.HTTPServer | None = None

    @property
    def copies(self) -> float:
        """The bytes sent, in copies of a version."""
        return self.sent / (PIECES * PIECE_BYTES)

    def next_is_corrupt(self) -> bool:
        """Returns whether the next piece is sent with wrong bytes."""
        self._count += 1
        return bool(self.corrupt_every) and self._count % self.corrupt_every == 0

    def next_list(self, version: int) -> dict:
        """Returns the list of a version's pieces as it is sent next."""
        digests = [digest_of_piece(version, number) for number in range(PIECES)]
        spoiled = self.spoiled_lists.pop(0) if self.spoiled_lists else {}
        for number, digest in spoiled.get("digests", {}).items():
            digests[number] = digest
        content = {"model": MODEL, "version": version, "chunkBytes": PIECE_BYTES}
        return content | spoiled | {"digests": digests}

    def start(self) -> None:
        """Listens."""
        self._server, self.port = serve([(r"/.*", OriginHandler, {"origin": self})], "127.0.0.1", 0)

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop()


class EngineHandler(web.RequestHandler):
    """Accepts pieces and load orders, and reports the engine's state."""

    def initialize(self, engine: "FakeStagingEngine") -> None:
        """Receives the engine from the route's arguments."""
        self.engine = engine

    def get(self) -> None:
        """Returns the report, a staged piece, or the numbers of all staged pieces."""
        engine = self.engine
        if self.request.path == names.REPORT_PATH:
            self.write(engine.report())
            return
        number = self.get_query_argument("num", "")
        if not number:
            self.write({"held": sorted(engine.staged)})
        elif int(number) in engine.staged:
            self.write(engine.staged[int(number)])
        else:
            self.set_status(404)

    def put(self) -> None:
        """Stores a piece in the staging area."""
        self.engine.stage_piece(int(self.get_query_argument("num")), self.request.body)

    def post(self) -> None:
        """Executes a load order."""
        order = msgspec.json.decode(self.request.body)
        layers = range(order.get("from", 0), order.get("to", LAYERS))
        expected = order.get("precondition", self.engine.orders)
        if expected != self.engine.orders:
            self.set_status(409)
            return
        self.set_status(202 if self.engine.start(order["version"], layers) else 409)


class FakeStagingEngine:
    """An engine that loads whatever is in its staging area, and counts wrong loads.

    Attributes:
      wrong_loads: Loads in which a piece was missing, corrupt or of another version.
      layers: The layers that it holds of its version.
      corrupt_after: The put after which the piece just staged is corrupted; 0 for none.
      running: The requests that it reports to be running.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.version = 0
        self.layers = range(LAYERS)
        self.staged: dict[int, bytes] = {}
        self.wrong_loads = 0
        self.orders = 0
        self.corrupt_after = 0
        self.running = 0
        self.state = "ready"
        # The port that is listed for requests; requests themselves are not served here.
        self.requests_port = port
        self._puts = 0
        self._server: httpserver.HTTPServer | None = None

    def serves(self, version: int) -> bool:
        """Returns whether it holds all layers of a version."""
        return self.version == version and len(self.layers) == LAYERS

    def set_version(self, version: int) -> None:
        """Sets the version that the engine serves, and stages its pieces."""
        self.version = version
        self.staged = {number: make_piece(version, number) for number in range(PIECES)}

    def listen(self) -> None:
        """Listens."""
        routes = [(r"/.*", EngineHandler, {"engine": self})]
        self._server, _ = serve(routes, self.host, self.port)

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop()

    def report(self) -> dict:
        """Returns the engine's report of its state."""
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        held = {"from": self.layers.start, "to": self.layers.stop}
        layers = [held | {"version": self.version}]
        return {
            "stage": "combined",
            "models": models if self.version else [],
            "layers": layers if self.version else [],
            "busy": False,
            "sequence": self.orders,
            "running": self.running,
            "queued": 0,
        }

    def stage_piece(self, number: int, content: bytes) -> None:
        """Stores a piece, replacing one of the same number."""
        self.staged[number] = content
        self._puts += 1
        if self._puts == self.corrupt_after:
            self.staged[number] = bytes(len(content))

    def start(self, version: int, layers: range) -> bool:
        """Loads some layers from the staging area, or keeps some of those that it holds."""
        self.orders += 1
        if version == self.version and set(layers) <= set(self.layers):
            self.layers = layers
            return True
        of_layer = PIECES // LAYERS
        correct = all(
            self.staged.get(number) == make_piece(version, number)
            for number in range(layers.start * of_layer, layers.stop * of_layer)
        )
        self.layers = layers
        self.wrong_loads += not correct
        self.version = version
        return True

    def entry(self) -> dict:
        """Returns the engine's registration."""
        report = self.report()
        return {
            "service": SERVICE,
            "address": f"{self.host}:{self.requests_port}",
            "zone": "rift-a",
            "version": "v1",
            "slots": 16,
            "state": self.state,
            "models": report["models"],
            "layers": report["layers"],
        }


def serve(routes: list[tuple], host: str, port: int) -> tuple[httpserver.HTTPServer, int]:
    """Starts a server and returns it with its port."""
    application = web.Application(routes)
    application.settings["log_function"] = lambda handler: None
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(port, host)
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


class EngineFleet:
    """A store, an origin, and engines with sidecars, each on a loopback address of its own."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.origin = FakeOrigin()
        self.engines: list[FakeStagingEngine] = []
        self.sidecars: list[DeployedSidecar] = []
        self.entries: list[Gateway] = []
        self.entries_started = 0
        self.first_port = free_ports(PORTS_OF_ONE)
        self.bounds = Bounds()
        self.configuration: dict = {}

    async def start(self) -> None:
        """Starts the store and the origin, and publishes the configuration."""
        await self.store.start()
        self.origin.start()
        engine = {"layers": LAYERS, "models": [{"name": MODEL}], "chunks": PIECES, "slots": 16}
        engine["chunkBytes"] = PIECE_BYTES
        services = [
            {"name": SERVICE, "engine": engine},
            {"name": "weights", "origin": f"127.0.0.1:{self.origin.port}", "zone": "rift-a"},
        ]
        self.configuration = {"version": 1, "services": services}
        await self.store.put(names.CONFIGURATION_KEY, self.configuration)

    async def stop(self) -> None:
        """Stops all entries, sidecars and engines, the origin and the store."""
        for entry in list(self.entries):
            await self.end_entry(entry)
        for sidecar in self.sidecars:
            await sidecar.stop()
        for engine in self.engines:
            engine.stop()
        self.origin.stop()
        self.store.stop()

    async def register(self, engine: FakeStagingEngine) -> None:
        """Registers the engine's present state with the platform."""
        await self.store.put(f"{names.ENDPOINT_PREFIX}i-{engine.host}", engine.entry())

    async def name_version(self, version: int) -> None:
        """Names a version, as operators do."""
        self.origin.newest = version
        await self.store.put(names.VERSION_PREFIX + MODEL, {"model": MODEL, "version": version})

    def make_engine(self) -> FakeStagingEngine:
        """Returns an engine that has not started yet."""
        host = f"127.0.0.{10 + len(self.engines)}"
        return FakeStagingEngine(host, self.first_port + PORTS_OF_ONE - 1)

    async def add_engine(self, version: int) -> FakeStagingEngine:
        """Starts an engine, which is empty if the version is zero, and its sidecar."""
        engine = self.make_engine()
        if version:
            engine.set_version(version)
        engine.listen()
        self.engines.append(engine)
        await self.register(engine)
        self.sidecars.append(await self.start_sidecar(engine))
        return engine

    def make_deployment(self, role: str, host: str, **facts: object) -> Deployment:
        """Returns the settings of a process on a host of its own."""
        return Deployment(
            name=f"{role}-{host}",
            role=role,
            host=host,
            data_centre="rift-a",
            region="rift",
            region_of={"rift-a": "rift"},
            store=Address("127.0.0.1", self.store.port),
            bounds=self.bounds,
            first_port=self.first_port,
            last_port=self.first_port + PORTS_OF_ONE,
            **facts,
        )

    async def start_sidecar(
        self, engine: FakeStagingEngine, store_port: int | None = None
    ) -> DeployedSidecar:
        """Starts the sidecar of an engine.

        Args:
          store_port: The port at which it reaches the store; None for the one of all instances.
        """
        host = engine.host
        deployment = self.make_deployment(
            "sidecar",
            host,
            endpoint=Address(host, engine.port),
            service=SERVICE,
        )
        if store_port is not None:
            address = Address("127.0.0.1", store_port)
            deployment = msgspec.structs.replace(deployment, store=address)
        sidecar = make_deployed_sidecar(deployment, quiet_log(host))
        await sidecar.start()
        return sidecar

    async def add_entry(self, shares_room: bool = False) -> Gateway:
        """Starts an entry that holds weights for the sidecars."""
        self.entries_started += 1
        host = f"127.0.0.{99 + self.entries_started}"
        deployment = self.make_deployment(
            "entry",
            host,
            callers=Address(host, self.first_port + 3),
            readiness=Address(host, self.first_port + 4),
            peers_listen=Address(host, self.first_port + 5),
            seeds=(Address("127.0.0.100", self.first_port + 5),),
            shares_room=shares_room,
        )
        entry = make_gateway(deployment, quiet_log(host))
        await entry.start()
        self.entries.append(entry)
        return entry

    async def end_entry(self, entry: Gateway) -> None:
        """Stops an entry abruptly, as when it is killed."""
        self.entries.remove(entry)
        for server in entry._servers:
            server.stop()
            await server.close_all_connections()
        await entry.tasks.cancel_all()
        await entry.peers.stop()
