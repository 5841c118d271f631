"""Feeds the endpoint table from watch streams to the endpoints that this entry works with."""

import asyncio
import collections

from ..config.settings import Settings
from ..core.fleet import FleetRevision
from ..core.instance import Instance, InstanceRole
from ..core.status import Status
from ..decisions import endpoint_subset
from ..decisions.member_record import MemberRecord, instance_from_status
from ..decisions.member_update import MemberState
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.configuration_follower import ConfigurationFollower
from ..peers.outbound_links import OutboundLinks
from ..peers.peer_link import PeerLink
from ..peers.peer_messages import Push
from ..peers.peer_node import PeerNode
from .endpoint_table import STATUS_EXPIRES_SECONDS, EndpointTable

TICK_SECONDS = 0.25
MIN_CHOOSE_INTERVAL_SECONDS = 0.5


class EndpointWatcher:
    """Watches this entry's subset of endpoints, and updates it with members and configuration."""

    __slots__ = ("_settings", "_node", "_table", "_follower", "_log", "_links")
    __slots__ += ("_chosen_for_state", "_chosen_at")

    def __init__(
        self,
        settings: Settings,
        node: PeerNode,
        table: EndpointTable,
        follower: ConfigurationFollower,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._node = node
        self._table = table
        self._follower = follower
        self._log = log
        self._links = OutboundLinks(self, False, STATUS_EXPIRES_SECONDS, self._record_loss)
        self._chosen_for_state: tuple[int, int] = (-1, -1)
        self._chosen_at = float("-inf")
        node.on_pause.append(self._exclude_pause)
        table.find_member = self._find_member

    def status(self) -> Status:
        """See LinkOwner."""
        return self._node.status()

    def handle_push(self, link: PeerLink, push: Push) -> None:
        """See LinkOwner."""
        self._node.handle_push(link, push)
        if link.status is not None and self._table.record_status(link.status):
            self._log.write(Event.ENDPOINT_BACK, endpoint=link.name)

    async def run(self) -> None:
        """Keeps the subset and its streams up to date until cancelled."""
        loop = asyncio.get_running_loop()
        # The links of an earlier run are closed.
        self._chosen_for_state = (-1, -1)
        try:
            while True:
                now = loop.time()
                self._links.close_silent(now)
                state = (self._node.table.version, self._follower.revision)
                if (
                    state != self._chosen_for_state
                    and now - self._chosen_at >= MIN_CHOOSE_INTERVAL_SECONDS
                ):
                    self._chosen_for_state = state
                    self._chosen_at = now
                    self._choose(now)
                await asyncio.sleep(TICK_SECONDS)
        finally:
            await self._links.close_all()

    def _choose(self, now: float) -> None:
        records = [r for r in self._node.table.records if r.state is not MemberState.DEAD]
        usable = {record.name for record in self._node.table.usable(now)}
        me = instance_from_status(self._node.status())
        entries = [r.instance for r in records if r.instance.role is InstanceRole.ENTRY]
        groups = group_endpoints(records, self._follower.current)
        size = endpoint_subset.subset_size(len(groups))
        chosen: dict[str, Instance] = {}
        for endpoints in groups.values():
            unusable = {e.name for e in endpoints if e.name not in usable}
            picked = endpoint_subset.choose_subset(me, [*entries, me], endpoints, unusable, size)
            chosen |= {endpoint.name: endpoint for endpoint in picked}
        self._table.update_instances(tuple(chosen.values()))
        self._links.set_wanted([e for e in chosen.values() if e.peer_port], now)

    def _record_loss(self, name: str, refused: bool) -> None:
        if self._table.record_loss(name, refused):
            self._log.write(Event.ENDPOINT_OUT, endpoint=name, refused=refused)
        self._node.suspect(name, refused)

    def _find_member(self, name: str) -> Instance | None:
        record = self._node.table.get(name)
        if record is None or record.state is MemberState.DEAD:
            return None
        return record.instance

    def _exclude_pause(self, seconds: float) -> None:
        self._links.exclude_pause(seconds)
        self._table.exclude_pause(seconds)


def group_endpoints(
    records: list[MemberRecord], current: FleetRevision | None
) -> dict[tuple[str, str], list[Instance]]:
    """Groups the sidecars by the model and service that the configuration assigns to them."""
    groups: dict[tuple[str, str], list[Instance]] = collections.defaultdict(list)
    specs = current.fleet.endpoints if current is not None else {}
    for record in records:
        spec = specs.get(record.name)
        if record.instance.role is InstanceRole.SIDECAR and spec is not None:
            groups[(spec.model, spec.service)].append(record.instance)
    return groups
