"""A daemon's report on its links, its view of the members and its control traffic."""

import msgspec

from .message_codec import MessageCounts


class ControlReport(msgspec.Struct, frozen=True):
    """A daemon's control state.

    Attributes:
      revision: The revision in force here.
      highest_heard: The highest revision that any source claimed; one above revision is still
        being fetched or was refused.
      reads_service: Whether this daemon reads the configuration service now.
      readers: The members that read the service for this daemon's data centre.
      parents: The members that this daemon has to watch, by its plan.
      linked: The members from which it receives pushes now.
      watchers: How many members watch this daemon.
      members: The number of known members.
      suspected: Members suspected to be dead.
      dead: Members declared dead.
      list_implausible: Whether too many members disappeared from the platform's list at once.
      isolated: Whether this daemon may be cut off from the others.
      recently_verified: Whether the revision was confirmed since this process's last pause.
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
