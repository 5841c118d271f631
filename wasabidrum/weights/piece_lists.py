"""Reads the lists of versions' pieces from the origin, and corrects them by its pieces."""

import asyncio
import collections.abc

from ..core.engine_report import PieceList
from ..core.errors import CodedError
from ..decisions.piece_list_correction import correct_list
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..platform.origin_client import OriginClient
from .shared_readings import EngineSetting, check_list


class PieceLists:
    """The lists of one model's versions, as the origin states them."""

    __slots__ = ("_origin", "_log", "_correcting")

    def __init__(self, origin: OriginClient, log: EventLog) -> None:
        self._origin = origin
        self._log = log
        self._correcting = asyncio.Lock()

    async def read(self, setting: EngineSetting, version: int) -> PieceList:
        """Returns the list of a version's pieces; version zero means the newest.

        Raises:
          CodedError: The origin did not answer with a list of that version.
        """
        pieces = await self._origin.read_list(setting.model, version)
        check_list(pieces, setting)
        self._origin.add_list(pieces)
        return pieces

    async def correct(
        self,
        find_known: collections.abc.Callable[[], PieceList | None],
        setting: EngineSetting,
        digest: str,
        actual: str,
        is_proven: collections.abc.Callable[[str], bool],
    ) -> PieceList | None:
        """Reads a list again after a piece from the origin did not match its digest.

        Args:
          find_known: Returns the list that is followed now; another piece may have led to its
            correction meanwhile.
          digest: The digest of the piece in that list.
          actual: The digest of what the origin sent.
          is_proven: Whether content with a digest is held.

        Returns:
          The corrected list, or None where the known one is to be kept.
        """
        async with self._correcting:
            known = find_known()
            if known is None or digest not in known.digests:
                return None
            try:
                read = await self.read(setting, known.version)
            except CodedError as error:
                self._log.write(
                    Event.VERSION_FAILED,
                    version=known.version,
                    reason=f"list not read again: {error}"[:300],
                )
                return None
            corrected = correct_list(known, read, digest, actual, is_proven)
            self._log.write(
                Event.LIST_READ_AGAIN,
                version=known.version,
                chunk=digest,
                content=actual,
                listed_anew=actual in read.digests,
                corrections=(corrected or known).corrections,
            )
            if corrected is not None:
                self._origin.add_list(corrected)
            return corrected


def make_piece_lists(origin: OriginClient, log: EventLog) -> PieceLists:
    """Returns the reader of an origin's lists."""
    return PieceLists(origin, log)
