"""A stand-in for a model engine of the platform, as a process of its own.

It speaks the platform's protocol: reports, staging, orders, streams, and its own entry in the
store. Each first token is a line on standard output.
"""

import argparse
import asyncio
import json
import random
import signal
import time
import urllib.parse

import msgspec
from tornado import httpclient, httpserver, iostream, netutil, web

from wasabidrum.platform import heads, names

from .engine_passes import EnginePasses, Generation, GenerationEnd, decode_figures
from .key_value_store import ITEM_PATH
from .weights_origin import make_piece

HEARTBEAT_SECONDS = 1.2
POLL_SECONDS = 0.02


def write_line(event: str, **facts: object) -> None:
    """Writes a line to standard output."""
    line = {"t": round(time.time(), 4), "event": event} | facts
    print(json.dumps(line, separators=(",", ":")), flush=True)


class PlatformEngine:
    """The state of the engine.

    Attributes:
      version: The version of its weights; zero for none.
      layers: The layers of it that are held.
      staged: The pieces in the staging area.
      orders: The orders that were accepted.
      refuses: Whether an order is in progress that lets it take nothing new.
      leaving: Whether all answers, and its entry in the store, announce that it leaves.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.figures = decode_figures(options.figures)
        self.model = self.figures.models[0].name
        self.born = int(time.time() * 1000)
        self.version = options.holds
        self.layers = range(self.figures.layers if self.version else 0)
        self.staged: dict[int, bytes] = {}
        self.orders = 0
        self.refuses = False
        self.leaving = False
        self._fence = 0
        self._loading: asyncio.Task | None = None
        self._rng = random.Random(options.id)
        self.passes = EnginePasses(self.figures, self._record_first_token)
        if self.version:
            self.staged = {n: self.correct_piece(self.version, n) for n in self.pieces}

    @property
    def pieces(self) -> range:
        """The numbers of all pieces."""
        return range(self.figures.chunks)

    @property
    def whole(self) -> bool:
        """Whether all layers are held."""
        return self.version > 0 and self.layers == range(self.figures.layers)

    def correct_piece(self, version: int, number: int) -> bytes:
        """Returns the correct bytes of a piece."""
        return make_piece(version, number, self.figures.chunkBytes)

    def report(self) -> dict:
        """Returns the report of its state."""
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        held = {"from": self.layers.start, "to": self.layers.stop, "version": self.version}
        return {
            "stage": "combined",
            "models": models if self.layers else [],
            "layers": [held] if self.layers else [],
            "busy": self.refuses,
            "sequence": self.orders,
            "running": self.passes.running,
            "queued": self.passes.waiting,
            "born": self.born,
        }

    def order(self, order: dict) -> int:
        """Accepts or refuses an order; returns the status."""
        if order.get("operation") != "start" or order.get("model") != self.model:
            return 400
        if order.get("fencingToken", 0) < self._fence:
            return 412
        if self.refuses or order.get("precondition", self.orders) != self.orders:
            return 409
        wanted = range(order.get("from", 0), order.get("to", self.figures.layers))
        version = order["version"]
        if version == self.version and wanted == self.layers:
            return 200
        self._fence = order.get("fencingToken", 0)
        self.orders += 1
        write_line("ordered", version=version, layers=[wanted.start, wanted.stop])
        if version == self.version and set(wanted) <= set(self.layers):
            self.layers = wanted
            return 202
        self.refuses = version != self.version and bool(self.layers)
        content = {n: self.staged.get(n) for n in self._pieces_of(wanted)}
        self._loading = asyncio.ensure_future(self._load(version, wanted, content))
        return 202

    def _pieces_of(self, layers: range) -> range:
        count, per = self.figures.chunks, self.figures.layers
        return range(layers.start * count // per, -(-layers.stop * count // per))

    async def _load(self, version: int, layers: range, content: dict[int, bytes]) -> None:
        while self.refuses and (self.passes.running or self.passes.waiting):
            await asyncio.sleep(POLL_SECONDS)
        await asyncio.sleep(self.options.load_seconds * len(layers) / self.figures.layers)
        wrong = [n for n, piece in content.items() if piece != self.correct_piece(version, n)]
        if wrong:
            write_line("loaded_wrong", version=version, pieces=wrong)
        self.version, self.layers, self.refuses = version, layers, False
        write_line("loaded", version=version, layers=[layers.start, layers.stop])

    def leave(self) -> None:
        """Announces from now on that it leaves."""
        self.leaving = True
        write_line("leaving")

    def fall_silent(self) -> None:
        """Reads, sends and registers nothing for some time, and then goes on."""
        seconds = self._rng.uniform(*self.options.silent_seconds)
        write_line("silent", seconds=round(seconds, 3))
        # Holds up the event loop, and with it everything that the engine does.
        time.sleep(seconds)

    def _record_first_token(self, generation: Generation) -> None:
        write_line(
            "began",
            request=generation.name,
            version=generation.version,
            received=round(generation.received_at, 4),
        )

    async def register(self) -> None:
        """Writes its entry to the store periodically, forever."""
        client = httpclient.AsyncHTTPClient()
        options = self.options
        while True:
            value = {
                "service": options.service,
                "address": f"{options.host}:{options.port}",
                "zone": options.zone,
                "version": "v1",
                "slots": self.figures.slots,
                "state": "draining" if self.leaving else "ready",
                "coldRemainingMs": 0,
                "born": self.born,
            }
            report = self.report()
            value |= {name: report[name] for name in ("stage", "models", "layers")}
            query = urllib.parse.urlencode({"key": names.ENDPOINT_PREFIX + options.id})
            try:
                await client.fetch(
                    f"http://{options.store}{ITEM_PATH}?{query}",
                    method="PUT",
                    body=json.dumps(value),
                    request_timeout=1.0,
                )
            except (httpclient.HTTPError, OSError) as error:
                write_line("unregistered", reason=str(error))
            await asyncio.sleep(HEARTBEAT_SECONDS)


class EngineHandler(web.RequestHandler):
    """Announces in every answer that its engine leaves, once it does."""

    engine: PlatformEngine

    def prepare(self) -> None:
        """Sets the header; see RequestHandler."""
        if self.engine.leaving:
            self.set_header(names.LEAVING, "1")


class ControlHandler(EngineHandler):
    """Serves reports, orders and the staging area."""

    def initialize(self, engine: PlatformEngine) -> None:
        """Receives the engine from the route's arguments."""
        self.engine = engine

    def get(self) -> None:
        """Returns the report, a staged piece, or the numbers of all staged pieces."""
        number = self.get_query_argument("num", "")
        if self.request.path == names.REPORT_PATH:
            self.write(self.engine.report())
        elif not number:
            self.write({"held": sorted(self.engine.staged)})
        elif int(number) in self.engine.staged:
            self.write(self.engine.staged[int(number)])
        else:
            self.set_status(404)

    def put(self) -> None:
        """Stores a piece in the staging area."""
        self.engine.staged[int(self.get_query_argument("num"))] = self.request.body

    def post(self) -> None:
        """Accepts or refuses an order."""
        self.set_status(self.engine.order(msgspec.json.decode(self.request.body)))


