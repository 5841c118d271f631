"""Endpoints that stop in the middle of their answer's head, and close the connection."""

import asyncio

from tests.fake_platform import FakeEndpoint, ReceivedRequest, reset, response_head
from tests.gateway_test import GatewayCase
from wasabidrum.platform import names

BODY = b"whole"
REST_SECONDS = 2.0
FRAMINGS = (f"Content-Length: {len(BODY)}", "Transfer-Encoding: chunked", "Connection: close")
INTERIM_HEADS = (b"", b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Early Hints\r\n\r\n")
# A request that may run once, one that may be repeated, and a stream.
KINDS = ("unsafe", "safe", "streaming")


def cut_head(interim: bytes, framing: str, left_out: int, resets: bool, pause: float = 0.0):
    """Returns a handler that runs the request and leaves out the end of the head.

    Args:
      left_out: How many bytes are left out.
      pause: For how long it is silent before it ends the connection.
    """

    async def handler(endpoint: FakeEndpoint, request: ReceivedRequest, writer) -> None:
        endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
        head = response_head(request, endpoint, "200 OK", framing)
        writer.write(interim + head[: len(head) - left_out])
        await writer.drain()
        await asyncio.sleep(pause)
        if resets:
            reset(writer)

    return handler


class CutHeadsTest(GatewayCase):
    """Two endpoints whose heads are cut."""

    # How many requests were answered with a head that was cut.
    cut = 0

    async def check_not_whole(self, name: str) -> None:
        """Checks that requests of all kinds fail, and that none runs more often than it may."""
        for kind in KINDS:
            request = f"{kind}-{name}".replace(" ", "")
            reply = await self.fleet.ask(0, "tally", kind, request, body=request.encode())
            if reply.status == 503:
                # Endpoints that fail are left out for a while; this answer says it did not run.
                self.assertEqual(self.runs(request), 0, request)
                continue
            self.assertIn(reply.status, (502, 504), request)
            self.assertLessEqual(self.runs(request), 1 if kind == "unsafe" else 2, request)
            self.cut += 1

    async def test_head_that_is_cut_anywhere(self) -> None:
        """Guards against an answer that passes for whole with an empty or a short body."""
        for place, interim in enumerate(INTERIM_HEADS):
            for framing in FRAMINGS:
                for left_out in (1, 2, 3, 4, 12, 30):
                    for resets in (False, True):
                        self.set_both(cut_head(interim, framing, left_out, resets))
                        await self.check_not_whole(f"{place}-{framing}-{left_out}-{resets}")
                        # Until endpoints that were left out are back.
                        await asyncio.sleep(REST_SECONDS)
        self.assertGreater(self.cut, len(INTERIM_HEADS) * len(FRAMINGS) * 6)

    async def test_head_that_pauses_before_it_is_cut(self) -> None:
        """Guards against the same where the endpoint falls silent before it closes."""
        for framing in FRAMINGS:
            self.set_both(cut_head(b"", framing, 12, False, pause=1.0))
            await self.check_not_whole(framing)
            await asyncio.sleep(REST_SECONDS)
        self.assertGreater(self.cut, 0)
