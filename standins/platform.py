"""A stand-in for the platform: configuration service, instance list, weight store, origin.

Everything under /control is for tests and benches; the rest is the platform's protocol.
"""

import asyncio
import random
import sys

import msgspec
from tornado import web

from wasabidrum.core.digest import digest_of
from wasabidrum.core.manifest import build_manifest, encode_manifest
from wasabidrum.platform.http_configuration_service import REVISION_HEADER

from . import process_options
from .rate_limiter import SLICE_BYTES, RateLimiter, make_limiter_mbit

CHANGE_POLL_SECONDS = 0.02
HANG_SECONDS = 3_600.0


class VersionRequest(msgspec.Struct):
    """A request to generate a version and store it at the origin.

    If changed_fraction is below one, about that fraction of the chunks is generated from
    seed, and the others from base_seed, so that versions can share chunks.
    """

    total_bytes: int
    chunk_bytes: int
    base_seed: int = 0
    seed: int = 0
    changed_fraction: float = 1.0


class Faults(msgspec.Struct):
    """Faults injected into the platform.

    Attributes:
      configuration: "", "down", "hang" or "stale" (with stale_revision).
      instances: "" or "down".
      store: "", "down" or "busy" (429).
      origin: "" or "down".
    """

    configuration: str = ""
    stale_revision: int = 0
    instances: str = ""
    store: str = ""
    origin: str = ""


class PlatformState:
    """The platform's data, faults, links and request counters."""

    __slots__ = ("values", "instances", "blobs", "faults", "origin", "store", "store_holds")
    __slots__ += ("counters",)

    def __init__(self, origin: RateLimiter, store: RateLimiter, store_holds: bool) -> None:
        self.values: dict[int, bytes] = {}
        self.instances = b'{"as_of": 0, "instances": []}'
        self.blobs: dict[str, bytes] = {}
        self.faults = Faults()
        self.origin = origin
        self.store = store
        self.store_holds = store_holds
        self.counters = {"configuration_calls": 0, "instances_calls": 0, "origin_calls": 0}
        self.counters |= {"store_calls": 0, "origin_weight_bytes": 0, "store_weight_bytes": 0}

    def current_revision(self) -> int:
        """Returns the revision served now: the highest one, or an older one while stale."""
        if self.faults.configuration == "stale":
            return self.faults.stale_revision
        return max(self.values, default=0)


def make_version(state: PlatformState, wanted: VersionRequest) -> str:
    """Generates a version's chunks, stores them as blobs, and returns the root digest."""
    parts = []
    changes = random.Random(wanted.seed)
    for index, start in enumerate(range(0, wanted.total_bytes, wanted.chunk_bytes)):
        size = min(wanted.chunk_bytes, wanted.total_bytes - start)
        changed = changes.random() < wanted.changed_fraction
        seed = wanted.seed if changed else wanted.base_seed
        parts.append(random.Random(f"{seed}/{index}").randbytes(size))
    content = b"".join(parts)
    manifest = build_manifest(content, wanted.chunk_bytes)
    for part in parts:
        state.blobs[digest_of(part)] = part
    encoded = encode_manifest(manifest)
    root = digest_of(encoded)
    state.blobs[root] = encoded
    return root


class BaseHandler(web.RequestHandler):
    """Base of the handlers, which share the state."""

    def initialize(self, state: PlatformState) -> None:
        """Receives the state from the route."""
        self.state = state


