"""What an entry asks of the others and tells them."""

import asyncio
import random

from grpclib import server
from tornado import netutil

from ..config.deployment import Address, Deployment
from ..core.awake_clock import awake_seconds
from ..core.background_tasks import BackgroundTasks
from ..core.errors import CodedError
from ..core.store_change import StoreChange, StoreReading
from ..decisions.entry_roster import EXCHANGE_INTERVAL_SECONDS, EntryRoster, HostPort
from ..decisions.poison import PoisonGuard
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers import entry_messages, peer_client
from ..peers.entry_messages import (
    ChangesReply,
    EntryAddress,
    FetchChanges,
    Meet,
    NamedVersion,
    PeerChange,
    TellSuspects,
    Told,
)
from ..peers.peer_client import CODEC
from .entry_service import EntryService
from .published_state import PublishedState

# The watch of the store renews the lease every 1.2 s; what is older than this has missed one.
ASK_AGE_SECONDS = 1.7
ASK_EVERY_SECONDS = 0.35
ASK_TIMEOUT_SECONDS = 0.6
PEERS_ASKED = 2
# An entry that starts reads all from the store; with a thousand routes that takes a second over
# a thin link. Others are asked for all only where the store has not answered in this time, and
# then one at a time, or their answers would fill the link that the store's is on its way over.
START_SECONDS = 0.7
WHOLE_TIMEOUT_SECONDS = 2.0
# Those who lost requests with one endpoint do so within a moment; they are told of together.
GATHER_SECONDS = 0.05


