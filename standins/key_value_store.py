"""A stand-in for the platform's key-value store, with faults for all or for single instances."""

import asyncio
import base64
import collections
import dataclasses
import json

from tornado import httpserver, netutil, web

from wasabidrum.platform import names

HOST = "127.0.0.1"
# Where the stand-ins of endpoints write their entries; no part of the platform's protocol.
ITEM_PATH = "/stand-in/item"


class StoreHandler(web.RequestHandler):
    """Serves range reads and watches."""

    def initialize(self, store: "FakeStore") -> None:
        """Receives the store from the route's arguments."""
        self.store = store

    def set_default_headers(self) -> None:
        """States the era in all answers."""
        store = self.application.settings.get("store")
        if store is not None and store.era:
            self.set_header(names.STORE_ERA, str(store.era))

    async def get(self) -> None:
        """Serves one call, or injects the fault that the test set."""
        store = self.store
        store.calls += 1
        if store.fault == "reset":
            self._reset()
            return
        if store.fault == "hang":
            await asyncio.sleep(3600)
        if store.fault:
            self.set_status(503)
            return
        prefix = self.get_query_argument("prefix")
        if self.request.path == names.STORE_RANGE_PATH:
            store.reads[prefix] += 1
            self.write(store.page(prefix, self.get_query_argument("after", "")))
            return
        after = int(self.get_query_argument("after"))
        if not store.history_from <= after <= store.revision:
            self.set_status(410)
            return
        seconds = int(self.get_query_argument("waitMs")) / 1000.0
        era = store.era
        events = await store.wait(prefix, after, seconds)
        if store.era != era:
            self._reset()
            return
        self.write({"events": events, "asOf": store.revision})

    def _reset(self) -> None:
        """Ends the connection without an answer."""
        self.request.connection.stream.close()
        self._finished = True

    async def put(self) -> None:
        """Writes the entry of an endpoint, unless it is the same as before."""
        store = self.store
        if store.fault:
            self.set_status(503)
            return
        await store.renew(self.get_query_argument("key"), self.request.body)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """What a store held at some time."""

    items: dict[str, dict]
    log: list[dict]
    revision: int


class FakeStore:
    """An in-memory store that tests write to.

    Attributes:
      era: Rises by one each time that the store comes back from a copy; zero for a store that
        states none.
      fault: How all calls fail: "hang", "reset", or anything else for status 503.
    """

    def __init__(self, page_size: int = 500) -> None:
        self.page_size = page_size
        self.items: dict[str, dict] = {}
        self.log: list[dict] = []
        self.revision = 1
        self.history_from = 0
        self.era = 1
        self.fault = ""
        self.calls = 0
        self.reads: collections.Counter[str] = collections.Counter()
        # When each entry of an endpoint was last renewed, by the event loop's clock.
        self._renewed_at: dict[str, float] = {}
        self.port = 0
        self._changed = asyncio.Condition()
        self._server: httpserver.HTTPServer | None = None

    async def start(self) -> None:
        """Listens."""
        application = web.Application([(r"/.*", StoreHandler, {"store": self})], store=self)
        application.settings["log_function"] = lambda handler: None
        self._server = httpserver.HTTPServer(application)
        sockets = netutil.bind_sockets(0, HOST)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop()

    async def put(self, key: str, value: object) -> None:
        """Writes an item: bytes as they are, anything else as JSON."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {"key": key, "revision": self.revision, "created": 1, "lease": 0}
        item["value"] = base64.b64encode(content).decode()
        self.items[key] = item
        await self._tell(item)

    async def delete(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.items.pop(key, None)
        await self._tell({"key": key, "revision": self.revision, "deleted": True})

    def copy(self) -> StoreCopy:
        """Returns a copy, from which the store can come back."""
        return StoreCopy(dict(self.items), list(self.log), self.revision)

    async def restore(self, copy: StoreCopy) -> None:
        """Comes back from a copy: what was written since is gone, and waiting watches are cut."""
        self.items, self.log, self.revision = dict(copy.items), list(copy.log), copy.revision
        if self.era:
            self.era += 1
        async with self._changed:
            self._changed.notify_all()

    async def renew(self, key: str, content: bytes) -> None:
        """Writes an item that expires; one that is the same as before is kept as it is."""
        self._renewed_at[key] = asyncio.get_running_loop().time()
        known = self.items.get(key)
        if known is None or known["value"] != base64.b64encode(content).decode():
            await self.put(key, content)

    def holds(self, key: str, value: object) -> bool:
        """Returns whether an item has a value, which is written as JSON."""
        content = base64.b64encode(json.dumps(value).encode()).decode()
        return key in self.items and self.items[key]["value"] == content

    async def expire(self, seconds: float) -> None:
        """Removes the items that were not renewed for some time."""
        oldest = asyncio.get_running_loop().time() - seconds
        for key in [key for key, at in self._renewed_at.items() if at < oldest]:
            del self._renewed_at[key]
            await self.delete(key)

    def page(self, prefix: str, after: str) -> dict:
        """Returns one page of a range read."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        shown = keys[: self.page_size]
        return {
            "items": [self.items[key] for key in shown],
            "truncated": len(keys) > len(shown),
            "asOf": self.revision,
        }

    async def wait(self, prefix: str, after: int, seconds: float) -> list[dict]:
        """Returns the changes after a revision, or an empty list after a time-out."""

        era = self.era

        def found() -> list[dict]:
            return [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]

        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: found() or self.era != era)
        except TimeoutError:
            # A change may have been made in the moment of the time-out. The answer's revision
            # includes it, so that it would be lost if it were left out here.
            pass
        return found()

    async def _tell(self, event: dict) -> None:
        self.log.append(event)
        async with self._changed:
            self._changed.notify_all()


class StoreViewHandler(StoreHandler):
    """Serves the calls of one instance, or injects the fault that a test set for it alone."""

    def initialize(self, store: FakeStore, view: "StoreView") -> None:
        """Receives the store and the view from the route's arguments."""
        super().initialize(store)
        self.view = view

    async def get(self) -> None:
        """Serves one call; a fault begins at once for watches that wait at the store."""
        view = self.view
        serving = asyncio.ensure_future(super().get())
        failing = asyncio.ensure_future(view.failing.wait())
        await asyncio.wait((serving, failing), return_when=asyncio.FIRST_COMPLETED)
        failing.cancel()
        if not view.failing.is_set():
            return await serving
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        if view.fault == "hang":
            await asyncio.sleep(3600)
        self.clear()
        return self.set_status(503)


class StoreView:
    """An address of the store that one instance uses, with faults of its own.

    Attributes:
      fault: How calls fail while there is a fault: "hang" or "busy".
      failing: Whether they fail now.
    """

    def __init__(self, store: FakeStore) -> None:
        self.fault = ""
        self.failing = asyncio.Event()
        routes = [(r"/.*", StoreViewHandler, {"store": store, "view": self})]
        application = web.Application(routes, store=store)
        application.settings["log_function"] = lambda handler: None
        self._server = httpserver.HTTPServer(application)
        sockets = netutil.bind_sockets(0, HOST)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    def fail(self, fault: str) -> None:
        """Makes all calls fail from now on, those that wait included."""
        self.fault = fault
        self.failing.set()

    def recover(self) -> None:
        """Serves calls again."""
        self.failing.clear()

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop()
