"""Interface to the weight store and the origin, which differ only in their rate limits."""

import typing


class BlobSource(typing.Protocol):
    """Serves content by its digest, at a limited rate."""

    async def fetch(self, digest: str) -> bytes:
        """Returns the content with a digest; the caller verifies it.

        Raises:
          CodedError: With code "source_busy" and a retry_after where the source refuses
            because of its rate limit, "source_missing" where it has no such content,
            "source_unreachable" otherwise.
        """
