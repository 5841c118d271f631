"""The requests that an entry exchanges with the other entries.

Entries exchange the addresses that they know, pass on what they know of the store to entries
that cannot reach it, and report requests that may have crashed an endpoint.
"""

import asyncio
import collections.abc
import contextlib
import random

import msgspec
from tornado import netutil

from ..config.deployment import Address, Deployment
from ..core import waiting
from ..core.background_tasks import BackgroundTasks
from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..core.part_report import PartReport
from ..core.store_change import StoreChange, StorePosition, StoreReading
from ..decisions import crashing_parts
from ..decisions.answer_gaps import Gap
from ..decisions.chunk_plan import rank_names
from ..decisions.configuration_lease import REPLY_TOLERANCE_SECONDS
from ..decisions.crashing_parts import CrashingParts
from ..decisions.entry_roster import (
    EXCHANGE_INTERVAL_SECONDS,
    ROSTER_SETTLING_SECONDS,
    EntryRoster,
    HostPort,
)
from ..decisions.home_regions import Regions, may_be_in
from ..decisions.poison import PoisonGuard
from ..decisions.rate_shares import Entries
from ..decisions.stated_limits import StatedLimits
from ..decisions.store_readers import seconds_until_late
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers import entry_messages, peer_client
from ..peers.bounded_server import BoundedServer
from ..peers.entry_messages import (
    Acknowledgement,
    ChangesReply,
    EntryAddress,
    FetchChanges,
    LimitStatement,
    Meet,
    NamedVersion,
    PeerChange,
    ServiceDemand,
    SuspectDeath,
    SuspectsReport,
)
from ..wire.process_limits import find_process_limits
from .entry_service import EntryService
from .published_state import PublishedState
from .reader_following import WATCH_SECONDS

# Other entries are asked once a watch of the store is late, or a call to it has failed. A watch
# that ends without changes renews the lease as of its start, which is then one wait ago.
MAX_EVIDENCE_AGE_SECONDS = 2.0 * WATCH_SECONDS + REPLY_TOLERANCE_SECONDS
QUERY_INTERVAL_SECONDS = 0.35
PEER_TIMEOUT_SECONDS = 0.6
PEERS_PER_QUERY = 2
# An entry that starts waits so long to hear of a newer configuration than the store's.
FIRST_QUERY_SECONDS = 0.3
# For how long other entries are asked after a restoration of the store.
RESTORED_QUERY_SECONDS = 3.0
PLACES_PER_QUERY = 3
# How many entries an entry that has started asks at once, until one answers, and the first pause.
FIRST_EXCHANGES = 3
FIRST_EXCHANGE_PAUSE_SECONDS = 0.1
# An entry that starts reads a snapshot from the store, which takes a second over a thin link with
# a thousand routes. Other entries are asked for a snapshot only if the store has not answered
# within this time, and then one at a time, because several replies would saturate the link that
# the store's reply arrives on.
FIRST_READ_WAIT_SECONDS = 0.7
SNAPSHOT_TIMEOUT_SECONDS = 2.0
# Changes of more than this are compressed: a configuration with a thousand routes has some hundred
# kilobytes, and the entries that ask for it together share a link.
MAX_UNPACKED_BYTES = 16_384
# All requests that are lost with an endpoint are lost within a moment; this delay lets them be
# reported in one message.
SUSPECT_BATCH_SECONDS = 0.05
# How long a caller whose request has just been blocked waits for the other entries to learn of it.
# It may come back to any of them within milliseconds.
BLOCK_REPORT_SECONDS = 0.05
# An entry whose demand has changed tells some entries of its data centre at once, because the
# exchanges between random pairs take several seconds to reach all. With hundreds of entries the
# number bounds what that costs, and the exchanges tell the rest.
DEMAND_CHECK_SECONDS = 0.5
DEMAND_TELL_SECONDS = 1.0
MAX_TOLD_AT_ONCE = 4
# The part of the accepted connections that the port may have.
CONNECTIONS_SHARE = 0.12


