"""A stand-in for a model engine: slots, prefill and decode times, orders, faults.

Every token names the version, the prompt and its own place, so that a reader can tell an
answer that is partial, crossed or mixed. The engine checks what it is given against the
manifest and counts activations of partial or mixed weights, which must stay at zero; a
real engine would not notice.
"""

import asyncio
import dataclasses
import heapq
import itertools
import os
import sys

import msgspec
from tornado import iostream, web

from wasabidrum.core.digest import digest_of
from wasabidrum.core.load import Load
from wasabidrum.core.manifest import Manifest
from wasabidrum.endpoints.generate_request import GenerateRequest

from . import process_options
from .prefix_cache import BLOCK_WORDS, PrefixCache, prefix_blocks


class EngineFaults(msgspec.Struct):
    """Faults injected into the engine.

    Attributes:
      slow_factor: Multiplies prefill and decode times.
      crash_prompt: The process exits when a prompt that contains this text starts to run.
      fail_version: Activation of this version fails.
      crash_on_activate: The process exits when it is ordered to activate this version.
      refuse: Every generate request is refused with 503.
    """

    slow_factor: float = 1.0
    crash_prompt: str = ""
    fail_version: str = ""
    crash_on_activate: str = ""
    refuse: bool = False


class StageOrder(msgspec.Struct):
    """An order to stage a version."""

    version: str
    manifest: Manifest
    fence: int


class ActivateOrder(msgspec.Struct):
    """An order to activate the staged version."""

    version: str
    fence: int


class CancelOrder(msgspec.Struct):
    """An order to cancel a request."""

    request_id: str


class RoleOrder(msgspec.Struct):
    """An order to change the role, or to load the adapter with a given content digest."""

    fence: int
    role: str = ""
    adapter: str = ""
    digest: str = ""


@dataclasses.dataclass(slots=True)
class EngineOptions:
    """Capacity, timings and optional features of the engine."""

    slots: int = 8
    prefill_seconds_per_word: float = 0.0002
    decode_seconds: float = 0.01
    load_lag_seconds: float = 0.5
    cache_blocks: int = 512
    event_lag_seconds: float = 0.5
    gap_chance: float = 0.02
    fencing: bool = False
    activate_seconds: float = 0.1


class EngineState:
    """Weights, slots, prefix cache, load history and counters."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.faults = EngineFaults()
        self.active = ""
        self.active_chunks: dict[str, bytes] = {}
        self.staged = ""
        self.manifest: Manifest | None = None
        self.staged_chunks: dict[int, bytes] = {}
        self.fence = 0
        self.role = "mixed"
        self.adapters: dict[str, str] = {}
        self.adapter_contents: dict[str, str] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.slots_taken = 0
        self.waiters: list[tuple[int, int, asyncio.Future]] = []
        self.arrivals = itertools.count()
        self.loads: list[tuple[float, Load]] = []
        self.cache = PrefixCache(options.cache_blocks, options.gap_chance, seed=1)
        self.counters = {"generated": 0, "cancelled": 0, "activations": 0, "bad_activations": 0}
        self.counters |= {"fenced": 0, "prefix_words": 0, "prefix_words_held": 0, "tokens": 0}
        self.counters |= {"staged_bytes": 0, "late_orders": 0}

    def record_load(self) -> None:
        """Records the current load, which is reported after `load_lag_seconds`."""
        now = asyncio.get_running_loop().time()
        load = Load(self.slots_taken, len(self.waiters), self.options.slots)
        self.loads.append((now, load))
        del self.loads[:-1000]

    def reported_load(self) -> Load:
        """Returns the load as it was `load_lag_seconds` ago."""
        moment = asyncio.get_running_loop().time() - self.options.load_lag_seconds
        report = Load(slots=self.options.slots)
        for when, load in self.loads:
            if when > moment:
                break
            report = load
        return report

    async def take_slot(self, priority: int) -> None:
        """Waits for a slot; waiters with lower priority numbers are served first."""
        if self.slots_taken < self.options.slots:
            self.slots_taken += 1
            self.record_load()
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiters, (priority, next(self.arrivals), turn))
        self.record_load()
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.free_slot()
            self.waiters = [waiter for waiter in self.waiters if waiter[2] is not turn]
            heapq.heapify(self.waiters)
            raise

    def free_slot(self) -> None:
        """Hands the freed slot to the first waiter, if any."""
        while self.waiters:
            _, _, turn = heapq.heappop(self.waiters)
            if not turn.done():
                turn.set_result(None)
                self.record_load()
                return
        self.slots_taken -= 1
        self.record_load()

    def check_fence(self, fence: int) -> None:
        """Counts an order with an outdated fencing token, and refuses it if fencing is enabled."""
        if fence < self.fence:
            self.counters["late_orders"] += 1
            if self.options.fencing:
                self.counters["fenced"] += 1
                raise web.HTTPError(409, "old fencing number")
        self.fence = max(self.fence, fence)


class BaseHandler(web.RequestHandler):
    """Base of the handlers, which share the state."""

    def initialize(self, state: EngineState) -> None:
        """Receives the state from the route."""
        self.state = state

    def decode(self, kind: type) -> object:
        """Decodes the request's body."""
        return msgspec.json.decode(self.request.body, type=kind)


