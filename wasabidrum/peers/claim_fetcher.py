"""Fetches the configuration value of a revision that a peer claims to have in force."""

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
    """Runs at most one fetch at a time; a claim of a higher revision replaces a running fetch."""

    __slots__ = ("_follower", "_fetching_revision", "_task")

    def __init__(self, follower: ConfigurationFollower) -> None:
        self._follower = follower
        self._fetching_revision = 0
        self._task: asyncio.Task[bool] | None = None

    def handle_claim(self, revision: int, digest: str, host: str, port: int) -> None:
        """Starts to fetch the claimed revision's value in the background if it is wanted."""
        if (
            not revision
            or not port
            or self._follower.assess_claim(revision, digest) is not ClaimVerdict.WANTED
        ):
            return
        busy = self._task is not None and not self._task.done()
        if busy and revision <= self._fetching_revision:
            return
        if busy:
            self._task.cancel()
        self._fetching_revision = revision
        self._task = asyncio.ensure_future(self._fetch(revision, digest, host, port))

    async def wait(self) -> None:
        """Waits for the background fetch, if there is one."""
        if self._task is not None:
            await asyncio.wait((self._task,))

    async def stop(self) -> None:
        """Cancels the background fetch and waits for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))

    async def _fetch(self, revision: int, digest: str, host: str, port: int) -> bool:
        # A failure is not retried here: the node handles the claims of all its links again on
        # each tick, until the revision is in force.
        try:
            reply = await peer_client.fetch_configuration(host, port, digest)
            value = decode_value(revision, digest, reply.compressed)
        except CodedError:
            return False
        return await self._follower.offer(value, reply.compressed)


def decode_value(revision: int, digest: str, compressed: bytes) -> ConfigValue:
    """Decompresses a value sent by a peer and verifies it against the requested digest.

    Raises:
      CodedError: The value is corrupt, does not match the digest or is too large.
    """
    try:
        decompressor = zlib.decompressobj()
        # Bounded, so that a faulty or hostile peer cannot exhaust the memory with a small reply
        # that decompresses to a huge value.
        content = decompressor.decompress(compressed, MAX_VALUE_BYTES + 1)
    except zlib.error as error:
        raise CodedError("configuration_corrupt", str(error), 503) from error
    if not decompressor.eof or digest_of(content) != digest:
        raise CodedError("configuration_corrupt", "the value does not match its digest", 503)
    return ConfigValue(revision, digest, content)
