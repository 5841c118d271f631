"""The gRPC messages that entries exchange where the platform publishes routes.

New fields may only be appended; see peer_messages.
"""

import math
import zlib

import msgspec

from ..core.decoding import decoding
from ..core.errors import CodedError
from ..core.part_report import PartReport
from ..core.workspace_use import UseReport

MEET_PATH = "/wasabidrum.Entry/Meet"
CHANGES_PATH = "/wasabidrum.Entry/Changes"
SUSPECTS_PATH = "/wasabidrum.Entry/Suspects"
# What packed changes may become: a copy of the whole store.
MAX_UNPACKED_BYTES = 64 * 1_048_576


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """The requests per second that callers bring to an entry for a service with engines."""

    service: str
    per_second: float


class EntryAddress(msgspec.Struct, frozen=True, array_like=True):
    """The address at which an entry accepts calls of other entries.

    Attributes:
      age: Seconds since the entry was last heard from.
      data_centre: Its data centre; empty if the sender does not know it.
      link_mbit: The rate of its instance's link; zero if the sender does not know it.
      demands: What callers bring to it; empty if the sender does not know it.
      demands_age: Seconds since the entry told its demands.
    """

    host: str
    port: int
    age: float = 0.0
    data_centre: str = ""
    link_mbit: float = 0.0
    demands: tuple[ServiceDemand, ...] = ()
    demands_age: float = 0.0


class LimitStatement(msgspec.Struct, frozen=True, array_like=True):
    """A limit that an endpoint has stated.

    Attributes:
      started_at: When this run of the endpoint started, in Unix milliseconds; zero if unknown.
      limit: Requests a second from all entries together; None if it states no limit any more.
      age: Seconds since an entry heard it.
    """

    endpoint: str
    started_at: int
    limit: float | None
    age: float


class SuspectDeath(msgspec.Struct, frozen=True, array_like=True):
    """A request that was in progress when an endpoint died, and seconds since the death.

    Attributes:
      run: Identifies the run of the endpoint that ended; empty if the sender does not know it.
      regions: The only regions to whose entries it may be passed on; None for all.
    """

    fingerprint: str
    endpoint: str
    age: float
    run: str = ""
    regions: tuple[str, ...] | None = None


class Meet(msgspec.Struct, frozen=True, array_like=True):
    """The sender's own address, those of the entries that it knows, and what endpoints stated.

    The reply is a Meet with the same data of the responder.

    Attributes:
      limits: The latest statements of endpoints, whoever heard them.
      wants_deaths: Whether the sender has just started, and has met no entry yet that knows of
        earlier deaths.
      deaths: The latest deaths of endpoints, in a reply to such a sender; the latest last.
      parts: The prompt parts that are held back or blocked; in a reply also those of which the
        sender's state is older, and to a sender that has just started all that had crashes.
      informed: Whether the sender knows what was counted for parts before it started.
      brief: Whether the sender tells only of itself, and wants no more of the responder.
    """

    own: EntryAddress
    known: tuple[EntryAddress, ...] = ()
    limits: tuple[LimitStatement, ...] = ()
    wants_deaths: bool = False
    deaths: tuple[SuspectDeath, ...] = ()
    parts: tuple[PartReport, ...] = ()
    informed: bool = False
    brief: bool = False


class FetchChanges(msgspec.Struct, frozen=True, array_like=True):
    """Requests the changes in the platform's store after a revision; zero requests all items.

    Attributes:
      hold: For how many seconds the responder may hold the request until it knows more.
      accepts_packed: Whether the reply may hold its changes packed.
      epoch: The store's epoch that the revision belongs to; zero if the sender does not know it.
      version: The version of the configuration in force at the sender, zero for none; negative if
        it wants no other than that in the changes.
    """

    after: int
    hold: float = 0.0
    accepts_packed: bool = False
    epoch: int = 0
    version: int = -1


class PeerChange(msgspec.Struct, frozen=True, array_like=True):
    """An item of the store; the value is None if the item was deleted."""

    key: str
    revision: int
    value: bytes | None


class NamedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version of a model's weights, and what the sender knows of when it was named.

    Attributes:
      seconds: For how many seconds it has been wanted.
      unnamed_ago: Seconds since it certainly had not been named yet; infinite if unknown.
    """

    model: str
    version: int
    seconds: float
    unnamed_ago: float = float("inf")


class ChangesReply(msgspec.Struct, frozen=True, array_like=True):
    """The responder's copy of the store, or the changes in it.

    Attributes:
      revision: The store's revision that the copy reflects.
      age: Seconds since it queried the store and there was nothing newer.
      whole: Whether the changes are all items; an item that is not among them was deleted.
      named: The newest versions of models' weights.
      unanswered: For how many seconds its own calls of the store have been failing; zero if they
        are not.
      held: For how many seconds the responder held the request.
      waiting_for: For how many seconds the store has owed the responder an answer; infinite if it
        does not ask the store itself.
      failed_ago: Seconds since a call of the responder to the store last failed; infinite if none
        did. Only earlier releases read it.
      packed: The changes, compressed, where the field changes is empty for their size.
      answer_gaps: The spans in which no answered call to the store was sent, as far as the
        responder knows: the seconds since each started and ended.
      failures: The seconds since its last run of failed calls started and ended; None without one.
      epoch: The store's epoch that the revision belongs to. One that is later than the question's
        has all items; one that is earlier has no changes.
      configuration: The responder's configuration, compressed, if it is newer than the sender's and
        not among the changes; empty otherwise.
    """

    revision: int
    age: float
    whole: bool
    changes: tuple[PeerChange, ...] = ()
    named: tuple[NamedVersion, ...] = ()
    unanswered: float = 0.0
    held: float = 0.0
    waiting_for: float = float("inf")
    failed_ago: float = float("inf")
    packed: bytes = b""
    answer_gaps: tuple[tuple[float, float], ...] = ((math.inf, -math.inf),)
    failures: tuple[float, float] | None = None
    epoch: int = 0
    configuration: bytes = b""


def pack_changes(changes: tuple[PeerChange, ...]) -> bytes:
    """Returns changes in compressed form."""
    return pack_bytes(msgspec.msgpack.encode(changes))


def unpack_changes(packed: bytes) -> tuple[PeerChange, ...]:
    """Returns changes from their compressed form.

    Raises:
      CodedError: The bytes are not valid.
    """
    with decoding("peer_unreadable", 502):
        return msgspec.msgpack.decode(unpack_bytes(packed), type=tuple[PeerChange, ...])


def pack_bytes(content: bytes) -> bytes:
    """Returns bytes in compressed form."""
    return zlib.compress(content, level=1)


def unpack_bytes(packed: bytes) -> bytes:
    """Returns bytes from their compressed form.

    Raises:
      CodedError: The compressed form is not valid, or they are too many.
    """
    inflating = zlib.decompressobj()
    try:
        content = inflating.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise CodedError("peer_unreadable", f"packed bytes: {error}", 502) from error
    if not inflating.eof:
        raise CodedError("peer_unreadable", "packed bytes are cut or too large", 502)
    return content


class SuspectsReport(msgspec.Struct, frozen=True, array_like=True):
    """Reports the fingerprints of the requests that were in progress when an endpoint died.

    Attributes:
      endpoint: Empty if only parts are reported.
      parts: The new states of prompt parts.
      run: Identifies the run of the endpoint that ended; empty if the sender does not know it.
      regions: The only regions to whose entries the fingerprints may be passed on; None for all.
      data_centre: That of the sender.
    """

    endpoint: str
    fingerprints: tuple[str, ...]
    parts: tuple[PartReport, ...] = ()
    run: str = ""
    regions: tuple[str, ...] | None = None
    data_centre: str = ""


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Acknowledges a message.

    Attributes:
      parts: The prompt parts in the message of which the responder knows a newer state.
    """

    parts: tuple[PartReport, ...] = ()


def write_use_report(report: UseReport) -> bytes:
    """Returns the datagram that holds a report of use."""
    return msgspec.msgpack.encode(report)


def read_use_report(content: bytes) -> UseReport:
    """Returns the report of use in a datagram.

    Raises:
      CodedError: The bytes are not valid.
    """
    with decoding("report_unreadable"):
        return msgspec.msgpack.decode(content, type=UseReport)
