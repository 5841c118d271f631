"""Measures the CPU time of an HTTP request between daemons, with either address resolver."""

import asyncio
import time

from tornado import httpclient, httpserver, netutil, web

from wasabidrum.wire import http_client

BATCHES = 40
REQUESTS_AT_ONCE = 20


class EchoHandler(web.RequestHandler):
    """Answers with one byte."""

    def get(self) -> None:
        """Answers."""
        self.write("x")


async def measure_processor(client: httpclient.AsyncHTTPClient, url: str) -> float:
    """Returns the CPU milliseconds per request, client and server together."""

    async def ask() -> None:
        await http_client.fetch(client, httpclient.HTTPRequest(url), "echo")

    began = 0.0
    # The first batches start threads and fill caches, so they are not measured.
    for batch in range(BATCHES + BATCHES // 4):
        if batch == BATCHES // 4:
            began = time.process_time()
        await asyncio.gather(*(ask() for _ in range(REQUESTS_AT_ONCE)))
    return 1000.0 * (time.process_time() - began) / (BATCHES * REQUESTS_AT_ONCE)


async def measure_fetch() -> tuple[float, float]:
    """Returns the cost with the fleet's client, and with the library's default resolver."""
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server = httpserver.HTTPServer(web.Application([("/", EchoHandler)], log_function=ignore))
    server.add_sockets(sockets)
    url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}/"
    ours = await measure_processor(http_client.make_client(), url)
    plain_client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=1000)
    plain = await measure_processor(plain_client, url)
    server.stop()
    return ours, plain


def ignore(handler: web.RequestHandler) -> None:
    """Logs nothing."""
