"""Command-line options and HTTP serving shared by the stand-in processes."""

import argparse
import asyncio
import signal

from tornado import httpserver, netutil, web


def make_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0, help="0 takes a free port")
    return parser


async def serve(application: web.Application, port: int) -> None:
    """Serves on loopback, prints the port, and returns on SIGTERM or SIGINT."""
    sockets = netutil.bind_sockets(port, "127.0.0.1")
    server = httpserver.HTTPServer(application, max_body_size=256 * 1_048_576)
    server.add_sockets(sockets)
    print(f"PORT {sockets[0].getsockname()[1]}", flush=True)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