class GenerateHandler(BaseHandler):
    """POST /v1/generate: streams a head event, one JSON event per token, and a final event."""

    async def post(self) -> None:
        """Runs a request in a task of its own, so that it can be cancelled."""
        order = self.decode(GenerateRequest)
        state = self.state
        if state.faults.refuse or not state.active:
            raise web.HTTPError(503)
        if order.version and order.version != state.active:
            raise web.HTTPError(503)
        running = asyncio.ensure_future(self.run(order))
        state.tasks[order.request_id] = running
        try:
            await running
        except (asyncio.CancelledError, iostream.StreamClosedError):
            state.counters["cancelled"] += 1
        finally:
            state.tasks.pop(order.request_id, None)

    async def run(self, order: GenerateRequest) -> None:
        """Generates while holding a slot."""
        await self.state.take_slot(order.priority)
        try:
            await self.generate(order, self.state.active)
        finally:
            self.state.free_slot()

    async def generate(self, order: GenerateRequest, version: str) -> None:
        """Prefills, then decodes token by token with the weights of one version."""
        state = self.state
        options = state.options
        if state.faults.crash_prompt and state.faults.crash_prompt in order.prompt:
            os._exit(1)
        words = len(order.prompt.split())
        now = asyncio.get_running_loop().time()
        held = state.cache.take(prefix_blocks(order.prompt), now) * BLOCK_WORDS
        state.counters["prefix_words"] += words
        state.counters["prefix_words_held"] += min(held, words)
        prefill = max(0, words - held) * options.prefill_seconds_per_word
        await asyncio.sleep(prefill * state.faults.slow_factor)
        self.send({"request_id": order.request_id, "version": version})
        mark = digest_of(order.prompt.encode())[:8]
        for index in range(order.resume_from, order.max_tokens):
            await asyncio.sleep(options.decode_seconds * state.faults.slow_factor)
            self.send({"i": index, "t": f"{version}:{mark}:{index} "})
            state.counters["tokens"] += 1
            await self.flush()
        state.counters["generated"] += 1
        self.send({"done": True, "tokens": order.max_tokens, "version": version})

    def send(self, event: dict[str, object]) -> None:
        """Writes one event."""
        self.write(msgspec.json.encode(event) + b"\n")

    def on_connection_close(self) -> None:
        """Cancels the request of a caller that disconnected, which frees its slot."""
        try:
            order = self.decode(GenerateRequest)
        except msgspec.MsgspecError:
            return
        if task := self.state.tasks.get(order.request_id):
            task.cancel()


class CancelHandler(BaseHandler):
    """POST /v1/cancel."""

    def post(self) -> None:
        """Cancels a running request; does nothing if it is not running."""
        if task := self.state.tasks.get(self.decode(CancelOrder).request_id):
            task.cancel()


class ReadHandler(BaseHandler):
    """GET /v1/load, /v1/versions, /v1/cache-events and /v1/kv."""

    def get(self, what: str) -> None:
        """Returns the engine's load, versions, cache events or cache blocks."""
        state = self.state
        now = asyncio.get_running_loop().time()
        if what == "load":
            self.write(msgspec.json.encode(state.reported_load()))
        elif what == "versions":
            self.write({"active": state.active, "staged": state.staged})
        elif what == "cache-events":
            after = int(self.get_query_argument("after", "0"))
            before = now - state.options.event_lag_seconds
            self.write({"events": state.cache.events_after(after, before)})
        elif what == "kv":
            self.write({"blocks": state.cache.blocks()})
        else:
            raise web.HTTPError(404)


class KvImportHandler(BaseHandler):
    """PUT /v1/kv/import: stores cache blocks that another engine exported."""

    def put(self) -> None:
        """Stores the blocks."""
        blocks = msgspec.json.decode(self.request.body)["blocks"]
        self.state.cache.take(blocks, asyncio.get_running_loop().time())