class EntryPeers:
    """Serves the port for other entries, and sends them requests."""

    def __init__(
        self,
        deployment: Deployment,
        state: PublishedState,
        guard: PoisonGuard,
        parts: CrashingParts,
        tasks: BackgroundTasks,
        log: EventLog,
        limits: StatedLimits,
    ) -> None:
        listen = deployment.peers_listen
        self._own_address: HostPort = (listen.host, listen.port)
        self._data_centre = deployment.data_centre
        self._region_of = deployment.region_of
        self._link_mbit = deployment.link_mbit
        self._first_start = deployment.first_start
        self._bound = deployment.bounds.version
        self._state = state
        self._guard = guard
        self._parts = parts
        parts.informed = deployment.first_start
        self._started_at = boot_seconds()
        self._limits = limits
        self._tasks = tasks
        self._log = log
        self._rng = random.Random()
        seeds = tuple((seed.host, seed.port) for seed in deployment.seeds)
        self._roster = EntryRoster(self._own_address, seeds)
        self._update_places()
        # An entry that starts again learns of all others from the first that it meets.
        self._settled_at = (
            boot_seconds() + ROSTER_SETTLING_SECONDS if deployment.first_start else 0.0
        )
        self._process_limits = find_process_limits(deployment.memory_mb, deployment.descriptors)
        self._server: BoundedServer | None = None
        # Set, and replaced by another, at each answer of the store.
        self._evidence = asyncio.Event()
        # Fingerprints of requests that are to be reported as suspects, by endpoint, its run and the
        # regions to which they may be sent.
        self._pending_suspects: dict[tuple[str, str, Regions], list[str]] = {}
        # Prompt parts whose new state is to be reported.
        self._pending_parts: set[str] = set()
        # Whether this process knows of the endpoints that died before it started: there were none,
        # or an entry has told of them that knew them itself.
        self._knows_deaths = deployment.first_start
        # The entries that have told of deaths so far.
        self._told_deaths_by: set[HostPort] = set()
        # Whether EVIDENCE_RELAYED was logged since the evidence was last fresh.
        self._relay_logged = False
        # Returns the demands of this entry by service, set by its owner.
        self.find_demands: collections.abc.Callable[[], dict[str, float]] = dict

    @property
    def _is_caught_up(self) -> bool:
        return self._knows_deaths and self._parts.informed

    @property
    def count(self) -> int:
        """The number of entries, including this one."""
        return self._roster.count(boot_seconds())

    @property
    def has_seeds(self) -> bool:
        """Whether the settings name other entries."""
        return self._roster.has_seeds

    @property
    def count_to_share(self) -> int | None:
        """See PeerEntries."""
        now = boot_seconds()
        return self._roster.count_to_share(now, now >= self._settled_at)

    @property
    def own_address(self) -> HostPort:
        """The address at which this entry listens for others, by which they know it."""
        return self._own_address

    def entries(self) -> Entries:
        """See PeerEntries."""
        known = self._roster.known(boot_seconds())
        reachable = {address: k.data_centre for address, k in known.items()}
        reachable[self._own_address] = self._data_centre
        return Entries(self._own_address, reachable, self.count_to_share)

    def local_entries(self) -> list[HostPort]:
        """Returns the entries of this data centre, itself included, in the same order at each."""
        return self._roster.in_data_centre(self._data_centre, boot_seconds())

    @property
    def own_demand(self) -> float:
        """The requests per second that this entry tells, of all services with engines."""
        told = self._roster.told_demands(self._own_address, boot_seconds())
        return sum(told.per_second.values()) if told is not None else 0.0

    def local_demands(self, service: str) -> dict[HostPort, float]:
        """See PeerEntries."""
        now = boot_seconds()
        found = {}
        for address in self._roster.in_data_centre(self._data_centre, now):
            told = self._roster.told_demands(address, now)
            if told is not None and service in told.per_second:
                found[address] = told.per_second[service]
        return found

    def data_centres(self) -> dict[str, str]:
        """Returns the data centre of each entry by its host, including this one."""
        known = self._roster.known(boot_seconds())
        found = {host: k.data_centre for (host, _), k in known.items() if k.data_centre}
        return found | {self._own_address[0]: self._data_centre}

    def link_rates(self) -> dict[str, float]:
        """Returns the rate of each entry's link in megabits per second by its host, if known."""
        known = self._roster.known(boot_seconds())
        found = {host: k.link_mbit for (host, _), k in known.items() if k.link_mbit}
        return found | {self._own_address[0]: self._link_mbit}

    def test_rank(self, part: str) -> int:
        """Returns the place of this entry among all that are known, in the order for a part.

        Entries that cannot be reached are among them, so that those that are cut off from each
        other have different places.
        """
        known = (address for address, _ in self._roster.most_recent(boot_seconds()))
        entries = {f"{host}:{port}" for host, port in (*known, self._own_address)}
        return rank_names(part, sorted(entries)).index("{}:{}".format(*self._own_address))

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replaces the seed addresses after a change of settings."""
        self._roster.replace_seeds(tuple((seed.host, seed.port) for seed in seeds))

    async def start(self) -> None:
        """Opens the listening port and starts the background tasks."""
        sockets = netutil.bind_sockets(self._own_address[1], self._own_address[0])
        limits = self._process_limits
        self._server = BoundedServer(
            [EntryService(self)],
            limits.share_of_connections(CONNECTIONS_SHARE),
            limits.message_bytes,
            self._log,
        )
        await self._server.start(sockets[0])
        self._tasks.keep_running("meet", self._run_gossip)
        self._tasks.keep_running("demand", self._run_demand)
        self._tasks.keep_running("relay", self._run_store_relay)

    async def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def handle_meet(self, message: Meet) -> Meet:
        """See EntryServiceOwner."""
        self._record_known(message)
        if message.brief:
            return Meet(self._own_entry(boot_seconds()), brief=True)
        reply = self._make_meet()
        now = asyncio.get_running_loop().time()
        region = self._region_of.get(message.own.data_centre, "")
        newer = self._parts.newer_than(message.parts, now)
        parts = self._parts.reports(now, at_least=1) if message.wants_deaths else reply.parts
        reply = msgspec.structs.replace(reply, parts=reports_for(region, parts + newer))
        if not message.wants_deaths:
            return reply
        deaths = tuple(
            SuspectDeath(*death, regions=names_of(regions))
            for *death, regions in self._guard.recent_deaths(now)
            if may_be_in(regions, region)
        )
        return msgspec.structs.replace(reply, deaths=deaths)

    async def handle_fetch_changes(self, message: FetchChanges) -> ChangesReply:
        """See EntryServiceOwner."""
        arrived_at = boot_seconds()
        # An earlier release states no epoch, and would get all items each time.
        asked = StorePosition(message.epoch or self._state.epoch, message.after)
        # An entry of a later epoch learns nothing here, and asks elsewhere.
        may_learn = asked.epoch <= self._state.epoch
        if message.hold > 0.0 and may_learn and self._state.position <= asked:
            await self._wait_for_evidence(message.hold)
        snapshot, items = self._state.changes_after(asked)
        changes = tuple(PeerChange(c.key, c.revision, c.value) for c in items)
        packed = b""
        size = sum(len(change.value or b"") for change in changes)
        if message.accepts_packed and size > MAX_UNPACKED_BYTES:
            packed, changes = entry_messages.pack_changes(changes), ()
        configuration = b""
        if message.version >= 0:
            configuration = self._state.newer_configuration(message.version)
            if configuration and any(change.value == configuration for change in items):
                configuration = b""
        now = boot_seconds()
        since = self._state.outages.failing_since
        failures = self._state.outages.last_failures
        return ChangesReply(
            revision=self._state.revision,
            age=self._state.lease.age(now),
            whole=snapshot,
            changes=changes,
            named=tuple(NamedVersion(*named) for named in self._state.named_versions()),
            unanswered=now - since if since is not None else 0.0,
            held=now - arrived_at,
            waiting_for=self._state.store_waiting_seconds(now),
            failed_ago=now - self._state.store_failed_at,
            packed=packed,
            answer_gaps=tuple(
                (now - gap.started_at, now - gap.ended_at)
                for gap in self._state.outages.answers.recent(now)
            ),
            failures=(now - failures.started_at, now - failures.ended_at) if failures else None,
            epoch=self._state.epoch,
            configuration=entry_messages.pack_bytes(configuration) if configuration else b"",
        )

    def answer_followers(self) -> None:
        """Answers the entries that wait here for an answer of the store, or for changes."""
        self._evidence.set()
        self._evidence = asyncio.Event()

    async def _wait_for_evidence(self, hold: float) -> None:
        """Waits for an answer of the store, until one is overdue at most."""
        waiting_for = self._state.store_waiting_seconds(boot_seconds())
        seconds = min(hold, seconds_until_late(waiting_for, WATCH_SECONDS))
        if seconds > 0.0:
            with contextlib.suppress(TimeoutError):
                await waiting.wait_for(self._evidence.wait(), seconds)

    def handle_suspects(self, message: SuspectsReport) -> Acknowledgement:
        """See EntryServiceOwner."""
        now = asyncio.get_running_loop().time()
        for fingerprint in message.fingerprints:
            self._guard.record_told_death(fingerprint, message.endpoint, message.run, now)
            self._guard.restrict(fingerprint, regions_of(message.regions))
        self.merge_parts(message.parts)
        newer = self._parts.newer_than(message.parts, now)
        return Acknowledgement(reports_for(self._region_of.get(message.data_centre, ""), newer))

    def report_suspect(
        self, endpoint: str, fingerprint: str, run: str, regions: Regions = None
    ) -> None:
        """Reports to all other entries a request that was in progress when an endpoint died.

        Reports that follow within SUSPECT_BATCH_SECONDS are sent together.

        Args:
          run: The run of the endpoint that ended; empty if it is not known.
          regions: The home regions of the request; the report goes only to entries there.
        """
        self._schedule_report()
        self._guard.restrict(fingerprint, regions)
        self._pending_suspects.setdefault((endpoint, run, regions), []).append(fingerprint)

    def report_parts(self, parts: collections.abc.Iterable[str]) -> None:
        """Reports to all other entries the new states of prompt parts, with the next suspects."""
        changed = set(parts)
        if changed:
            self._schedule_report()
            self._pending_parts |= changed

    def merge_parts(self, reports: collections.abc.Iterable[PartReport]) -> None:
        """Applies the states of prompt parts that other processes know."""
        now = asyncio.get_running_loop().time()
        for report in reports:
            if not self._parts.merge(report, now):
                continue
            known = self._parts.reports_of((report.part,), now)
            # Whoever reported it has told all others as well.
            if all(report.covers(state) for state in known):
                self._pending_parts.discard(report.part)
            self._log.write(
                Event.PART_LEARNED,
                part=report.part,
                epoch=report.epoch,
                crashes=report.crashes,
                inconclusive=report.inconclusive,
                engines=len(report.endpoints),
            )

    def _schedule_report(self) -> None:
        if not self._pending_suspects and not self._pending_parts:
            self._tasks.start("suspects", self._send_suspects())

    async def flush_suspects(self) -> None:
        """Sends pending reports, and waits BLOCK_REPORT_SECONDS at most until others have them."""
        sending = self._tasks.start("suspects", self._send_pending_suspects())
        await asyncio.wait((sending,), timeout=BLOCK_REPORT_SECONDS)

    async def _send_suspects(self) -> None:
        await asyncio.sleep(SUSPECT_BATCH_SECONDS)
        await self._send_pending_suspects()

    async def _send_pending_suspects(self) -> None:
        pending, self._pending_suspects = self._pending_suspects, {}
        changed, self._pending_parts = self._pending_parts, set()
        parts = self._parts.reports_of(sorted(changed), asyncio.get_running_loop().time())
        messages = [
            SuspectsReport(
                endpoint,
                tuple(names),
                run=run,
                regions=names_of(regions),
                data_centre=self._data_centre,
            )
            for (endpoint, run, regions), names in pending.items()
        ]
        if parts:
            # Beside fingerprints that go to fewer entries, parts would not reach all of theirs.
            if not messages or messages[0].regions is not None:
                messages.insert(0, SuspectsReport("", (), data_centre=self._data_centre))
            messages[0] = msgspec.structs.replace(messages[0], parts=parts)
        addresses = self._roster.all_addresses(boot_seconds())
        for message in messages:
            await asyncio.gather(*(self._send_suspects_to(a, message) for a in addresses))

    async def _send_suspects_to(self, address: HostPort, message: SuspectsReport) -> None:
        """Sends another entry what it may know of a report; nothing if that is nothing."""
        region = self._region_at(address)
        if not may_be_in(regions_of(message.regions), region):
            return
        parts = reports_for(region, message.parts)
        if not parts and not message.fingerprints:
            return
        message = msgspec.structs.replace(message, parts=parts)
        reply = await self._call(address, entry_messages.SUSPECTS_PATH, message, Acknowledgement)
        if reply is not None:
            self.merge_parts(reply.parts)

    def _region_at(self, address: HostPort) -> str:
        """Returns the region of another entry; empty while it is not known."""
        known = self._roster.known(boot_seconds()).get(address)
        return self._region_of.get(known.data_centre, "") if known is not None else ""

    async def _run_gossip(self) -> None:
        pause = FIRST_EXCHANGE_PAUSE_SECONDS
        while not self._is_caught_up and pause < EXCHANGE_INTERVAL_SECONDS:
            # Any of the seeds may be gone, or have just started as well and know only of others.
            addresses = self._roster.choose(FIRST_EXCHANGES, boot_seconds(), self._rng)
            await asyncio.gather(*(self._exchange(address) for address in addresses))
            await asyncio.sleep(pause)
            pause *= 2.0
        while True:
            # What was counted for parts before this process started has expired by then.
            if boot_seconds() - self._started_at > crashing_parts.LIFETIME_SECONDS:
                self._parts.informed = self._knows_deaths = True
            for address in self._roster.choose(1, boot_seconds(), self._rng):
                await self._exchange(address)
            await asyncio.sleep(EXCHANGE_INTERVAL_SECONDS * self._rng.uniform(0.7, 1.0))

    async def _exchange(self, address: HostPort) -> None:
        message = self._make_meet()
        parts = reports_for(self._region_at(address), message.parts)
        message = msgspec.structs.replace(message, parts=parts)
        reply = await self._call(address, entry_messages.MEET_PATH, message, Meet)
        if reply is not None:
            self._record_known(reply)
            self._record_deaths(address, reply)

    async def _run_demand(self) -> None:
        """Keeps this entry's demands, and tells its data centre at once when they change."""
        told: dict[str, float] = {}
        told_at = float("-inf")
        while True:
            await asyncio.sleep(DEMAND_CHECK_SECONDS)
            now = boot_seconds()
            demands = self.find_demands()
            self._roster.record_demands(self._own_address, demands, now)
            if demands == told or now - told_at < DEMAND_TELL_SECONDS:
                continue
            told, told_at = demands, now
            others = [a for a in self.local_entries() if a != self._own_address]
            chosen = self._rng.sample(others, min(MAX_TOLD_AT_ONCE, len(others)))
            message = Meet(self._own_entry(now), brief=True)
            await asyncio.gather(*(self._tell_demand(address, message) for address in chosen))

    async def _tell_demand(self, address: HostPort, message: Meet) -> None:
        reply = await self._call(address, entry_messages.MEET_PATH, message, Meet)
        if reply is not None:
            self._record_known(reply)

    def _own_entry(self, now: float) -> EntryAddress:
        own = EntryAddress(*self._own_address, 0.0, self._data_centre, self._link_mbit)
        return self._with_demands(own, now)

    def _with_demands(self, entry: EntryAddress, now: float) -> EntryAddress:
        told = self._roster.told_demands((entry.host, entry.port), now)
        if told is None or not told.per_second:
            return entry
        demands = tuple(ServiceDemand(service, rate) for service, rate in told.per_second.items())
        return msgspec.structs.replace(entry, demands=demands, demands_age=now - told.told_at)

    def _record_deaths(self, address: HostPort, reply: Meet) -> None:
        # Each entry is heard once: what this one has cleared since must not come back.
        if self._knows_deaths or address in self._told_deaths_by:
            return
        self._told_deaths_by.add(address)
        # One that asks for deaths itself may know of none, as it has started too.
        self._knows_deaths = not reply.wants_deaths
        now = asyncio.get_running_loop().time()
        for death in reply.deaths:
            self._guard.record_told_death(
                death.fingerprint, death.endpoint, death.run, now - death.age
            )
            self._guard.restrict(death.fingerprint, regions_of(death.regions))

    def _make_meet(self) -> Meet:
        now = boot_seconds()
        addresses = tuple(
            self._with_demands(
                EntryAddress(host, port, now - known.seen_at, known.data_centre, known.link_mbit),
                now,
            )
            for (host, port), known in self._roster.most_recent(now)
        )
        own = self._own_entry(now)
        limits = tuple(
            LimitStatement(*run, statement.limit, now - statement.heard_at)
            for run, statement in self._limits.statements(now)
        )
        loop_now = asyncio.get_running_loop().time()
        return Meet(
            own,
            addresses,
            limits,
            wants_deaths=not self._is_caught_up,
            parts=self._parts.reports(loop_now, at_least=crashing_parts.CRASHES_TO_SUSPECT),
            informed=self._parts.informed,
        )

    def _record_known(self, message: Meet) -> None:
        now = boot_seconds()
        self.merge_parts(message.parts)
        self._parts.informed = self._parts.informed or message.informed
        for known in (message.own, *message.known):
            address = (known.host, known.port)
            self._roster.record_seen(address, now - known.age, known.data_centre, known.link_mbit)
            if known.demands and address != self._own_address:
                demands = {demand.service: demand.per_second for demand in known.demands}
                self._roster.record_demands(address, demands, now - known.demands_age)
        for stated in message.limits:
            run = (stated.endpoint, stated.started_at)
            if self._limits.record(run, stated.limit, now - stated.age):
                self._log.write(
                    Event.LIMIT_STATED,
                    endpoint=stated.endpoint,
                    limit=stated.limit,
                    peer=message.own.host,
                )

    async def _run_store_relay(self) -> None:
        """Fetches from other entries what this process cannot get from the store."""
        await self._wait_for_first_read()
        # A process that has just started cannot know for how long a version has been wanted.
        # Unless it asks others, it would let requests begin on a version that is overdue, or refuse
        # them too early. Those that it asks may have started with it and know no more, so it asks
        # until no bound of a version that was named before can matter.
        has_answer = False
        asks_until = 0.0 if self._first_start else self._started_at + self._bound
        while True:
            now = boot_seconds()
            self._update_places()
            is_fresh = self._state.lease.age(now) <= MAX_EVIDENCE_AGE_SECONDS
            is_fresh = is_fresh and self._state.outages.failing_since is None
            # A restored store may lack a configuration that others have in force.
            asks_until = max(asks_until, self._state.restored_at + RESTORED_QUERY_SECONDS)
            # Others may have had answers while this entry had none.
            is_informed = has_answer and now > asks_until
            if is_fresh and is_informed and not self._state.may_extend_bounds(now):
                self._relay_logged = False
                await asyncio.sleep(QUERY_INTERVAL_SECONDS)
                continue
            # What others know besides does not replace this entry's own evidence.
            self._relay_logged = self._relay_logged or is_fresh
            count = PEERS_PER_QUERY if self._state.revision else 1
            addresses = self._roster.choose(count, now, self._rng)
            if self._state.revision:
                addresses = list(dict.fromkeys((*addresses, *self._choose_confirming(now))))
            replies = await asyncio.gather(*(self.fetch_changes(address) for address in addresses))
            has_answer = has_answer or any(reply is not None for reply in replies)
            self._relay_logged = self._relay_logged and not is_fresh
            await asyncio.sleep(QUERY_INTERVAL_SECONDS)

    async def _wait_for_first_read(self) -> None:
        ends = boot_seconds() + FIRST_READ_WAIT_SECONDS
        while not self._state.revision and boot_seconds() < ends:
            await asyncio.sleep(QUERY_INTERVAL_SECONDS / 8)

    async def fetch_changes(self, address: HostPort, hold: float = 0.0) -> ChangesReply | None:
        """Applies what another entry knows of the store; returns its answer, or None.

        Args:
          hold: For how many seconds it may hold the question until it knows more.
        """
        asked_at = boot_seconds()
        state = self._state
        request = FetchChanges(state.revision, hold, True, state.epoch, state.version)
        timeout = PEER_TIMEOUT_SECONDS if request.after else SNAPSHOT_TIMEOUT_SECONDS
        reply = await self._call(
            address, entry_messages.CHANGES_PATH, request, ChangesReply, timeout + hold
        )
        if reply is None:
            return None
        # The other entry answered, and its ages ended, at least as long after the question as it
        # held that.
        answered_at = asked_at + reply.held
        self._record_peer_calls(address, reply, answered_at)
        for content in self._unpack_configurations([reply]):
            self._state.apply_configuration(content)
        now = asyncio.get_running_loop().time()
        position = StorePosition(reply.epoch, reply.revision)
        up_to_date = position >= self._state.position and reply.revision > 0
        # Changes of a later epoch follow on nothing that is known here.
        up_to_date = up_to_date and (reply.whole or reply.epoch == self._state.epoch)
        if up_to_date:
            # What the other entry says of its own calls shows nothing: it alone may be cut off.
            if state.is_store_overdue(boot_seconds()):
                state.endpoints.record_store_failure(now)
            known = state.position
            try:
                self._apply_changes(reply, now)
            except CodedError as error:
                self._log.write(Event.PEER_SILENT, peer=address[0], reason=str(error)[:120])
                return None
            if state.position > known:
                self.answer_followers()
        # After the changes, because only a version that they have named can be dated.
        for named in reply.named:
            self._state.record_reported_version(
                named.model, named.version, named.seconds, answered_at - named.unnamed_ago
            )
        if not up_to_date:
            return None
        self._state.lease.renew(answered_at - reply.age)
        if not hold and not self._relay_logged:
            self._relay_logged = True
            self._log.write(
                Event.EVIDENCE_RELAYED,
                peer=address[0],
                revision=reply.revision,
                evidence_age=round(reply.age, 3),
                changes=len(reply.changes),
            )
        return reply

    async def newer_configurations(self, position: StorePosition, version: int) -> list[bytes]:
        """Returns configurations newer than a version that are in force at some other entries.

        Args:
          position: Up to where changes are known, so that none of those before is sent.
        """
        addresses = self._roster.choose(PEERS_PER_QUERY, boot_seconds(), self._rng)
        request = FetchChanges(position.revision, 0.0, True, position.epoch, version)
        path, seconds = entry_messages.CHANGES_PATH, FIRST_QUERY_SECONDS
        calls = (self._call(a, path, request, ChangesReply, seconds) for a in addresses)
        replies = await asyncio.gather(*calls)
        return self._unpack_configurations(reply for reply in replies if reply is not None)

    def _unpack_configurations(
        self, replies: collections.abc.Iterable[ChangesReply]
    ) -> list[bytes]:
        """Returns the configurations that replies have beside their changes."""
        found = []
        for reply in replies:
            try:
                if reply.configuration:
                    found.append(entry_messages.unpack_bytes(reply.configuration))
            except CodedError as error:
                self._log.write(Event.PEER_SILENT, peer="", reason=str(error)[:120])
        return found

    def _update_places(self) -> None:
        """Updates from which data centres an outage of the store has to be confirmed."""
        known = self._roster.known(boot_seconds())
        places = {entry.data_centre for entry in known.values()} - {self._data_centre, ""}
        if not places and (known or self._roster.has_seeds):
            places = {self._data_centre}
        self._state.outages.places = frozenset(places)

    def _choose_confirming(self, now: float) -> list[HostPort]:
        """Returns an entry in each of some data centres that have to confirm an outage."""
        places = sorted(self._state.outages.places)
        chosen = self._rng.sample(places, min(len(places), PLACES_PER_QUERY))
        known = self._roster.known(now)
        found = ([a for a, k in known.items() if k.data_centre == place] for place in chosen)
        return [self._rng.choice(addresses) for addresses in found if addresses]

    def _record_peer_calls(
        self, address: HostPort, reply: ChangesReply, answered_at: float
    ) -> None:
        """Records when another entry's calls to the store were answered, and when they failed.

        Args:
          answered_at: The earliest time at which it may have answered.
        """
        outages = self._state.outages
        received_at = boot_seconds()
        # The reply may have lain unread while this process was suspended. Both ends of a gap are
        # dated so that it is not too short, whenever the entry answered: what is passed on many
        # times would become shorter each time.
        outages.record_peer_gaps(
            [Gap(answered_at - start, received_at - end) for start, end in reply.answer_gaps]
        )
        if reply.unanswered > 0.0:
            outages.record_peer_failing(received_at - reply.unanswered)
        entry = self._roster.known(received_at).get(address)
        if reply.failures is not None and entry is not None:
            # Both ends are dated so that the calls had certainly failed in all of the span.
            started_ago, ended_ago = reply.failures
            span = Gap(received_at - started_ago, answered_at - ended_ago)
            if span.seconds >= 0.0:
                outages.record_peer_failures(entry.data_centre, span)

    def _apply_changes(self, reply: ChangesReply, now: float) -> None:
        received = entry_messages.unpack_changes(reply.packed) if reply.packed else reply.changes
        changes = tuple(StoreChange(c.key, c.revision, c.value) for c in received)
        reading = StoreReading(changes, reply.revision, reply.epoch)
        if reply.whole:
            self._state.apply_snapshot(reading, now)
        else:
            self._state.apply_changes(reading, now)

    async def _call(
        self,
        address: HostPort,
        path: str,
        message: object,
        kind: type,
        timeout: float = PEER_TIMEOUT_SECONDS,
    ):
        """Calls another entry; returns its reply, or None if there was none."""
        host, port = address
        try:
            reply = await peer_client.call(host, port, path, message, kind, timeout)
        except CodedError as error:
            self._roster.record_failure(address, boot_seconds())
            self._log.write(Event.PEER_SILENT, peer=f"{host}:{port}", reason=str(error)[:120])
            return None
        self._roster.record_seen(address, boot_seconds())
        return reply


def reports_for(region: str, reports: tuple[PartReport, ...]) -> tuple[PartReport, ...]:
    """Returns the reports that may be sent to an entry in a region; empty if it is not known."""
    return tuple(report for report in reports if report.may_go_to(region))


def names_of(regions: Regions) -> tuple[str, ...] | None:
    """Returns regions as they are sent."""
    return None if regions is None else tuple(sorted(regions))


def regions_of(names: tuple[str, ...] | None) -> Regions:
    """Returns regions that were received."""
    return None if names is None else frozenset(names)