class StreamHandler(EngineHandler):
    """Serves a request for text as a stream of events."""

    def initialize(self, engine: PlatformEngine) -> None:
        """Receives the engine from the route's arguments."""
        self.engine = engine
        self._generation: Generation | None = None

    def on_connection_close(self) -> None:
        """Records that the caller has gone."""
        if self._generation is not None:
            self._generation.gone = True

    async def post(self) -> None:
        """Refuses the request, or runs it and writes its events."""
        engine, headers = self.engine, self.request.headers
        self.set_header(names.REQUEST_ID, headers.get(names.REQUEST_ID, ""))
        expected = headers.get(names.EXPECT_VERSION, str(engine.version))
        if (
            headers.get(names.EXPECT_INSTANCE, engine.options.id) != engine.options.id
            or not engine.whole
            or expected != str(engine.version)
        ):
            self.set_header(names.INSTANCE, engine.options.id)
            self.set_status(421)
            return
        if engine.refuses or engine.passes.full:
            self._refuse()
            return
        prompt, total = heads.read_usage(headers.get(names.TOKEN_USAGE, ""))
        left = heads.read_milliseconds(headers.get(names.DEADLINE, "")) or 0.0
        name = headers[names.REQUEST_ID]
        generation = self._generation = Generation(name, engine.version, prompt, total, left)
        engine.passes.add(generation)
        try:
            await self._send_events(generation)
        except iostream.StreamClosedError:
            generation.gone = True

    async def _send_events(self, generation: Generation) -> None:
        while True:
            tokens = await generation.events.get()
            if tokens is None:
                break
            if tokens <= self.engine.figures.stride:
                self.set_header("Content-Type", "text/event-stream")
                self.set_header(names.SIGNATURE, self.engine.options.id)
                self.prepare()
            self.write(f"id: {tokens}\ndata: t{tokens}\n\n")
            await self.flush()
        if generation.end is not GenerationEnd.COMPLETE and generation.tokens:
            self.request.connection.stream.close()
        elif generation.end is not GenerationEnd.COMPLETE:
            self._refuse()

    def _refuse(self) -> None:
        self.prepare()
        rest_seconds = self.engine.options.rest_seconds
        if rest_seconds > 0.0:
            self.set_header(names.RETRY_AFTER, f"{rest_seconds:g}")
        self.set_header(names.NOT_EXECUTED, "1")
        self.set_status(503)
        request = self.request.headers.get(names.REQUEST_ID, "")
        write_line("turned_away", request=request, rest=rest_seconds)


async def run(options: argparse.Namespace) -> None:
    """Serves until SIGTERM; from SIGUSR1 on the engine announces that it leaves.

    With each SIGUSR2 it falls silent for a moment.
    """
    engine = PlatformEngine(options)
    arguments = {"engine": engine}
    routes = [(r"/wasabidrum/.*", ControlHandler, arguments), (r"/.*", StreamHandler, arguments)]
    application = web.Application(routes, log_function=lambda handler: None)
    server = httpserver.HTTPServer(application)
    server.add_sockets(netutil.bind_sockets(options.port, options.host))
    write_line("started", id=options.id, version=engine.version)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    loop.add_signal_handler(signal.SIGUSR1, engine.leave)
    loop.add_signal_handler(signal.SIGUSR2, engine.fall_silent)
    tasks = [asyncio.ensure_future(engine.passes.run()), asyncio.ensure_future(engine.register())]
    await ended.wait()
    for task in tasks:
        task.cancel()


def main() -> None:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--store", required=True, help="HOST:PORT")
    parser.add_argument("--figures", required=True, help="published figures, as JSON")
    parser.add_argument("--holds", type=int, default=0, help="version held at the start")
    parser.add_argument(
        "--rest-seconds", type=float, default=0.0, help="asked for with each refusal; 0 for none"
    )
    parser.add_argument(
        "--silent-seconds",
        type=float,
        nargs=2,
        default=(0.5, 1.5),
        metavar=("LEAST", "MOST"),
        help="how long a SIGUSR2 silences it, drawn from its id and the number of the signal",
    )
    parser.add_argument("--load-seconds", type=float, default=0.3, help="to load all layers")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
