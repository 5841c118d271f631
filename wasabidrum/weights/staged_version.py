"""Brings a version's pieces into an engine's staging area, and proves that they lie there whole."""

import asyncio

from ..core.digest import digest_of
from ..core.engine_report import PieceList
from ..core.manifest import manifest_of, root_of
from ..decisions.chunk_plan import ChunkPlan
from ..platform.engine_client import EngineClient, pieces_of_layer
from .distributor import Distributor
from .version_download import VersionDownload


class StagedVersion:
    """One version on its way into one staging area.

    Attributes:
      root: What names the version's content, the same at every sidecar.
      progressed_at: When a piece came that had not been here before, by the event loop's clock.
    """

    __slots__ = ("_engine", "_distributor", "_pieces", "_manifest", "_here")
    __slots__ += ("root", "progressed_at")

    def __init__(self, engine: EngineClient, distributor: Distributor, pieces: PieceList) -> None:
        self._engine = engine
        self._distributor = distributor
        self._pieces = pieces
        self._manifest = manifest_of(pieces)
        self.root = root_of(self._manifest)
        self._here: set[int] = set()
        self.progressed_at = 0.0

    @property
    def version(self) -> int:
        """The version's number."""
        return self._pieces.version

    @property
    def share(self) -> float:
        """The share of the pieces that have come."""
        return len(self._here) / max(1, len(self._pieces.digests))

    async def adopt(self) -> int:
        """Takes sound pieces that lie in the staging area already; returns how many.

        An engine that is there at the start has its version staged. Its sidecar can give the
        pieces to others that need them, which spares the origin's link a copy.
        """
        held = await self._engine.staged(self._pieces.model)
        adopted = 0
        for number in held:
            if number >= len(self._pieces.digests):
                continue
            content = await self._engine.read_piece(self._pieces.model, number)
            if content is not None and digest_of(content) == self._pieces.digests[number]:
                self._distributor.store.add(self._pieces.digests[number], content)
                self._here.add(number)
                adopted += 1
        return adopted

    async def bring(
        self, region_of: dict[str, str], relays: dict[str, str], origin_region: str
    ) -> None:
        """Brings every piece that is missing here, and stages all.

        Args:
          region_of: The regions of the sidecars that want the version, by name.
          relays: The regions of the relays, by name.
          origin_region: Where the origin stands; empty where that is not known.
        """
        pieces = self._pieces
        # Relays of the origin's region draw a copy as fast as it leaves the origin. Sidecars have
        # narrow links: drawn in one region only, a copy would take twice as long to leave it.
        drawing = origin_region if relays else ""
        plan = ChunkPlan(self.root, pieces.digests, region_of, drawing, relays)
        self._distributor.share_link(plan)
        self._distributor.store.want(frozenset(pieces.digests))
        every = list(range(len(pieces.digests)))
        await VersionDownload(self._distributor, plan, self._manifest, every, self._put).run()

    def complete_layer(self, layers: int) -> int | None:
        """Returns a layer of which every piece is here, or None."""
        for layer in range(layers):
            if self._here.issuperset(self.pieces_of(layer, layers)):
                return layer
        return None

    def pieces_of(self, layer: int, layers: int) -> range:
        """Returns the numbers of the pieces that hold a layer."""
        return pieces_of_layer(layer, layers, len(self._pieces.digests))

    async def verify(self, numbers: range | None = None) -> int:
        """Reads pieces back and puts anew what is missing or has changed; returns how many.

        What lies in the staging area can turn bad there. An engine takes it as it is, and
        would answer from spoilt weights; so it is read back just before the order.

        Args:
          numbers: Which pieces; all where not given.
        """
        held = set(await self._engine.staged(self._pieces.model))
        mended = 0
        digests = self._pieces.digests
        for number in range(len(digests)) if numbers is None else numbers:
            digest = digests[number]
            content = None
            if number in held:
                content = await self._engine.read_piece(self._pieces.model, number)
            if content is None or digest_of(content) != digest:
                sound = self._distributor.store.get(digest)
                if sound is None:
                    return -1
                await self._put(number, sound)
                mended += 1
            await asyncio.sleep(0)
        return mended

    async def _put(self, number: int, content: bytes) -> None:
        await self._engine.put_piece(self._pieces.model, number, content)
        if number not in self._here:
            self._here.add(number)
            self.progressed_at = asyncio.get_running_loop().time()
