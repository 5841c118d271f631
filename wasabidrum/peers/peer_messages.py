"""What the system's own processes say to each other over gRPC.

Fields may be added at the end only: both ends decode by position, so that a beat stays
within some thirty bytes, and an older process ignores what it does not know.
"""

import msgspec

from ..core.instance import Instance
from ..core.status import Status
from ..decisions.member_update import MemberUpdate

SERVICE_PATH = "/wasabidrum.Peer"
WATCH_PATH = f"{SERVICE_PATH}/Watch"
FETCH_CONFIGURATION_PATH = f"{SERVICE_PATH}/FetchConfiguration"
FETCH_LIST_PATH = f"{SERVICE_PATH}/FetchList"


class Push(msgspec.Struct, frozen=True, array_like=True):
    """One message on a Watch stream, the same both ways; with all defaults, a bare beat.

    Attributes:
      sequence: The sender's count of its own statuses.
      gossip: Told by the watcher in its first message: whether both ends push, or only
        the watched one, as towards an entry that watches an endpoint.
      status: The sender's account of itself, where more than the load changed.
      load: Running, waiting, slots, tokens a second and pace, where they changed.
      uptime: How long the sender has run, in seconds.
      list_as_of: When the instance list that the sender holds was made.
      list_digest: The digest of that list, where it changed.
      news: What the sender heard of third parties, oldest first.
      revision: The revision in force at the sender, where it changed.
      config_digest: The digest of that revision's value.
    """

    sequence: int = 0
    gossip: bool = False
    status: Status | None = None
    load: tuple[int, int, int, float, float] | None = None
    uptime: float = 0.0
    list_as_of: float = 0.0
    list_digest: str = ""
    news: tuple[MemberUpdate, ...] = ()
    revision: int = 0
    config_digest: str = ""


class FetchConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the value with a digest; with no digest, only which revision is in force."""

    digest: str = ""


class ConfigurationReply(msgspec.Struct, frozen=True, array_like=True):
    """What is in force at the asked process, and its compressed value where it was asked for."""

    revision: int
    digest: str
    compressed: bytes = b""


class FetchList(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the instance list; the digest says which one the asker holds."""

    digest: str = ""


class ListReply(msgspec.Struct, frozen=True, array_like=True):
    """The list that the asked process holds, or only its digest where the asker has it.

    Attributes:
      base_digest: Where not empty, instances and removed are the changes since that list.
    """

    as_of: float
    digest: str
    base_digest: str = ""
    instances: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()
