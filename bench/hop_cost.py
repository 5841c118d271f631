"""What one more process between an entry and an engine costs: latency, processor time, memory.

An engine's stand-in streams events; the same streams are read straight from it and through a
bare relay in a process of its own, the least that a sidecar on the way would do. Everything runs
on one instance, so that the network's share is missing; it adds one way between instances.

    python -m bench.hop_cost [--streams N]
"""

import argparse
import asyncio
import pathlib
import statistics
import sys
import tempfile
import time

from tornado import httpclient, httpserver, netutil, web

from .process import launch

EVENTS = 21
EVENT = b"x" * 240
EVENT_SECONDS = 0.01
AT_ONCE = 4
IDLE_SECONDS = 1.0


class EventsHandler(web.RequestHandler):
    """Streams events at the rate of an engine at POST /."""

    async def post(self) -> None:
        """Writes each event with a timestamp, from which the reader computes its age."""
        for _ in range(EVENTS):
            self.write(f"{time.monotonic():.6f} ".encode() + EVENT + b"\n")
            await self.flush()
            await asyncio.sleep(EVENT_SECONDS)


async def read_stream(client: httpclient.AsyncHTTPClient, url: str) -> tuple[float, list[float]]:
    """Returns the seconds until the first event, and the age of each event on arrival."""
    began = time.monotonic()
    first: list[float] = []
    ages: list[float] = []

    def take(chunk: bytes) -> None:
        now = time.monotonic()
        if not first:
            first.append(now - began)
        stamp = chunk.removeprefix(b"data: ").split(b" ", 1)[0]
        ages.append(now - float(stamp))

    request = httpclient.HTTPRequest(url, method="POST", body=b"{}", streaming_callback=take)
    await client.fetch(request)
    return first[0], ages


async def read_streams(url: str, streams: int) -> tuple[list[float], list[float]]:
    """Reads streams, AT_ONCE at a time; returns times to first event and ages of all events."""
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=100)
    firsts: list[float] = []
    ages: list[float] = []
    for _ in range(streams // AT_ONCE):
        for first, of_one in await asyncio.gather(
            *(read_stream(client, url) for _ in range(AT_ONCE))
        ):
            firsts.append(first)
            ages += of_one
    client.close()
    return firsts, ages


def describe(name: str, firsts: list[float], ages: list[float]) -> str:
    """Returns one line of the report."""
    return (
        f"{name}: first event {1e3 * statistics.median(firsts):.2f} ms, "
        f"event {1e3 * statistics.median(ages):.2f} ms old by the median, "
        f"{1e3 * statistics.quantiles(ages, n=100)[98]:.2f} ms at the 99th percentile"
    )


async def measure(streams: int) -> list[str]:
    """Returns the lines of the report."""
    application = web.Application([(r"/", EventsHandler)], log_function=lambda handler: None)
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}/"
    with tempfile.TemporaryDirectory() as place:
        output = pathlib.Path(place) / "relay.log"
        relay = await launch("relay", ["bench.bare_relay", "--urls", url], output)
        try:
            relay_url = f"http://127.0.0.1:{await relay.read_port()}/"
            await read_streams(relay_url, AT_ONCE)
            before = relay.processor_seconds()
            await asyncio.sleep(IDLE_SECONDS)
            idle = (relay.processor_seconds() - before) / IDLE_SECONDS
            straight = await read_streams(url, streams)
            before, began = relay.processor_seconds(), time.monotonic()
            through = await read_streams(relay_url, streams)
            spent = relay.processor_seconds() - before - idle * (time.monotonic() - began)
            megabytes = relay.resident_bytes() / 1e6
        finally:
            await relay.kill()
    server.stop()
    return [
        describe("straight", *straight),
        describe("through a relay", *through),
        f"relay: {1e3 * spent / streams:.2f} ms of processor time a stream of {EVENTS} events, "
        f"{megabytes:.1f} MB resident",
    ]


def main() -> int:
    """Measures and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=200)
    options = parser.parse_args()
    for line in asyncio.run(measure(options.streams)):
        print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
