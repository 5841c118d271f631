"""What one sidecar of a region reads from the platform, and hands to the others there.

Load pattern: a version is named, or an outage of power ends, and every sidecar reads the same at
the same moment: the configuration (some hundred kilobytes with a thousand routes), who else
there is, and the list of the version's pieces. Forty sidecars that share a link of 15 Mbit/s
take ten seconds for the configuration alone; reads time out, begin anew, and the link stays full
for as long as that lasts. The origin's link carries the list forty times before any piece.

The first of a region in an order that all agree on reads; the others ask it, then the second.
Who gets no answer reads for itself, so that nothing hangs on one process. Relays come first in that
order; they know at any time who else there is.
"""

import asyncio
import collections.abc

import msgspec
from tornado import httpclient, web

from ..core.engine_report import PieceList
from ..core.errors import CodedError
from ..decisions.chunk_plan import rank_names
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.member_view import MemberView
from ..wire import http_client

PATH = "/internal/readings/"
# Peers that are asked before a sidecar reads for itself.
MOST_ASKED = 2
CONNECT_SECONDS = 0.3
SETTING_SECONDS = 2.0
VERSION_SECONDS = 0.6
# How long a peer keeps the question while it reads itself.
HELD_SECONDS = 1.5
# A version is named and read by all within a second; later, others have come and gone.
FRESH_SECONDS = 2.0
STATUS_MISSING = 404
# The name in a path of whichever version a peer knows as the latest.
LATEST = "0"


class EngineSetting(msgspec.Struct, frozen=True):
    """What a sidecar needs of the configuration: its engine's model, and the origin's place.

    Attributes:
      origin_data_centre: Empty where it is not published.
    """

    model: str
    layers: int
    origin_host: str
    origin_port: int
    origin_data_centre: str = ""


class ListedMember(msgspec.Struct, frozen=True):
    """A sidecar, as the platform lists the engine beside it.

    Attributes:
      leaving: The engine takes no new work, and needs no weights any more.
      weights: The version that the engine answers with; zero for none.
    """

    host: str
    data_centre: str
    leaving: bool = False
    weights: int = 0


class VersionReading(msgspec.Struct, frozen=True):
    """What is read when a version is named: the list of its pieces, and who else there is.

    Attributes:
      members: Empty where they were read too long ago.
      named_for: For how many seconds the version has been known to be wanted.
    """

    pieces: PieceList
    members: tuple[ListedMember, ...] = ()
    named_for: float = 0.0


class SharedReadings:
    """Asks those who read first, and keeps what this one has for those who ask it.

    Attributes:
      setting: What this sidecar knows of its engine, or None.
      version: The latest reading here, or None.
      list_members: Returns who else there is now; None where that is known only from readings.
      named_for: Returns for how many seconds the latest version has been known to be wanted.
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
        """Keeps what was read, and answers those who wait for it."""
        async with self._changed:
            self.setting = setting
            self._changed.notify_all()

    async def keep_version(self, reading: VersionReading) -> None:
        """As keep_setting."""
        async with self._changed:
            self.version = reading
            self._read_at = asyncio.get_running_loop().time()
            self._changed.notify_all()

    async def find(self, name: str) -> EngineSetting | VersionReading | None:
        """Returns a reading by its name in a path, once it is here, or None after a while."""

        try:
            async with asyncio.timeout(HELD_SECONDS), self._changed:
                await self._changed.wait_for(lambda: self._is_decided(name))
        except TimeoutError:
            return None
        if name == "setting":
            return self.setting
        if name not in (LATEST, str(self.version.pieces.version)):
            return None
        return VersionReading(self.version.pieces, self._fresh_members(), self.named_for())

    def _fresh_members(self) -> tuple[ListedMember, ...]:
        if self.list_members is not None:
            return self.list_members()
        fresh = asyncio.get_running_loop().time() - self._read_at <= FRESH_SECONDS
        return self.version.members if fresh else ()

    def _is_decided(self, name: str) -> bool:
        """Returns whether a reading is here, or will not come."""
        if name == "setting":
            return self.setting is not None
        # What is older than the latest reading is not read any more.
        return self.version is not None and self.version.pieces.version >= int(name)

    async def ask_setting(self, peers: list[MemberView]) -> EngineSetting | None:
        """Returns what the first of some peers knows of the service's engines, or None."""
        return await self._ask(peers, "setting", EngineSetting, SETTING_SECONDS)

    async def ask_version(self, peers: list[MemberView], version: int) -> VersionReading | None:
        """Returns what the first of some peers read of a version, or None.

        Args:
          version: Zero for the latest that a peer knows, as where none was named.
        """
        return await self._ask(peers, str(version), VersionReading, VERSION_SECONDS)

    async def _ask(self, peers: list[MemberView], name: str, kind: type, seconds: float):
        for peer in peers:
            request = httpclient.HTTPRequest(
                f"{peer.url}{PATH}{name}",
                connect_timeout=CONNECT_SECONDS,
                request_timeout=seconds,
            )
            try:
                response = await http_client.fetch(self._client, request, "reading")
                if response.code == STATUS_MISSING:
                    continue
                return msgspec.json.decode(response.body, type=kind)
            except (CodedError, msgspec.MsgspecError) as error:
                self._log.write(Event.PEER_SILENT, peer=peer.name, reason=str(error)[:120])
        return None


class ReadingsHandler(web.RequestHandler):
    """GET /internal/readings/NAME: the engine's setting, or a version's list and members."""

    def initialize(self, readings: SharedReadings) -> None:
        """Takes the readings from the route."""
        self._readings = readings

    async def get(self, name: str) -> None:
        """Answers with the reading, or 404 where it is not here."""
        reading = await self._readings.find(name)
        if reading is None:
            self.set_status(STATUS_MISSING)
            return
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(reading))


def first_readers(
    subject: str,
    own: str,
    region: str,
    members: collections.abc.Iterable[MemberView],
    relays: collections.abc.Collection[str] = (),
) -> list[MemberView]:
    """Returns whom a sidecar asks before it reads for itself; nobody where it comes first.

    Args:
      subject: What is to be read; it deals the work out.
    """
    near = {member.name: member for member in members if member.instance.region == region}
    first = [name for name in {*near, own} if name in relays]
    others = [name for name in {*near, own} if name not in relays]
    ranked = rank_names(subject, first) + rank_names(subject, others)
    before = ranked[: ranked.index(own)]
    return [near[name] for name in before[:MOST_ASKED]]
