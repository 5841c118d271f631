"""The interface to a model engine: orders, weights, generation and load."""

import collections.abc
import typing

from ..core.load import Load
from ..core.manifest import Manifest
from .generate_request import GenerateRequest


class ModelEngine(typing.Protocol):
    """A model engine beside a sidecar. Every method may raise CodedError.

    A fence is a fencing token: the engine refuses an order with an outdated one.
    """

    async def versions(self) -> tuple[str, str]:
        """Returns the version in force and the version being staged; each may be empty."""

    async def stage(self, version: str, manifest: Manifest, fence: int) -> list[int]:
        """Starts to stage a version and returns the indices of its missing chunks.

        The engine reuses the chunks that the new version shares with the one in force, so these
        need not be sent. Staging another version drops the one staged before.
        """

    async def put_chunk(self, version: str, index: int, content: bytes) -> None:
        """Uploads one verified chunk of the version being staged."""

    async def activate(self, version: str, fence: int) -> None:
        """Switches atomically to a completely staged version.

        Requests in progress finish with the version that they started with.
        """

    async def load_adapter(self, name: str, root: str, content: bytes, fence: int) -> None:
        """Loads a complete and verified adapter under its name.

        An adapter is small, so it is uploaded in one request. It replaces one of the same name
        atomically.
        """

    async def set_role(self, role: str, fence: int) -> None:
        """Sets the engine's role: "mixed", "prefill" or "decode"."""

    def generate(self, request: GenerateRequest) -> collections.abc.AsyncIterator[bytes]:
        """Yields newline-delimited JSON events until the answer is complete.

        Raises:
          CodedError: There is no complete answer. With "engine_refused", its retry_after tells for
            how long the engine wants no more requests, where it says so.
        """

    async def cancel(self, request_id: str) -> None:
        """Cancels a request that its caller abandoned, which frees its slot."""

    async def load(self) -> Load:
        """Returns the engine's load, which the engine reports with a delay."""
