"""What a daemon tells of its links and its control traffic."""

import msgspec

from .message_codec import MessageCounts


class ControlReport(msgspec.Struct, frozen=True):
    """How a daemon stands among the others.

    Attributes:
      revision: The revision in force here.
      highest_heard: The highest revision that anyone claimed; above revision, it is on its
        way or was refused.
      readers: Who reads the service for this daemon's data centre.
      parents: Whom this daemon hears from, by its plan.
      linked: Whom it does hear from now.
      watchers: How many hear from it.
      suspected: Members that are silent; dead: those held to be gone.
      list_implausible: Whether the platform's list lost too many at once.
      isolated: Whether this daemon may be the one that is cut off.
      traffic: Messages and bytes since the start.
    """

    revision: int
    highest_heard: int
    reads_service: bool
    readers: tuple[str, ...]
    parents: tuple[str, ...]
    linked: tuple[str, ...]
    watchers: int
    members: int
    suspected: tuple[str, ...]
    dead: tuple[str, ...]
    list_implausible: bool
    isolated: bool
    recently_verified: bool
    traffic: MessageCounts
