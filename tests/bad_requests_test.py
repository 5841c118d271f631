"""Malformed requests: each gets a specific error, and the daemon is not harmed."""

import asyncio
import json
import random
import unittest

from bench.caller import Caller
from bench.cluster import Cluster
from bench.fleet_files import make_base

from .raw_caller import make_head, make_request, send

COMPLETION = {"model": "summaries", "prompt": "hello", "max_tokens": 3}
BODY_LIMIT = 20_000
FUZZED_REQUESTS = 400


def encode(**changes: object) -> bytes:
    """Returns the body of a completion request, with some keys changed."""
    return json.dumps(COMPLETION | changes).encode()


class BadRequestsTest(unittest.IsolatedAsyncioTestCase):
    """One entry, one engine and one service, which receive malformed requests."""

    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(Cluster())
        await self.cluster.start_platform()
        await self.cluster.start_sidecar("worker-1", "rift-a")
        await self.cluster.start_sidecar("tally-1", "rift-a", "service")
        self.entry = await self.cluster.start_entry("entry-1", "rift-a")
        await self.cluster.publish_instances()
        root = await self.cluster.make_version(total_bytes=300_000, chunk_bytes=65_536)
        base = make_base({"v1": root}, "v1", {"worker-1": "rift-a"}, {"tally-1": "rift-a"})
        await self.cluster.publish(base | {"limits": {"body_bytes": BODY_LIMIT}})
        self.port = self.entry.caller_port
        self.caller = Caller([self.port], seed=1)

        async def answers() -> bool:
            generated = await self.caller.generate("hello", 3)
            return generated == "whole" and await self.caller.read() == "whole"

        await self.cluster.wait_until(answers, 20.0, "the first whole answer")

    async def assert_unharmed(self) -> None:
        """Checks that the daemon still runs, serves requests, and has logged no failed handler."""
        self.assertTrue(self.entry.daemon.alive)
        self.assertEqual(await self.caller.generate("hello", 3), "whole")
        self.assertEqual(await self.caller.charge(), "whole")
        self.assertNotIn("handler_failed", self.entry.daemon.text())
        self.assertNotIn("Traceback", self.entry.daemon.text())

    async def test_each_malformed_request_gets_its_error_code(self) -> None:
        """A caller's new software sends wrong types, wrong headers or broken JSON. Its developers
        get a specific error code for each, and other callers' requests are not disturbed."""
        path = "/v1/completions"
        cases = [
            (make_request(path, b"{"), 400, "body_invalid"),
            (make_request(path, b"\xff\xfe"), 400, "body_invalid"),
            (make_request(path, b'"\\ud800"'), 400, "body_invalid"),
            (make_request(path, b"[" * 15_000), 400, "body_invalid"),
            (make_request(path, encode(prompt=7)), 400, "body_invalid"),
            (make_request(path, encode(max_tokens=0)), 400, "body_invalid"),
            (make_request(path, encode(max_tokens=10**30)), 400, "body_invalid"),
            (make_request(path, encode(model="other")), 404, "model_unknown"),
            (make_request(path, encode(), "X-Deadline-Ms: soon"), 400, "deadline_invalid"),
            (make_request(path, encode(), "X-Deadline-Ms: 0"), 400, "deadline_invalid"),
            (make_request(path, encode(), "X-Deadline-Ms: " + "9" * 5000), 400, "deadline_invalid"),
            (make_request(path, encode(), "X-Request-Id: a b"), 400, "request_id_invalid"),
            (make_request(path, encode(), "X-Request-Id: " + "x" * 200), 400, "request_id_invalid"),
            (make_request("/v1/other", b""), 404, "path_unknown"),
            (make_request(path, b"", method="GET"), 405, "method_unsupported"),
            (make_request(path, encode(), method="BREW"), 405, "method_unsupported"),
            (make_request("/services/other/charge", b""), 404, "service_unknown"),
            (make_request("/services/tally/../x", b""), 400, "path_invalid"),
            (make_request("/services/tally/%2E%2e/x", b""), 400, "path_invalid"),
            (make_request("/v1/idempotency-keys", b"\xff"), 400, "body_invalid"),
            (
                make_head("POST", path, "Content-Length: 5", key="wrong") + b"hello",
                401,
                "key_unknown",
            ),
            (
                make_head("POST", path, "Content-Length: 5", key="\xe9") + b"hello",
                401,
                "key_unknown",
            ),
        ]
        for request, status, code in cases:
            with self.subTest(code=code, request=request[:150]):
                answer = await send(self.port, request)
                self.assertEqual((answer.status, answer.code), (status, code))
                self.assertEqual(answer.outcome, "not_run")
        await self.assert_unharmed()

    async def test_too_large_bodies_are_refused(self) -> None:
        """A caller sends a larger body than the configuration allows, declared or in chunks, and
        keeps sending. If the entry closed the connection at once, the caller would get a reset
        before it reads the response, and would send everything again."""
        half = b"x" * 16_384
        chunk = b"4000\r\n" + half + b"\r\n"
        declared = make_head("POST", "/v1/completions", f"Content-Length: {16_384 * 200}")
        chunked = make_head("POST", "/services/tally/charge", "Transfer-Encoding: chunked")
        huge = make_head("POST", "/v1/completions", "Content-Length: 99999999999999")
        for parts in ((declared, *[half] * 200), (chunked, *[chunk] * 200), (huge, *[half] * 200)):
            answer = await send(self.port, *parts)
            self.assertEqual((answer.status, answer.code), (413, "body_too_large"))
            self.assertEqual(answer.outcome, "not_run")
        await self.assert_unharmed()

    async def test_slow_senders_time_out_without_disturbing_others(self) -> None:
        """Many callers, on slow links or with bad intent, send their bodies byte by byte. Each gets
        an error for being too slow, while other callers are served as usual."""
        head = make_head("POST", "/v1/completions", f"Content-Length: {len(encode())}")
        drips = [bytes((byte,)) for byte in encode()]
        slow = [asyncio.ensure_future(send(self.port, head, *drips, pause=1.0)) for _ in range(100)]
        await asyncio.sleep(1.0)
        self.assertEqual(await self.caller.generate("meanwhile", 3), "whole")
        for answer in await asyncio.gather(*slow):
            self.assertEqual((answer.status, answer.code), (408, "body_late"))
        await self.assert_unharmed()

    async def test_arbitrary_bytes_cause_no_server_error(self) -> None:
        """Faulty software, scanners and interrupted connections reach every port. Whatever bytes
        arrive, the entry responds or closes the connection, and never with a 5xx status."""
        choice = random.Random(11)
        whole = make_request("/v1/completions", encode(), "X-Deadline-Ms: 900", "X-Request-Id: r1")
        call = make_request("/services/tally/balance?shop=1", b"", method="GET")
        requests = []
        for _ in range(FUZZED_REQUESTS):
            request = bytearray(choice.choice((whole, call)))
            for _ in range(choice.randint(1, 6)):
                place = choice.randrange(len(request))
                kind = choice.random()
                if kind < 0.5:
                    request[place] = choice.randrange(256)
                elif kind < 0.75:
                    del request[place : place + choice.randint(1, 8)]
                else:
                    request[place:place] = choice.randbytes(choice.randint(1, 8))
            requests.append(bytes(request))
        cut = [request[: choice.randrange(len(request))] for request in requests[:50]]

        async def try_one(request: bytes) -> int:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(request)
            writer.write_eof()
            first = await asyncio.wait_for(reader.read(15), 30.0)
            writer.close()
            return int(first[9:12]) if first[9:12].isdigit() else 0

        statuses = []
        for start in range(0, len(requests), 50):
            statuses += await asyncio.gather(*map(try_one, requests[start : start + 50]))
        await asyncio.gather(*map(try_one, cut))
        self.assertEqual([status for status in statuses if status >= 500], [])
        await self.assert_unharmed()
