"""Shares what one process of a region has read from the platform with its peers there.

Load pattern: a version is named, or a power outage ends, and every sidecar reads the same data
at the same moment: the configuration (some hundred kilobytes with a thousand routes), the members,
and the version's piece list. Forty sidecars that share a link of 15 Mbit/s need ten seconds for the
configuration alone; reads time out and restart, and the link stays saturated meanwhile. The
origin's link carries the list forty times before the first piece.

Only the first process of a region reads, in an order that all compute alike; the others ask it,
then the second. A process that gets no answer reads for itself, so that there is no single point
of failure. Relays come first in that order, because they always know the current members.
"""

import asyncio
import collections.abc

import msgspec
from tornado import httpclient, web

from ..core.decoding import decode_json
from ..core.engine_report import PieceList
from ..core.errors import CodedError
from ..decisions.chunk_plan import rank_names
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.member_view import MemberView
from ..wire import http_client

PATH = "/internal/readings/"
# Number of peers that are asked before a process reads for itself.
MAX_PEERS_QUERIED = 2
CONNECT_SECONDS = 0.3
SETTING_SECONDS = 2.0
VERSION_SECONDS = 0.6
# How long a peer holds a request while it is still reading the data itself.
MAX_HOLD_SECONDS = 1.5
# How long members count as current. All sidecars read a named version within a second; later,
# the members may have changed.
MEMBERS_VALID_SECONDS = 2.0
STATUS_MISSING = 404
# A list of a version's pieces has some kilobytes, and so have a thousand members.
MAX_READING_BYTES = 8 * 1_048_576
# The path name of the latest version that a peer knows.
LATEST = "0"
MEMBERS = "members"
# The code of an error about a list that is not of the pieces published for its model.
LIST_INVALID = "list_invalid"


class EngineSetting(msgspec.Struct, frozen=True):
    """The part of the configuration that a sidecar needs: its engine's model, and the origin.

    Attributes:
      origin_data_centre: Empty if it is not published.
      piece_count: The number of pieces of each version; zero if it is not published.
      piece_bytes: The size of each piece; zero if it is not published.
    """

    model: str
    layers: int
    origin_host: str
    origin_port: int
    origin_data_centre: str = ""
    piece_count: int = 0
    piece_bytes: int = 0


class ListedMember(msgspec.Struct, frozen=True):
    """A sidecar, as the platform lists its engine.

    Attributes:
      leaving: Whether the engine takes no new work, and so needs no more weights.
      weights: The version that the engine serves; zero for none.
    """

    host: str
    data_centre: str
    leaving: bool = False
    weights: int = 0


class VersionReading(msgspec.Struct, frozen=True):
    """The data read when a version is named: its piece list and the members.

    Attributes:
      members: Empty if they were read too long ago.
      named_for: Seconds since the version was learned to be named.
    """

    pieces: PieceList
    members: tuple[ListedMember, ...] = ()
    named_for: float = 0.0


class MembersReading(msgspec.Struct, frozen=True):
    """The current members, from a process that always knows them.

    Attributes:
      version: The version whose list of pieces it follows; zero if none.
      corrections: How often it has corrected that list.
    """

    members: tuple[ListedMember, ...]
    version: int = 0
    corrections: int = 0


