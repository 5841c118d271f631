"""Fetches the value of a revision that a peer says it has in force, once, from whoever has it."""

import asyncio
import zlib

from ..core.config_value import ConfigValue
from ..core.digest import digest_of
from ..core.errors import CodedError
from ..decisions.revision_tracker import ClaimVerdict
from ..platform.http_configuration_service import MAX_VALUE_BYTES
from . import peer_client
from .configuration_follower import ConfigurationFollower


class ClaimFetcher:
    """Owns at most one fetch at a time; a higher revision replaces the one being fetched."""

    __slots__ = ("_follower", "_fetching", "_task")

    def __init__(self, follower: ConfigurationFollower) -> None:
        self._follower = follower
        self._fetching = 0
        self._task: asyncio.Task[bool] | None = None

    def take_claim(self, revision: int, digest: str, host: str, port: int) -> None:
        """Takes a peer's word; fetches the value in the background where it is wanted."""
        if (
            not revision
            or not port
            or self._follower.judge(revision, digest) is not ClaimVerdict.WANTED
        ):
            return
        busy = self._task is not None and not self._task.done()
        if busy and revision <= self._fetching:
            return
        if busy:
            self._task.cancel()
        self._fetching = revision
        self._task = asyncio.ensure_future(self._fetch_quietly(revision, digest, host, port))

    async def wait(self) -> None:
        """Waits for the fetch in the background, if there is one."""
        if self._task is not None:
            await asyncio.wait((self._task,))

    async def stop(self) -> None:
        """Ends the fetch in the background."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))

    async def _fetch_quietly(self, revision: int, digest: str, host: str, port: int) -> bool:
        # A failure is not retried here: the peer, and every other that has the revision,
        # claims it again with the next look over the links.
        try:
            reply = await peer_client.fetch_configuration(host, port, digest)
            value = open_reply(revision, digest, reply.compressed)
        except CodedError:
            return False
        return await self._follower.offer(value, reply.compressed)


def open_reply(revision: int, digest: str, compressed: bytes) -> ConfigValue:
    """Decompresses what a peer sent and checks that it is what it was asked for.

    Raises:
      CodedError: It is not, or it is too large.
    """
    try:
        opener = zlib.decompressobj()
        # Bounded, so that a broken or hostile peer cannot fill the memory with a small reply.
        content = opener.decompress(compressed, MAX_VALUE_BYTES + 1)
    except zlib.error as error:
        raise CodedError("configuration_corrupt", str(error), 503) from error
    if not opener.eof or digest_of(content) != digest:
        raise CodedError("configuration_corrupt", "the value does not match its digest", 503)
    return ConfigValue(revision, digest, content)
