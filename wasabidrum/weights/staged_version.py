"""Stages the pieces of a version in an engine's staging area and verifies them there."""

import asyncio

from ..core.digest import digest_of
from ..core.engine_report import PieceList
from ..core.manifest import manifest_of
from ..decisions.chunk_plan import ChunkPlan
from ..platform.engine_client import EngineClient, pieces_of_layer
from .distributor import Distributor
from .version_download import VersionDownload


class StagedVersion:
    """One version that is being staged for one engine.

    Attributes:
      progressed_at: When a new piece last arrived, by the event loop's clock.
    """

    __slots__ = ("_engine", "_distributor", "_pieces", "_manifest", "_staged", "_area")
    __slots__ += ("progressed_at",)

    def __init__(
        self,
        engine: EngineClient,
        distributor: Distributor,
        pieces: PieceList,
        area: asyncio.Lock,
    ) -> None:
        """Creates a version of which nothing is known to be staged.

        Args:
          area: Held while pieces are written, and from the verification of pieces until the engine
            was ordered to load them. The versions of a model share one staging area.
        """
        self._engine = engine
        self._area = area
        self._distributor = distributor
        self._pieces = pieces
        self._manifest = manifest_of(pieces)
        self._staged: set[int] = set()
        self.progressed_at = 0.0

    @property
    def version(self) -> int:
        """The version number."""
        return self._pieces.version

    @property
    def pieces(self) -> PieceList:
        """The list of the pieces."""
        return self._pieces

    @property
    def byte_count(self) -> int:
        """The size of all pieces in bytes."""
        return self._pieces.piece_bytes * len(self._pieces.digests)

    @property
    def share(self) -> float:
        """The fraction of the pieces that are staged."""
        return len(self._staged) / max(1, len(self._pieces.digests))

    async def adopt(self) -> int:
        """Registers intact pieces that are already in the staging area; returns their number.

        An engine that was running before this process has its version staged. Serving these
        pieces to peers saves the origin's link one copy.
        """
        held = await self._engine.staged(self._pieces.model)
        adopted = 0
        for number in held:
            if number >= len(self._pieces.digests):
                continue
            content = await self._engine.read_piece(self._pieces.model, number)
            if content is not None and digest_of(content) == self._pieces.digests[number]:
                self._distributor.store.add(self._pieces.digests[number], content)
                self._staged.add(number)
                adopted += 1
        return adopted

    async def fetch_missing(
        self,
        region_of: dict[str, str],
        relays: dict[str, str],
        relay_links: dict[str, float],
        origin_region: str,
    ) -> int:
        """Fetches every missing piece and stages them all; returns how many were not staged yet.

        Args:
          region_of: The regions of the sidecars that want the version, by name.
          relays: The regions of the relays, by name.
          relay_links: The rates of their links in megabits per second, as far as known.
          origin_region: The region of the origin; empty if unknown.
        """
        pieces = self._pieces
        # Relays in the origin's region fetch a copy as fast as the origin can send it. Sidecars
        # have narrow links: if one region fetched the copy alone, it would take twice as long to
        # leave that region.
        fetching_region = origin_region if relays else ""
        plan = ChunkPlan(
            pieces.order_subject,
            pieces.digests,
            region_of,
            fetching_region,
            relays,
            relay_links,
            self._distributor.link_mbit,
        )
        self._distributor.share_link(plan)
        self._distributor.store.set_wanted(frozenset(pieces.digests))
        every_index = list(range(len(pieces.digests)))
        missing = len(every_index) - len(self._staged)
        await VersionDownload(
            self._distributor, plan, self._manifest, every_index, self._put
        ).run_in_own_task()
        return missing

    def complete_layer(self, layers: int) -> int | None:
        """Returns the first layer whose pieces are all staged, or None."""
        for layer in range(layers):
            if self._staged.issuperset(self.pieces_of(layer, layers)):
                return layer
        return None

    def pieces_of(self, layer: int, layers: int) -> range:
        """Returns the numbers of the pieces that contain a layer."""
        return pieces_of_layer(layer, layers, len(self._pieces.digests))

    async def verify(self, numbers: range | None = None) -> int:
        """Reads staged pieces back and rewrites those that are missing or corrupt.

        Pieces can become corrupt in the staging area. The engine does not check them and would
        serve from corrupt weights, so they are read back just before the load command. The caller
        holds the staging area until then.

        Args:
          numbers: The pieces to verify; None for all.

        Returns:
          The number of pieces rewritten, or -1 if the store does not hold a piece that needs it.
        """
        held = set(await self._engine.staged(self._pieces.model))
        rewritten = 0
        digests = self._pieces.digests
        for number in range(len(digests)) if numbers is None else numbers:
            digest = digests[number]
            content = None
            if number in held:
                content = await self._engine.read_piece(self._pieces.model, number)
            if content is None or digest_of(content) != digest:
                intact = self._distributor.store.get(digest)
                if intact is None:
                    return -1
                await self._write(number, intact)
                rewritten += 1
            await asyncio.sleep(0)
        return rewritten

    async def _put(self, number: int, content: bytes) -> None:
        async with self._area:
            await self._write(number, content)

    async def _write(self, number: int, content: bytes) -> None:
        await self._engine.put_piece(self._pieces.model, number, content)
        if number not in self._staged:
            self._staged.add(number)
            self.progressed_at = asyncio.get_running_loop().time()
