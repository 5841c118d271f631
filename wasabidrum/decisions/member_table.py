"""Who is there: the platform's lagging list joined with what processes say.

Load pattern: 21 instances fail and 320 are replaced on an ordinary day, while the list
lags, freezes, comes empty for a moment or names the dead; now and then a rack or a data
centre goes at once. With the list alone, work would go to dead endpoints for as long as it
lags, and an empty list would take the whole fleet out of routing. With evidence alone, one
broken network card would call everyone dead. So a silent member is suspected first, it can
refute that with a later status of its own, and a process to which too many fell silent at
once concludes nothing until it knows that others still answer it.
"""

import collections.abc

from ..core.instance import Instance
from ..core.status import Status
from .member_record import MemberRecord, address_of, flaps_now, instance_from
from .member_update import MemberState, MemberUpdate

SUSPICION_SECONDS = 4.0
REFUSED_SECONDS = 0.5
HEARD_LATELY_SECONDS = 2.0
UNLISTED_SECONDS = 30.0
IMPLAUSIBLE_SECONDS = 300.0
IMPLAUSIBLE_FRACTION = 0.5
SILENT_FRACTION = 0.5
FEWEST_WATCHED = 3
FLAPS_HELD_BACK = 3.0


class MemberTable:
    """The members that one process knows, itself excepted.

    Attributes:
      version: Grows whenever the set of usable members or an address changes.
      isolated: Whether this process may be the one that is cut off.
    """

    __slots__ = ("_name", "_records", "_news", "_implausible_at", "_pending", "version", "isolated")

    def __init__(self, name: str) -> None:
        self._name = name
        self._records: dict[str, MemberRecord] = {}
        self._news: list[MemberUpdate] = []
        self._implausible_at: float | None = None
        # Those that time changes something about, so that a tick costs nothing for the rest.
        self._pending: set[str] = set()
        self.version = 0
        self.isolated = False

    @property
    def records(self) -> collections.abc.ValuesView[MemberRecord]:
        """Every member known, the dead included."""
        return self._records.values()

    @property
    def list_is_implausible(self) -> bool:
        """Whether the list lost too many at once and is not followed yet."""
        return self._implausible_at is not None

    def get(self, name: str) -> MemberRecord | None:
        """Returns a member, or None where it is unknown."""
        return self._records.get(name)

    def usable(self, now: float) -> list[MemberRecord]:
        """Returns the members to talk to: neither suspected, dead nor held back for flapping."""
        return [
            record
            for record in self._records.values()
            if record.state is MemberState.ALIVE
            and flaps_now(record, now) <= FLAPS_HELD_BACK
            and record.instance.peer_port
        ]

    def take_news_to_pass_on(self) -> list[MemberUpdate]:
        """Returns what became known since the last call, to be told to others."""
        news, self._news = self._news, []
        return news

    def take_list(self, instances: collections.abc.Iterable[Instance], now: float) -> None:
        """Takes the platform's list, from whoever read it."""
        listed = {i.name: i for i in instances if i.name != self._name}
        before = [record for record in self._records.values() if record.listed is not None]
        kept = sum(record.name in listed for record in before)
        if kept < len(before) * IMPLAUSIBLE_FRACTION:
            # An empty or cut list would take the fleet out of routing within one read. An
            # operator sees LIST_IMPLAUSIBLE; evidence alone removes members meanwhile.
            self._implausible_at = now if self._implausible_at is None else self._implausible_at
            if now - self._implausible_at < IMPLAUSIBLE_SECONDS:
                self._add_listed(listed)
                return
        self._implausible_at = None
        self._add_listed(listed)
        for record in before:
            if record.name not in listed:
                record.listed = None
                record.unlisted_at = now
                self._pending.add(record.name)

    def take_status(self, status: Status, now: float) -> None:
        """Takes what a member said of itself, directly to this process."""
        if status.name == self._name:
            return
        record = self._records.get(status.name)
        if record is None:
            record = MemberRecord(instance_from(status), unlisted_at=now)
            self._records[status.name] = record
            self._pending.add(record.name)
        elif status.incarnation < record.incarnation:
            return
        later = status.incarnation > record.incarnation
        if not later and status.sequence < record.sequence:
            return
        heard_before = bool(record.incarnation)
        changed = later or record.state is not MemberState.ALIVE
        if later:
            record.incarnation = status.incarnation
            record.says_leaving = False
            # The address that the platform lists may lead through something that the daemon
            # does not know of. Its own word counts where the list cannot mean this run.
            if status.peer_port and (heard_before or record.listed is None):
                record.instance = instance_from(status)
        changed = changed or status.leaving > record.says_leaving
        record.says_leaving = record.says_leaving or status.leaving
        record.sequence = status.sequence
        record.status = status
        record.heard_at = now
        self._set_state(record, MemberState.ALIVE, now)
        if changed:
            self._tell(record)

    def take_beat(self, name: str, sequence: int, now: float) -> None:
        """Takes a sign of life of the run whose status is held."""
        record = self._records.get(name)
        if record is None or sequence < record.sequence:
            return
        record.sequence = sequence
        record.heard_at = now
        if record.state is not MemberState.ALIVE:
            self._set_state(record, MemberState.ALIVE, now)
            self._tell(record)

    def take_news(self, news: MemberUpdate, now: float) -> bool:
        """Takes what somebody says of a member; returns whether this process must refute it."""
        if news.name == self._name:
            return news.state is not MemberState.ALIVE
        record = self._records.get(news.name)
        if record is None:
            if news.instance is None or news.state is not MemberState.ALIVE:
                return False
            record = MemberRecord(news.instance, unlisted_at=now)
            self._records[news.name] = record
            self._pending.add(record.name)
        held = (record.incarnation, record.sequence, record.state)
        if (news.incarnation, news.sequence, news.state) <= held:
            return False
        later = news.incarnation > record.incarnation
        heard_lately = now - record.heard_at < HEARD_LATELY_SECONDS and not later
        if news.state is not MemberState.ALIVE and heard_lately:
            # Whoever suspects it lost its own link; this process hears it, and says so.
            self._tell(record)
            return False
        if later or news.leaving > record.says_leaving or news.state is not record.state:
            self._news.append(news)
            self.version += 1
        if later and news.instance is not None:
            record.instance = news.instance
        record.says_leaving = news.leaving if later else record.says_leaving or news.leaving
        record.incarnation = news.incarnation
        record.sequence = news.sequence
        self._set_state(record, news.state, now)
        return False

    def suspect(self, name: str, now: float, refused: bool = False) -> bool:
        """Takes that a member fell silent, or refuses connections; returns whether that is new."""
        record = self._records.get(name)
        if record is None or record.state is MemberState.DEAD:
            return False
        if refused and self._take_told_address(record):
            return False
        new = record.state is MemberState.ALIVE
        if new:
            self._set_state(record, MemberState.SUSPECT, now)
            if not self.isolated:
                self._tell(record)
        if refused:
            # Nobody listens at its address: that is its end and not a slow network.
            early = now - SUSPICION_SECONDS + REFUSED_SECONDS
            record.suspected_at = min(record.suspected_at, early)
        return new

    def looks_isolated(self, watched: collections.abc.Collection[str]) -> bool:
        """Returns whether so many of those that this process watches are silent that it must
        ask others before it believes that they, and not itself, are cut off."""
        known = [self._records[name] for name in watched if name in self._records]
        silent = sum(record.state is not MemberState.ALIVE for record in known)
        return len(known) >= FEWEST_WATCHED and silent > len(known) * SILENT_FRACTION

    def tick(self, now: float) -> list[str]:
        """Ends suspicions that nobody refuted and forgets the unlisted; returns the new dead."""
        dead = []
        for name in list(self._pending):
            record = self._records.get(name)
            suspected = record is not None and record.state is MemberState.SUSPECT
            if record is None or not (suspected or record.listed is None):
                self._pending.discard(name)
                continue
            if suspected and not self.isolated and now - record.suspected_at >= SUSPICION_SECONDS:
                self._set_state(record, MemberState.DEAD, now)
                self._tell(record)
                dead.append(record.name)
            quiet_for = now - max(record.unlisted_at, record.heard_at)
            if record.listed is None and quiet_for > UNLISTED_SECONDS:
                del self._records[record.name]
                self.version += 1
        return dead

    def forgive(self, seconds: float) -> None:
        """Takes that this process itself slept: nobody's silence meanwhile counts."""
        for record in self._records.values():
            record.suspected_at += seconds
            if record.unlisted_at:
                record.unlisted_at += seconds

    def _add_listed(self, listed: dict[str, Instance]) -> None:
        for name, instance in listed.items():
            record = self._records.get(name)
            if record is None:
                record = self._records[name] = MemberRecord(instance, listed=instance)
                self.version += 1
            elif record.listed != instance:
                self._take_listed(record, instance)
            record.listed = instance

    def _take_listed(self, record: MemberRecord, instance: Instance) -> None:
        before = record.listed or record.instance
        moved = (before.host, before.peer_port, before.http_port) != (
            instance.host,
            instance.peer_port,
            instance.http_port,
        )
        self.version += 1
        if moved and address_of(record.instance) != address_of(instance):
            # The slot was given to a new process: nothing known of the one before holds.
            self._records[instance.name] = MemberRecord(instance, listed=instance)
        elif address_of(record.instance) == address_of(instance):
            record.instance = instance

    def _take_told_address(self, record: MemberRecord) -> bool:
        # A frozen list names the slot's last process; the present one told where it is.
        if record.status is None or not record.status.peer_port:
            return False
        told = instance_from(record.status)
        if address_of(told) == address_of(record.instance):
            return False
        record.instance = told
        self.version += 1
        return True

    def _set_state(self, record: MemberRecord, state: MemberState, now: float) -> None:
        if record.state is state:
            return
        if state is MemberState.ALIVE:
            record.flaps = flaps_now(record, now) + 1.0
            record.flapped_at = now
        if state is MemberState.SUSPECT:
            record.suspected_at = now
            self._pending.add(record.name)
        record.state = state
        self.version += 1

    def _tell(self, record: MemberRecord) -> None:
        self._news.append(record.news())
        self.version += 1