class EntryPeers:
    """Owns the port for other entries, and the questions to them."""

    def __init__(
        self,
        deployment: Deployment,
        state: PublishedState,
        guard: PoisonGuard,
        tasks: BackgroundTasks,
        log: EventLog,
    ) -> None:
        listen = deployment.peers_listen
        self._own: HostPort = (listen.host, listen.port)
        self._data_centre = deployment.data_centre
        self._state = state
        self._guard = guard
        self._tasks = tasks
        self._log = log
        self._rng = random.Random()
        seeds = tuple((seed.host, seed.port) for seed in deployment.seeds)
        self._roster = EntryRoster(self._own, seeds)
        self._server: server.Server | None = None
        self._suspects: dict[str, list[str]] = {}
        self._relayed = False

    @property
    def count(self) -> int:
        """How many entries there are, this one included."""
        return self._roster.count(awake_seconds())

    @property
    def own(self) -> HostPort:
        """Where this entry listens for others, by which they know it."""
        return self._own

    def nearby(self) -> list[HostPort]:
        """Returns the entries of this one's data centre, itself included, in an agreed order."""
        return self._roster.in_data_centre(self._data_centre, awake_seconds())

    def data_centres(self) -> dict[str, str]:
        """Returns the data centres of all entries by their host, this one included."""
        known = self._roster.known(awake_seconds())
        found = {host: k.data_centre for (host, _), k in known.items() if k.data_centre}
        return found | {self._own[0]: self._data_centre}

    def take_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Takes where some entries listen, by newer settings."""
        self._roster.replace_seeds(tuple((seed.host, seed.port) for seed in seeds))

    async def start(self) -> None:
        """Listens and starts the tasks."""
        sockets = netutil.bind_sockets(self._own[1], self._own[0])
        self._server = server.Server([EntryService(self)], codec=CODEC)
        await self._server.start(sock=sockets[0])
        self._tasks.start("meet", self._meet_for_ever())
        self._tasks.start("relay", self._ask_for_ever())

    async def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def reply_meet(self, message: Meet) -> Meet:
        """See EntryServiceOwner."""
        self._take_known(message)
        return self._meet()

    def reply_changes(self, message: FetchChanges) -> ChangesReply:
        """See EntryServiceOwner."""
        whole, changes = self._state.changes_after(message.after)
        now = awake_seconds()
        since = self._state.outages.failing_since
        return ChangesReply(
            revision=self._state.revision,
            age=self._state.lease.age(now),
            whole=whole,
            changes=tuple(PeerChange(c.key, c.revision, c.value) for c in changes),
            named=tuple(NamedVersion(*named) for named in self._state.named_versions()),
            unanswered=now - since if since is not None else 0.0,
        )

    def take_suspects(self, message: TellSuspects) -> None:
        """See EntryServiceOwner."""
        now = asyncio.get_running_loop().time()
        for fingerprint in message.fingerprints:
            self._guard.record_death(fingerprint, message.endpoint, now)

    def tell_suspect(self, endpoint: str, fingerprint: str) -> None:
        """Has every other entry told of a request that was there when an endpoint died."""
        waiting = bool(self._suspects)
        self._suspects.setdefault(endpoint, []).append(fingerprint)
        if not waiting:
            self._tasks.start("suspects", self._tell_suspects())

    async def _tell_suspects(self) -> None:
        await asyncio.sleep(GATHER_SECONDS)
        told, self._suspects = self._suspects, {}
        addresses = self._roster.all_addresses(awake_seconds())
        for endpoint, fingerprints in told.items():
            message = TellSuspects(endpoint, tuple(fingerprints))
            await asyncio.gather(
                *(
                    self._call(address, entry_messages.SUSPECTS_PATH, message, Told)
                    for address in addresses
                )
            )

    async def _meet_for_ever(self) -> None:
        while True:
            for address in self._roster.choose(1, awake_seconds(), self._rng):
                reply = await self._call(address, entry_messages.MEET_PATH, self._meet(), Meet)
                if reply is not None:
                    self._take_known(reply)
            await asyncio.sleep(EXCHANGE_INTERVAL_SECONDS * self._rng.uniform(0.7, 1.0))

    def _meet(self) -> Meet:
        now = awake_seconds()
        addresses = tuple(
            EntryAddress(host, port, now - known.seen_at, known.data_centre)
            for (host, port), known in self._roster.most_recent(now)
        )
        return Meet(EntryAddress(*self._own, 0.0, self._data_centre), addresses)

    def _take_known(self, message: Meet) -> None:
        now = awake_seconds()
        for known in (message.own, *message.known):
            self._roster.record_seen((known.host, known.port), now - known.age, known.data_centre)

    async def _ask_for_ever(self) -> None:
        """Asks others for what the store does not tell this process."""
        await self._wait_for_first_reading()
        # A process that has just started cannot know for how long a version has been wanted;
        # without another's word it would let requests begin on one that is overdue.
        for address in self._roster.choose(PEERS_ASKED, awake_seconds(), self._rng):
            await self._ask(address)
        while True:
            await asyncio.sleep(ASK_EVERY_SECONDS)
            age = self._state.lease.age(awake_seconds())
            if age <= ASK_AGE_SECONDS:
                self._relayed = False
                continue
            count = PEERS_ASKED if self._state.revision else 1
            addresses = self._roster.choose(count, awake_seconds(), self._rng)
            await asyncio.gather(*(self._ask(address) for address in addresses))

    async def _wait_for_first_reading(self) -> None:
        ends = awake_seconds() + START_SECONDS
        while not self._state.revision and awake_seconds() < ends:
            await asyncio.sleep(ASK_EVERY_SECONDS / 8)

    async def _ask(self, address: HostPort) -> None:
        asked_at = awake_seconds()
        request = FetchChanges(self._state.revision)
        timeout = ASK_TIMEOUT_SECONDS if request.after else WHOLE_TIMEOUT_SECONDS
        reply = await self._call(
            address, entry_messages.CHANGES_PATH, request, ChangesReply, timeout
        )
        if reply is None:
            return
        if reply.unanswered > 0.0:
            self._state.outages.record_peer_failure(asked_at - reply.unanswered)
        now = asyncio.get_running_loop().time()
        newer = reply.revision >= self._state.revision and reply.revision > 0
        if newer:
            self._take_changes(reply, now)
        # Last, for a version is dated only once the changes have named it.
        for named in reply.named:
            self._state.record_reported_version(named.model, named.version, named.seconds)
        if not newer:
            return
        # What the other knew when it was asked is no older than its own evidence was then.
        self._state.lease.renew(asked_at - reply.age)
        if not self._relayed:
            self._relayed = True
            self._log.write(
                Event.EVIDENCE_RELAYED,
                peer=address[0],
                revision=reply.revision,
                evidence_age=round(reply.age, 3),
                changes=len(reply.changes),
            )

    def _take_changes(self, reply: ChangesReply, now: float) -> None:
        changes = tuple(StoreChange(c.key, c.revision, c.value) for c in reply.changes)
        reading = StoreReading(changes, reply.revision)
        if reply.whole:
            self._state.take_reading(reading, now)
        else:
            self._state.take_changes(reading, now)

    async def _call(
        self,
        address: HostPort,
        path: str,
        message: object,
        kind: type,
        timeout: float = ASK_TIMEOUT_SECONDS,
    ):
        """Returns a peer's answer, or None where there was none."""
        host, port = address
        try:
            reply = await peer_client.call(host, port, path, message, kind, timeout)
        except CodedError as error:
            self._roster.record_failure(address, awake_seconds())
            self._log.write(Event.PEER_SILENT, peer=f"{host}:{port}", reason=str(error)[:120])
            return None
        self._roster.record_seen(address, awake_seconds())
        return reply
