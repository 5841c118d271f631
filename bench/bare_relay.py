"""A bare tornado relay of streamed chunks: the least that any entry has to do.

It passes an engine's chunks on as server-sent events, one flush a chunk, without admission,
checks or logs. Its processor time per chunk is what the daemon's is held against.
"""

import argparse
import asyncio
import collections.abc
import itertools
import sys

from tornado import httpclient, web

from standins import process_options


class RelayHandler(web.RequestHandler):
    """Relays one generation at POST /."""

    def initialize(
        self, urls: collections.abc.Iterator[str], client: httpclient.AsyncHTTPClient
    ) -> None:
        """Receives an endless round robin over the engines' URLs from the route."""
        self.urls = urls
        self.client = client

    async def post(self) -> None:
        """Writes and flushes each chunk as it arrives."""
        chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        request = httpclient.HTTPRequest(
            next(self.urls),
            method="POST",
            body=self.request.body,
            streaming_callback=chunks.put_nowait,
            request_timeout=120.0,
        )
        done = asyncio.ensure_future(self.client.fetch(request))
        done.add_done_callback(lambda _: chunks.put_nowait(None))
        self.set_header("Content-Type", "text/event-stream")
        while (chunk := await chunks.get()) is not None:
            self.write(b"data: " + chunk + b"\n\n")
            await self.flush()


def main() -> int:
    """Runs the relay until it is told to end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--urls", nargs="+", required=True)
    options = parser.parse_args()

    async def serve() -> None:
        client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=10_000)
        given = {"urls": itertools.cycle(options.urls), "client": client}
        application = web.Application(
            [(r"/", RelayHandler, given)], log_function=lambda handler: None
        )
        await process_options.serve(application, options.port)

    asyncio.run(serve())
    return 0


if __name__ == "__main__":
    sys.exit(main())
