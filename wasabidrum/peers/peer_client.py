"""Client calls to another daemon's peer port."""

import asyncio
import collections.abc
import contextlib
import typing

import msgspec
from grpclib import client, exceptions

from ..core.errors import CodedError
from ..wire import tls
from . import message_bound, peer_messages
from .message_codec import MessageCodec
from .peer_link import PeerLink
from .peer_messages import (
    ConfigurationReply,
    FetchConfiguration,
    FetchList,
    ListReply,
    Push,
)

QUERY_TIMEOUT_SECONDS = 1.0
FETCH_TIMEOUT_SECONDS = 5.0
CODEC = MessageCodec()
message_bound.install()
STREAM_ERRORS = (
    OSError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
    msgspec.MsgspecError,
)


@contextlib.asynccontextmanager
async def open_channel(host: str, port: int) -> collections.abc.AsyncIterator[client.Channel]:
    """Opens a channel and closes it at the end of the block."""
    channel = client.Channel(host, port, codec=CODEC, ssl=tls.client_context())
    try:
        yield channel
    finally:
        channel.close()


async def watch(host: str, port: int, link: PeerLink) -> None:
    """Opens a Watch stream and runs it until either end closes it.

    Raises:
      One of STREAM_ERRORS: It could not be opened, or broke; ConnectionRefusedError if no
        process listens at the address.
    """
    async with open_channel(host, port) as channel:
        method = client.StreamStreamMethod(channel, peer_messages.WATCH_PATH, Push, Push)
        async with method.open() as stream:
            # grpclib opens the stream with the first message sent and cannot receive before.
            await stream.send_message(link.next_push())
            await link.run(stream, pushes=link.gossip)


async def fetch_configuration(host: str, port: int, digest: str) -> ConfigurationReply:
    """Queries a peer for its revision in force, and for its value if a digest is given.

    Raises:
      CodedError: The peer was unreachable or did not answer in time.
    """
    seconds = FETCH_TIMEOUT_SECONDS if digest else QUERY_TIMEOUT_SECONDS
    path = peer_messages.FETCH_CONFIGURATION_PATH
    request = FetchConfiguration(digest)
    return await call(host, port, path, request, ConfigurationReply, seconds)


async def fetch_list(host: str, port: int, digest: str) -> ListReply:
    """Fetches a peer's instance list; without instances where it has the digest given.

    Raises:
      CodedError: The peer was unreachable or did not answer in time.
    """
    path = peer_messages.FETCH_LIST_PATH
    return await call(host, port, path, FetchList(digest), ListReply, FETCH_TIMEOUT_SECONDS)


async def call(
    host: str, port: int, path: str, request: object, reply_type: type, seconds: float
) -> typing.Any:
    """Makes one unary call on a new channel.

    Raises:
      CodedError: The peer was unreachable or did not answer in time.
    """
    try:
        async with asyncio.timeout(seconds), open_channel(host, port) as channel:
            method = client.UnaryUnaryMethod(channel, path, type(request), reply_type)
            return await method(request)
    except STREAM_ERRORS as error:
        raise CodedError("peer_unreachable", f"{host}:{port}: {error!r}", 503) from error