class ConfigurationHandler(BaseHandler):
    """GET /configuration/fleet: returns the value, as a long poll if `wait` is set."""

    async def get(self) -> None:
        """Answers when the revision differs from `after`, or with 304 after `wait` seconds."""
        self.state.counters["configuration_calls"] += 1
        after = int(self.get_query_argument("after", "-1"))
        wait = float(self.get_query_argument("wait", "0"))
        loop = asyncio.get_running_loop()
        ends = loop.time() + wait
        while True:
            fault = self.state.faults.configuration
            if fault == "down":
                raise web.HTTPError(503)
            if fault == "hang":
                await asyncio.sleep(HANG_SECONDS)
            revision = self.state.current_revision()
            if revision != after and revision in self.state.values:
                break
            if loop.time() >= ends:
                self.set_status(304)
                return
            await asyncio.sleep(CHANGE_POLL_SECONDS)
        self.set_header(REVISION_HEADER, str(revision))
        self.write(self.state.values[revision])


class InstancesHandler(BaseHandler):
    """GET /instances: returns the instance list."""

    def get(self) -> None:
        """Returns the list that was set last."""
        self.state.counters["instances_calls"] += 1
        if self.state.faults.instances == "down":
            raise web.HTTPError(503)
        self.set_header("Content-Type", "application/json")
        self.write(self.state.instances)


class BlobHandler(BaseHandler):
    """GET /origin/DIGEST and /store/DIGEST: returns a blob at the rate of that link."""

    async def get(self, source: str, digest: str) -> None:
        """Sends a blob slice by slice."""
        self.state.counters[source + "_calls"] += 1
        fault = self.state.faults.origin if source == "origin" else self.state.faults.store
        if fault == "busy":
            self.set_header("Retry-After", "1")
            raise web.HTTPError(429)
        if fault == "down":
            raise web.HTTPError(503)
        content = self.state.blobs.get(digest)
        if content is None or (source == "store" and not self.state.store_holds):
            raise web.HTTPError(404)
        limiter = self.state.origin if source == "origin" else self.state.store
        self.set_header("Content-Length", str(len(content)))
        for start in range(0, len(content), SLICE_BYTES):
            part = content[start : start + SLICE_BYTES]
            await limiter.reserve(len(part))
            self.state.counters[source + "_weight_bytes"] += len(part)
            self.write(part)
            await self.flush()


class ControlHandler(BaseHandler):
    """Control interface for tests: sets values, lists, versions and faults; returns counters."""

    def get(self, what: str) -> None:
        """GET /control/counters."""
        self.write(self.state.counters)

    def put(self, what: str) -> None:
        """PUT /control/value/REVISION, /control/instances, /control/faults, /control/version."""
        body = self.request.body
        name, _, rest = what.partition("/")
        if name == "value":
            self.state.values[int(rest)] = body
        elif name == "instances":
            self.state.instances = body
        elif name == "faults":
            self.state.faults = msgspec.json.decode(body, type=Faults)
        elif name == "version":
            self.write(make_version(self.state, msgspec.json.decode(body, type=VersionRequest)))
        else:
            raise web.HTTPError(404)


def make_application(state: PlatformState) -> web.Application:
    """Returns the application with the platform's routes."""
    route_arguments = {"state": state}
    return web.Application(
        [
            (r"/configuration/fleet", ConfigurationHandler, route_arguments),
            (r"/instances", InstancesHandler, route_arguments),
            (r"/(origin|store)/([0-9a-f]+)", BlobHandler, route_arguments),
            (r"/control/(.*)", ControlHandler, route_arguments),
        ],
        log_function=lambda handler: None,
    )


def main() -> int:
    """Runs the platform until SIGTERM or SIGINT."""
    parser = process_options.make_parser(__doc__)
    parser.add_argument("--origin-mbit", type=float, default=0.0, help="0 means no limit")
    parser.add_argument("--store-mbit", type=float, default=0.0, help="0 means no limit")
    parser.add_argument("--store-holds", action="store_true", help="the store has the blobs too")
    options = parser.parse_args()
    origin = make_limiter_mbit(options.origin_mbit)
    state = PlatformState(origin, make_limiter_mbit(options.store_mbit), options.store_holds)
    asyncio.run(process_options.serve(make_application(state), options.port))
    return 0


if __name__ == "__main__":
    sys.exit(main())
