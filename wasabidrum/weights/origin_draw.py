"""Draws content from the weight store, or from the origin where the store does not give it."""

import asyncio

from ..core.digest import digest_of
from ..core.errors import CodedError
from ..platform.blob_source import BlobSource


class OriginDraw:
    """Asks the sources in their order, and leaves alone one that said when to come back."""

    __slots__ = ("_sources", "_busy_until")

    def __init__(self, sources: list[BlobSource]) -> None:
        self._sources = sources
        self._busy_until = [0.0] * len(sources)

    async def draw(self, digest: str) -> bytes:
        """Returns verified content.

        Raises:
          CodedError: No source gave it.
        """
        loop = asyncio.get_running_loop()
        failure = CodedError("source_missing", "no source is set", 503)
        for place, source in enumerate(self._sources):
            if loop.time() < self._busy_until[place]:
                failure = CodedError("source_busy", "asked to come back later", 503)
                continue
            try:
                content = await source.fetch(digest)
            except CodedError as error:
                failure = error
                if error.retry_after is not None:
                    self._busy_until[place] = loop.time() + error.retry_after
                continue
            if digest_of(content) == digest:
                return content
            failure = CodedError("chunk_corrupt", f"{digest} came with other bytes", 503)
        raise failure
