"""Decides which list of a version's pieces is right, once a piece does not match its digest.

Load pattern: the origin's answers may be spoiled at any time, the list of pieces like the pieces
themselves. Nothing else states what a version consists of, and two readings of the list may have
the same fault. A wrong digest has no content, so that the piece is drawn again and again in vain,
at every process that was passed the list. A digest of the list that matches content from the
origin can't be wrong, as neither of them can have been spoiled to match the other. So a digest is
replaced only by one that another reading of the list states and that the content has.
"""

import collections.abc

import msgspec

from ..core.engine_report import PieceList


def correct_list(
    known: PieceList,
    read: PieceList,
    digest: str,
    actual: str,
    is_proven: collections.abc.Callable[[str], bool],
) -> PieceList | None:
    """Returns the list to go on with, or None to keep the known one.

    Args:
      known: The list that was followed.
      read: The same version's list, read again.
      digest: The digest in the known list of a piece whose content did not match it.
      actual: The digest of that content.
      is_proven: Whether content with a digest is held, which proves that digest.
    """
    if len(read.digests) != len(known.digests):
        return None
    pairs = list(zip(known.digests, read.digests, strict=True))
    if (digest, actual) not in pairs:
        return None
    digests = tuple(old if is_proven(old) else new for old, new in pairs)
    return msgspec.structs.replace(known, digests=digests, corrections=known.corrections + 1)