class SharedReadings:
    """Requests readings from peers, and keeps this process's own readings for its peers.

    Attributes:
      setting: The engine setting, or None before it is known.
      version: The latest version reading, or None.
      list_members: Returns the current members; None if they are known only from readings.
      named_for: Returns the seconds since the latest version was learned to be published.
    """

    __slots__ = ("_client", "_log", "_changed", "_read_at", "setting", "version", "list_members")
    __slots__ += ("named_for",)

    def __init__(self, client: httpclient.AsyncHTTPClient, log: EventLog) -> None:
        self._client = client
        self._log = log
        self._changed = asyncio.Condition()
        self._read_at = 0.0
        self.setting: EngineSetting | None = None
        self.version: VersionReading | None = None
        self.list_members: collections.abc.Callable[[], tuple[ListedMember, ...]] | None = None
        self.named_for: collections.abc.Callable[[], float] = lambda: 0.0

    async def keep_setting(self, setting: EngineSetting) -> None:
        """Stores the setting and wakes the requests that wait for it."""
        async with self._changed:
            self.setting = setting
            self._changed.notify_all()

    async def keep_version(self, reading: VersionReading) -> None:
        """Stores the reading and wakes the requests that wait for it."""
        async with self._changed:
            self.version = reading
            self._read_at = asyncio.get_running_loop().time()
            self._changed.notify_all()

    async def find(self, name: str) -> EngineSetting | VersionReading | MembersReading | None:
        """Returns a reading by its path name, or None if it is not available in time."""
        if name == MEMBERS:
            return self._members_reading()
        try:
            async with asyncio.timeout(MAX_HOLD_SECONDS), self._changed:
                await self._changed.wait_for(lambda: self._is_settled(name))
        except TimeoutError:
            return None
        if name == "setting":
            return self.setting
        if name not in (LATEST, str(self.version.pieces.version)):
            return None
        return VersionReading(self.version.pieces, self._fresh_members(), self.named_for())

    def _members_reading(self) -> MembersReading | None:
        if self.list_members is None:
            return None
        if self.version is None:
            return MembersReading(self.list_members())
        pieces = self.version.pieces
        return MembersReading(self.list_members(), pieces.version, pieces.corrections)

    def _fresh_members(self) -> tuple[ListedMember, ...]:
        if self.list_members is not None:
            return self.list_members()
        fresh = asyncio.get_running_loop().time() - self._read_at <= MEMBERS_VALID_SECONDS
        return self.version.members if fresh else ()

    def _is_settled(self, name: str) -> bool:
        """Returns whether a reading is available, or known not to become available."""
        if name == "setting":
            return self.setting is not None
        # Versions older than the latest reading are not read any more.
        return self.version is not None and self.version.pieces.version >= int(name)

    async def request_setting(self, peers: list[MemberView]) -> EngineSetting | None:
        """Returns the engine setting from the first peer that has it, or None."""
        return await self._request(peers, "setting", EngineSetting, SETTING_SECONDS)

    async def request_version(self, peers: list[MemberView], version: int) -> VersionReading | None:
        """Returns a version reading from the first peer that has it, or None.

        Args:
          version: Zero for the latest that a peer knows, if no version has been published.
        """
        return await self._request(peers, str(version), VersionReading, VERSION_SECONDS)

    async def request_members(self, peers: list[MemberView]) -> MembersReading | None:
        """Returns the members from the first peer that always knows them, or None."""
        return await self._request(peers, MEMBERS, MembersReading, VERSION_SECONDS)

    async def _request(self, peers: list[MemberView], name: str, kind: type, seconds: float):
        for peer in peers:
            request = httpclient.HTTPRequest(
                f"{peer.url}{PATH}{name}",
                connect_timeout=CONNECT_SECONDS,
                request_timeout=seconds,
            )
            try:
                response = await http_client.fetch(
                    self._client, request, "reading", MAX_READING_BYTES
                )
                if response.code == STATUS_MISSING:
                    continue
                reading = decode_json(response.body, kind, "reading_unreadable")
                if kind is VersionReading and self.setting is not None:
                    check_list(reading.pieces, self.setting)
                return reading
            except CodedError as error:
                self._log.write(Event.PEER_SILENT, peer=peer.name, reason=str(error)[:120])
        return None


class ReadingsHandler(web.RequestHandler):
    """GET /internal/readings/NAME: the engine setting, or a version's piece list and members."""

    def initialize(self, readings: SharedReadings) -> None:
        """Stores the readings passed by the route."""
        self._readings = readings

    async def get(self, name: str) -> None:
        """Responds with the reading, or 404 if it is not available."""
        reading = await self._readings.find(name)
        if reading is None:
            self.set_status(STATUS_MISSING)
            return
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(reading))


def check_list(pieces: PieceList, setting: EngineSetting) -> None:
    """Checks a list of pieces against what is published of all versions.

    Raises:
      CodedError: It is not a list of the pieces of a version of this model.
    """
    count, size = len(pieces.digests), pieces.piece_bytes
    if (
        pieces.model != setting.model
        or pieces.version < 1
        or count != (setting.piece_count or count)
        or size != (setting.piece_bytes or size)
    ):
        raise CodedError(
            LIST_INVALID,
            f"a list of {count} pieces of {size} bytes of version {pieces.version}",
            503,
        )


def readers_before(
    subject: str,
    own: str,
    region: str,
    members: collections.abc.Iterable[MemberView],
    relays: collections.abc.Collection[str] = (),
) -> list[MemberView]:
    """Returns the peers that a process asks before it reads for itself; empty if it is the first.

    Args:
      subject: The data to be read; determines the order, so that the load is spread.
      own: The name of this process.
      region: The region of this process.
      relays: The names of the relays, which come first.
    """
    near = {member.name: member for member in members if member.instance.region == region}
    first = [name for name in {*near, own} if name in relays]
    others = [name for name in {*near, own} if name not in relays]
    ranked = rank_names(subject, first) + rank_names(subject, others)
    before = ranked[: ranked.index(own)]
    return [near[name] for name in before[:MAX_PEERS_QUERIED]]
