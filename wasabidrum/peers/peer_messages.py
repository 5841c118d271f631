"""The gRPC messages that daemons exchange.

New fields may only be appended: fields are encoded by position, which keeps a heartbeat within
about thirty bytes, and an older process ignores trailing fields that it does not know.
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
    """One message on a Watch stream, in either direction; a heartbeat if all fields are defaults.

    Attributes:
      sequence: The sender's count of its own statuses.
      gossip: Set by the watcher in its first message: whether both ends push, or only the
        watched one, as when an entry watches an endpoint.
      status: The sender's full status, if more than the load or the revision changed.
      load: Running, waiting, slots, tokens per second and pace, if they changed.
      uptime: How long the sender has run, in seconds.
      list_as_of: The creation time of the instance list that the sender holds.
      list_digest: The digest of that list, if it changed.
      news: Member updates that the sender received or made, oldest first.
      revision: The revision in force at the sender, if it changed.
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
    """Requests the value with a digest; without a digest, only the revision in force."""

    digest: str = ""


class ConfigurationReply(msgspec.Struct, frozen=True, array_like=True):
    """The revision in force at the responder, with its compressed value if that was requested."""

    revision: int
    digest: str
    compressed: bytes = b""


class FetchList(msgspec.Struct, frozen=True, array_like=True):
    """Requests the instance list; the digest identifies the list that the requester holds."""

    digest: str = ""


class ListReply(msgspec.Struct, frozen=True, array_like=True):
    """The responder's instance list, or its changes since the requester's list.

    Attributes:
      as_of: The creation time of the list.
      base_digest: If not empty, the digest of the list that instances and removed are relative
        to.
    """

    as_of: float
    digest: str
    base_digest: str = ""
    instances: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()
