"""The seam to a model engine: orders, weights, generation, load."""

import collections.abc
import typing

from ..core.load import Load
from ..core.manifest import Manifest
from .generate_request import GenerateRequest


class ModelEngine(typing.Protocol):
    """A model engine beside a sidecar. Every method may raise CodedError."""

    async def versions(self) -> tuple[str, str]:
        """Returns the version in force and the version being staged, each maybe empty."""

    async def stage(self, version: str, manifest: Manifest, fence: int) -> list[int]:
        """Starts to stage a version and returns the indices of the chunks it lacks.

        An engine keeps the chunks that the new version shares with the one in force, so
        those need not travel. Staging another version drops the one staged before.
        """

    async def put_chunk(self, version: str, index: int, content: bytes) -> None:
        """Hands over one verified chunk of the version being staged."""

    async def activate(self, version: str, fence: int) -> None:
        """Switches to a completely staged version in one step.

        Requests in progress end under the version that they began with.
        """

    async def load_adapter(self, name: str, root: str, content: bytes, fence: int) -> None:
        """Loads an adapter, complete and verified, under its name.

        An adapter is small, so it is handed over whole; one of the same name is replaced
        in one step.
        """

    async def set_role(self, role: str, fence: int) -> None:
        """Changes what the engine does: "mixed", "prefill" or "decode"."""

    def generate(self, request: GenerateRequest) -> collections.abc.AsyncIterator[bytes]:
        """Yields newline-delimited JSON events until the answer is whole."""

    async def cancel(self, request_id: str) -> None:
        """Frees the slot of a request that its caller gave up."""

    async def load(self) -> Load:
        """Returns the engine's load, which it reports late."""
