"""Fuzzes the HTTP server for callers over real sockets; everything behind it is faked."""

import asyncio
import http.client
import json
import socket
import threading
import types
import unittest

import hypothesis
from hypothesis import strategies
from tornado import netutil

from ..core.digest import digest_of
from ..core.fleet import Fleet, FleetRevision, LimitSpec, ServiceSpec, WorkspaceSpec
from ..core.requests_in_progress import RequestsInProgress
from ..endpoints.service_reply import ServiceReply
from ..observe.event import Event
from .caller_routes import make_caller_server
from .model_call import TokenBatch

KEY = "key"
BODY_LIMIT = 2000
ANSWER_SECONDS = 0.5
FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=400, database=None)
KEY_TEXT = strategies.sampled_from(["model", "prompt", "max_tokens", "stream", "messages", "x"])
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.sampled_from(["m", "é", "\ud800", "x" * 3000])
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(KEY_TEXT, inner, max_size=4),
    max_leaves=8,
)
HEADER_NAMES = strategies.sampled_from(
    ["Authorization", "X-Request-Id", "X-Deadline-Ms", "Idempotency-Key", "Content-Type"]
    + ["Content-Length", "Transfer-Encoding", "Content-Encoding", "Expect", "Connection"]
)
HEADER_VALUES = strategies.sampled_from(
    ["", "0", "5", "-1", "99999999999999999999", "chunked", "gzip", "100-continue", "close"]
    + ["Bearer key", "Basic key", "application/json", "\x00", "r\x01", "²"]
) | strategies.text(strategies.characters(max_codepoint=255), max_size=20)
PATHS = strategies.sampled_from(
    ["/v1/completions", "/v1/chat/completions", "/v1/idempotency-keys", "/healthz", "/"]
    + ["/services/tally/charge", "/services/tally/%0d%0a", "/services//x", "/services/tally/%2e."]
) | strategies.text(strategies.characters(max_codepoint=255), max_size=12).map(lambda s: "/" + s)
METHODS = strategies.sampled_from(["GET", "POST", "PUT", "DELETE", "HEAD", "OPTIONS", "PATCH", "X"])


class FakeEntry:
    """Fakes everything that the handlers use, and answers at once."""

    def __init__(self) -> None:
        workspace = WorkspaceSpec((digest_of(KEY.encode()),), ("m",), ("tally",))
        fleet = Fleet(
            1,
            services={"tally": ServiceSpec()},
            workspaces={"w": workspace},
            limits=LimitSpec(body_bytes=BODY_LIMIT),
        )
        self.follower = types.SimpleNamespace(current=FleetRevision(1, "d", fleet))
        self.log = self
        self.failures: list[str] = []
        self.requests = RequestsInProgress()
        self.leaving = False
        self.models = self
        self.services = self
        self.keys = None

    def write(self, event: Event, /, **facts: object) -> None:
        """Receives a log event; keeps the reasons of unexpected handler failures."""
        if event is Event.HANDLER_FAILED:
            self.failures.append(str(facts["reason"]))

    async def generate(self, *asked: object):
        """Answers a model request with one token."""
        yield TokenBatch("v1", ["t"], True)

    async def call(self, *asked: object) -> ServiceReply:
        """Answers a service call."""
        return ServiceReply(200, "text/plain\r\nX: y", b"done")


class CallerFuzzTest(unittest.TestCase):
    """Whatever a caller sends, the response is well formed and no state is left behind."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.loop = asyncio.new_event_loop()
        started = threading.Event()

        async def serve() -> None:
            cls.entry = FakeEntry()
            sockets = netutil.bind_sockets(0, "127.0.0.1")
            cls.port = sockets[0].getsockname()[1]
            make_caller_server(cls.entry).add_sockets(sockets)
            cls.stopped = asyncio.Event()
            started.set()
            await cls.stopped.wait()

        cls.thread = threading.Thread(target=cls.loop.run_until_complete, args=(serve(),))
        cls.thread.start()
        started.wait()

    @classmethod
    def tearDownClass(cls) -> None:
        cls.loop.call_soon_threadsafe(cls.stopped.set)
        cls.thread.join()
        cls.loop.close()

    def send(self, request: bytes) -> http.client.HTTPResponse | None:
        """Sends bytes; returns the response, or None if the entry closes or waits for more."""
        with socket.create_connection(("127.0.0.1", self.port), ANSWER_SECONDS) as connection:
            connection.sendall(request)
            response = http.client.HTTPResponse(connection)
            try:
                response.begin()
                response.body = response.read()
            except (http.client.HTTPException, ConnectionError, TimeoutError):
                return None
            return response

    def check_response(self, response: http.client.HTTPResponse | None) -> None:
        """Fails on a server error, or on an error response without a code."""
        self.assertEqual(self.entry.failures, [])
        if response is None or response.status < 400 or not response.body:
            return
        self.assertLess(response.status, 500)
        error = json.loads(response.body)["error"]
        self.assertTrue(error["code"])
        self.assertEqual(error["outcome"], "not_run")

    @FUZZ
    @hypothesis.given(PATHS, VALUES, strategies.booleans())
    def test_bodies(self, path: str, value: object, chunked: bool) -> None:
        """A caller's software builds faulty JSON: wrong types, too long, odd characters. It must be
        told what is wrong; its mistakes must never appear as server errors."""
        body = json.dumps(value).encode()
        how = f"Content-Length: {len(body)}"
        if chunked:
            how = "Transfer-Encoding: chunked"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n{how}\r\n\r\n"
        hypothesis.assume(not self.breaks_request_line(path))
        self.check_response(self.send(head.encode("latin-1") + body))

    @FUZZ
    @hypothesis.given(
        METHODS, PATHS, strategies.lists(strategies.tuples(HEADER_NAMES, HEADER_VALUES), max_size=5)
    )
    def test_heads(self, method: str, path: str, lines: list[tuple[str, str]]) -> None:
        """A scanner, or a proxy that rewrites headers, sends heads that no HTTP library would. Each
        must be answered or its connection closed, without a failure in the daemon's own code."""
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in lines) + "\r\n"
        self.check_response(self.send(head.encode("latin-1") + b"hello"))

    def breaks_request_line(self, path: str) -> bool:
        """Returns whether a path contains a line break, which would end the request line."""
        return any(mark in path for mark in "\r\n")

    def test_nothing_is_left_in_progress(self) -> None:
        good = json.dumps({"model": "m", "prompt": "p"}).encode()
        head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        head += f"Content-Length: {len(good)}\r\n\r\n"
        response = self.send(head.encode() + good)
        self.assertEqual(response.status, 200)
        self.assertEqual(json.loads(response.body)["choices"][0]["text"], "t")
        self.assertEqual(self.entry.requests.count, 0)
