"""Fetches content from an ordered list of sources, such as the weight store and the origin."""

import asyncio

from ..core.digest import digest_of
from ..core.errors import CodedError
from ..platform.blob_source import BlobSource


class CorruptContentError(CodedError):
    """The last source asked sent other content than was asked for.

    Attributes:
      actual: The digest of what it sent.
    """

    __slots__ = ("actual",)

    def __init__(self, digest: str, actual: str) -> None:
        super().__init__("chunk_corrupt", f"{digest} does not match the content received", 503)
        self.actual = actual


class OriginFetcher:
    """Tries the sources in order, and skips one until the time in its Retry-After header."""

    __slots__ = ("_sources", "_busy_until")

    def __init__(self, sources: list[BlobSource]) -> None:
        self._sources = sources
        self._busy_until = [0.0] * len(sources)

    async def fetch(self, digest: str) -> bytes:
        """Returns verified content.

        Raises:
          CodedError: No source returned the content.
        """
        loop = asyncio.get_running_loop()
        failure = CodedError("source_missing", "no source is configured", 503)
        for place, source in enumerate(self._sources):
            if loop.time() < self._busy_until[place]:
                failure = CodedError("source_busy", "the source asked to retry later", 503)
                continue
            try:
                content = await source.fetch(digest)
            except CodedError as error:
                failure = error
                if error.retry_after is not None:
                    self._busy_until[place] = loop.time() + error.retry_after
                continue
            actual = digest_of(content)
            if actual == digest:
                return content
            failure = CorruptContentError(digest, actual)
        raise failure
