"""Membership: joins the platform's instance list, which lags, with evidence from the members.

Load pattern: 21 instances fail and 320 are replaced on an ordinary day, while the list lags,
freezes, is empty for a moment or contains dead instances; now and then a rack or a data centre
fails at once. With the list alone, requests would go to dead endpoints for as long as it lags, and
an empty list would take the whole fleet out of routing. With evidence alone, a process with one
broken network card would declare every member dead. A member that falls silent is therefore
suspected first, and can refute that with a later status. A process to which too many members fall
silent at once declares none dead until it knows that others still respond to it.
"""

import collections.abc

from ..core.instance import Instance
from ..core.status import Status
from .member_record import MemberRecord, address_of, decayed_flaps, instance_from_status
from .member_update import MemberState, MemberUpdate

SUSPICION_TIMEOUT_SECONDS = 4.0
REFUSED_TIMEOUT_SECONDS = 0.5
RECENT_MESSAGE_SECONDS = 2.0
UNLISTED_TIMEOUT_SECONDS = 30.0
MAX_IMPLAUSIBLE_SECONDS = 300.0
MIN_KEPT_FRACTION = 0.5
MAX_SILENT_FRACTION = 0.5
MIN_WATCHED = 3
MAX_FLAPS = 3.0


class MemberTable:
    """The members that one process knows, not including itself.

    Attributes:
      version: Incremented whenever the set of usable members or an address changes.
      isolated: Whether this process itself may be cut off, so that it declares no member dead.
    """

    __slots__ = (
        "_name",
        "_records",
        "_updates",
        "_implausible_at",
        "_pending",
        "version",
        "isolated",
    )

    def __init__(self, name: str) -> None:
        self._name = name
        self._records: dict[str, MemberRecord] = {}
        self._updates: list[MemberUpdate] = []
        self._implausible_at: float | None = None
        # Names of the members that a tick may change, so that it does not visit the others.
        self._pending: set[str] = set()
        self.version = 0
        self.isolated = False

    @property
    def records(self) -> collections.abc.ValuesView[MemberRecord]:
        """All known members, including the dead."""
        return self._records.values()

    @property
    def list_is_implausible(self) -> bool:
        """Whether too many members vanished from the list at once, so that it is not followed."""
        return self._implausible_at is not None

    def get(self, name: str) -> MemberRecord | None:
        """Returns a member, or None if it is unknown."""
        return self._records.get(name)

    def usable(self, now: float) -> list[MemberRecord]:
        """Returns the members to contact: those not suspected, dead or flapping."""
        return [
            record
            for record in self._records.values()
            if record.state is MemberState.ALIVE
            and decayed_flaps(record, now) <= MAX_FLAPS
            and record.instance.peer_port
        ]

    def drain_updates(self) -> list[MemberUpdate]:
        """Returns and clears the updates since the last call, to be sent to other members."""
        updates, self._updates = self._updates, []
        return updates

    def apply_list(self, instances: collections.abc.Iterable[Instance], now: float) -> None:
        """Applies the platform's list, which this process or another member has read."""
        listed = {i.name: i for i in instances if i.name != self._name}
        before = [record for record in self._records.values() if record.listed is not None]
        kept = sum(record.name in listed for record in before)
        if kept < len(before) * MIN_KEPT_FRACTION:
            # An empty or truncated list would take the fleet out of routing within one read. An
            # operator sees LIST_IMPLAUSIBLE; meanwhile only evidence removes members.
            self._implausible_at = now if self._implausible_at is None else self._implausible_at
            if now - self._implausible_at < MAX_IMPLAUSIBLE_SECONDS:
                self._add_listed(listed)
                return
        self._implausible_at = None
        self._add_listed(listed)
        for record in before:
            if record.name not in listed:
                record.listed = None
                record.unlisted_at = now
                self._pending.add(record.name)

    def apply_status(self, status: Status, now: float) -> None:
        """Applies a status that a member sent to this process about itself."""
        if status.name == self._name:
            return
        record = self._records.get(status.name)
        if record is None:
            record = MemberRecord(instance_from_status(status), unlisted_at=now)
            self._records[status.name] = record
            self._pending.add(record.name)
        elif status.incarnation < record.incarnation:
            return
        newer = status.incarnation > record.incarnation
        if not newer and status.sequence < record.sequence:
            return
        status_received_before = bool(record.incarnation)
        changed = newer or record.state is not MemberState.ALIVE
        if newer:
            record.incarnation = status.incarnation
            record.reported_leaving = False
            # The listed address may reach the daemon in a way that the daemon does not know of. The
            # reported address replaces it only if the list cannot mean this incarnation.
            if status.peer_port and (status_received_before or record.listed is None):
                record.instance = instance_from_status(status)
        changed = changed or status.leaving > record.reported_leaving
        record.reported_leaving = record.reported_leaving or status.leaving
        record.sequence = status.sequence
        record.status = status
        record.last_message_at = now
        self._set_state(record, MemberState.ALIVE, now)
        if changed:
            self._publish(record)

    def apply_heartbeat(self, name: str, sequence: int, now: float) -> None:
        """Applies a heartbeat of the incarnation whose status is known."""
        record = self._records.get(name)
        if record is None or sequence < record.sequence:
            return
        record.sequence = sequence
        record.last_message_at = now
        if record.state is not MemberState.ALIVE:
            self._set_state(record, MemberState.ALIVE, now)
            self._publish(record)

    def apply_update(self, update: MemberUpdate, now: float) -> bool:
        """Applies an update about a member; returns whether this process must refute it."""
        if update.name == self._name:
            return update.state is not MemberState.ALIVE
        record = self._records.get(update.name)
        if record is None:
            if update.instance is None or update.state is not MemberState.ALIVE:
                return False
            record = MemberRecord(update.instance, unlisted_at=now)
            self._records[update.name] = record
            self._pending.add(record.name)
        held = (record.incarnation, record.sequence, record.state)
        if (update.incarnation, update.sequence, update.state) <= held:
            return False
        newer = update.incarnation > record.incarnation
        recently_heard = now - record.last_message_at < RECENT_MESSAGE_SECONDS and not newer
        if update.state is not MemberState.ALIVE and recently_heard:
            # The sender's own link to the member is broken; this process still receives messages
            # from the member, and sends an update that says so.
            self._publish(record)
            return False
        if newer or update.leaving > record.reported_leaving or update.state is not record.state:
            self._updates.append(update)
            self.version += 1
        if newer and update.instance is not None:
            record.passed_on = update.instance
            # As with a status, a listed address stays if the list can mean this incarnation.
            if record.incarnation or record.listed is None:
                record.instance = update.instance
        record.reported_leaving = (
            update.leaving if newer else record.reported_leaving or update.leaving
        )
        record.incarnation = update.incarnation
        record.sequence = update.sequence
        self._set_state(record, update.state, now)
        return False

    def suspect(self, name: str, now: float, refused: bool = False) -> bool:
        """Marks a member as suspected after missed heartbeats or a refused connection.

        Returns:
          Whether the member is newly suspected.
        """
        record = self._records.get(name)
        if record is None or record.state is MemberState.DEAD:
            return False
        if refused and self._use_reported_address(record):
            return False
        newly_suspected = record.state is MemberState.ALIVE
        if newly_suspected:
            self._set_state(record, MemberState.SUSPECT, now)
            if not self.isolated:
                self._publish(record)
        if refused:
            # No process listens at its address: it has ended, which a slow network cannot cause.
            early = now - SUSPICION_TIMEOUT_SECONDS + REFUSED_TIMEOUT_SECONDS
            record.suspected_at = min(record.suspected_at, early)
        return newly_suspected

    def may_be_isolated(self, watched: collections.abc.Collection[str]) -> bool:
        """Returns whether this process may be cut off: too many watched members are silent.

        It must then contact other members before it declares the silent ones dead.
        """
        known = [self._records[name] for name in watched if name in self._records]
        silent = sum(record.state is not MemberState.ALIVE for record in known)
        return len(known) >= MIN_WATCHED and silent > len(known) * MAX_SILENT_FRACTION

    def tick(self, now: float) -> list[str]:
        """Declares members dead whose suspicion expired, and removes unlisted silent ones.

        Returns:
          The names of the members that are newly dead.
        """
        dead = []
        for name in list(self._pending):
            record = self._records.get(name)
            suspected = record is not None and record.state is MemberState.SUSPECT
            if record is None or not (suspected or record.listed is None):
                self._pending.discard(name)
                continue
            if (
                suspected
                and not self.isolated
                and now - record.suspected_at >= SUSPICION_TIMEOUT_SECONDS
            ):
                self._set_state(record, MemberState.DEAD, now)
                self._publish(record)
                dead.append(record.name)
            silent_for = now - max(record.unlisted_at, record.last_message_at)
            if record.listed is None and silent_for > UNLISTED_TIMEOUT_SECONDS:
                del self._records[record.name]
                self.version += 1
        return dead

    def extend_time_limits(self, seconds: float) -> None:
        """Extends the time limits by a pause of this process, when silence was no evidence."""
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
                self._apply_listed(record, instance)
            record.listed = instance

    def _apply_listed(self, record: MemberRecord, instance: Instance) -> None:
        before = record.listed or record.instance
        moved = (before.host, before.peer_port, before.http_port) != (
            instance.host,
            instance.peer_port,
            instance.http_port,
        )
        self.version += 1
        if moved and address_of(record.instance) != address_of(instance):
            # The slot was given to a new process, so the record of the old one is dropped.
            self._records[instance.name] = MemberRecord(instance, listed=instance)
        elif address_of(record.instance) == address_of(instance):
            record.instance = instance

    def _use_reported_address(self, record: MemberRecord) -> bool:
        # A frozen list has the address of the slot's previous process; the present one reported
        # its own, here or to a member that passed it on.
        reported = record.passed_on
        if record.status is not None and record.status.peer_port:
            reported = instance_from_status(record.status)
        if reported is None or address_of(reported) == address_of(record.instance):
            return False
        record.instance = reported
        self.version += 1
        return True

    def _set_state(self, record: MemberRecord, state: MemberState, now: float) -> None:
        if record.state is state:
            return
        if state is MemberState.ALIVE:
            record.flaps = decayed_flaps(record, now) + 1.0
            record.flapped_at = now
        if state is MemberState.SUSPECT:
            record.suspected_at = now
            self._pending.add(record.name)
        record.state = state
        self.version += 1

    def _publish(self, record: MemberRecord) -> None:
        self._updates.append(record.to_update())
        self.version += 1
