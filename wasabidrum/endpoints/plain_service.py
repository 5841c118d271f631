"""The interface to a plain service, some of whose calls must not be repeated."""

import typing

from .service_reply import ServiceReply


class PlainService(typing.Protocol):
    """A service beside a sidecar, called by HTTP method and path."""

    async def call(
        self, method: str, path: str, headers: dict[str, str], body: bytes, timeout: float
    ) -> ServiceReply:
        """Makes one call, without retries.

        Raises:
          CodedError: There is no complete answer. The outcome is NOT_RUN only if no byte
            reached the service, and UNKNOWN if the call may have run.
        """