class StageHandler(BaseHandler):
    """POST /v1/orders/stage."""

    def post(self) -> None:
        """Starts staging, reuses chunks of the active version, and returns the missing indexes."""
        order = self.decode(StageOrder)
        state = self.state
        state.check_fence(order.fence)
        if state.staged != order.version or state.manifest != order.manifest:
            state.staged = order.version
            state.manifest = order.manifest
            state.staged_chunks = {
                index: state.active_chunks[digest]
                for index, digest in enumerate(order.manifest.chunks)
                if digest in state.active_chunks
            }
        held = state.staged_chunks
        missing = [index for index in range(len(order.manifest.chunks)) if index not in held]
        self.write({"missing": missing})


class StageChunkHandler(BaseHandler):
    """PUT /v1/stage/VERSION/INDEX."""

    def put(self, version: str, index: str) -> None:
        """Stores a chunk of the version being staged."""
        if version != self.state.staged:
            raise web.HTTPError(409, "not the version being staged")
        self.state.staged_chunks[int(index)] = self.request.body
        self.state.counters["staged_bytes"] += len(self.request.body)


class ActivateHandler(BaseHandler):
    """POST /v1/orders/activate."""

    async def post(self) -> None:
        """Activates the staged version, and checks its chunks against the manifest."""
        order = self.decode(ActivateOrder)
        state = self.state
        state.check_fence(order.fence)
        if state.faults.crash_on_activate == order.version:
            os._exit(1)
        await asyncio.sleep(state.options.activate_seconds)
        if order.version != state.staged or state.faults.fail_version == order.version:
            raise web.HTTPError(500, "cannot load")
        chunks = state.manifest.chunks
        staged = state.staged_chunks
        state.counters["activations"] += 1
        whole = len(staged) == len(chunks) and all(
            digest_of(staged[index]) == digest for index, digest in enumerate(chunks)
        )
        if not whole:
            state.counters["bad_activations"] += 1
        state.active = order.version
        state.active_chunks = {chunks[index]: content for index, content in staged.items()}
        state.staged = ""
        state.manifest = None
        state.staged_chunks = {}


class RoleHandler(BaseHandler):
    """POST /v1/orders/role and /v1/orders/adapter."""

    def post(self, what: str) -> None:
        """Sets the role or registers an adapter."""
        order = self.decode(RoleOrder)
        self.state.check_fence(order.fence)
        if what == "role":
            self.state.role = order.role
        else:
            self.state.adapters[order.adapter] = order.digest


class AdapterHandler(BaseHandler):
    """PUT /v1/adapters/NAME: loads an adapter's bytes under the digest of its manifest."""

    def put(self, name: str) -> None:
        """Loads an adapter in one step."""
        self.state.check_fence(int(self.get_query_argument("fence")))
        self.state.adapters[name] = self.get_query_argument("digest")
        self.state.adapter_contents[name] = digest_of(self.request.body)


class ControlHandler(BaseHandler):
    """Control interface for tests: sets faults and returns counters."""

    def get(self, what: str) -> None:
        """GET /control/counters."""
        state = self.state
        now = {"active": state.active, "running": state.slots_taken, "role": state.role}
        adapters = {"adapters": state.adapters, "adapter_contents": state.adapter_contents}
        self.write(state.counters | now | adapters)

    def put(self, what: str) -> None:
        """PUT /control/faults."""
        self.state.faults = self.decode(EngineFaults)


def make_application(state: EngineState) -> web.Application:
    """Returns the application with the engine's routes."""
    route_arguments = {"state": state}
    return web.Application(
        [
            (r"/v1/generate", GenerateHandler, route_arguments),
            (r"/v1/cancel", CancelHandler, route_arguments),
            (r"/v1/orders/stage", StageHandler, route_arguments),
            (r"/v1/stage/([^/]+)/([0-9]+)", StageChunkHandler, route_arguments),
            (r"/v1/orders/activate", ActivateHandler, route_arguments),
            (r"/v1/orders/(role|adapter)", RoleHandler, route_arguments),
            (r"/v1/adapters/([^/]+)", AdapterHandler, route_arguments),
            (r"/v1/kv/import", KvImportHandler, route_arguments),
            (r"/v1/([a-z-]+)", ReadHandler, route_arguments),
            (r"/control/(.*)", ControlHandler, route_arguments),
        ],
        log_function=lambda handler: None,
    )


def main() -> int:
    """Runs the engine until SIGTERM or SIGINT."""
    parser = process_options.make_parser(__doc__)
    defaults = EngineOptions()
    for field in dataclasses.fields(EngineOptions):
        name = "--" + field.name.replace("_", "-")
        default = getattr(defaults, field.name)
        if isinstance(default, bool):
            parser.add_argument(name, action="store_true")
        else:
            parser.add_argument(name, type=type(default), default=default)
    options = vars(parser.parse_args())
    port = options.pop("port")
    state = EngineState(EngineOptions(**options))
    asyncio.run(process_options.serve(make_application(state), port))
    return 0


if __name__ == "__main__":
    sys.exit(main())
