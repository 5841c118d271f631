"""Watches the sidecars of the engines that an entry sends to, for the engines' load and state."""

import asyncio
import collections.abc

from ..config.deployment import Deployment
from ..core.instance import Instance, InstanceRole
from ..core.load_report import LoadReport
from ..core.part_report import PartReport
from ..core.status import Status
from ..decisions.report_order import ReportOrder
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.outbound_links import OutboundLinks
from ..peers.peer_link import PeerLink
from ..peers.peer_messages import Push
from ..weights.chunk_member import CHUNK_PORT_OFFSET
from .published_state import PublishedState
from .report_receiver import ReportReceiver

UPDATE_INTERVAL_SECONDS = 0.25
# A sidecar sends a status every 0.75 s; three missing ones mean that the stream hangs.
SILENCE_SECONDS = 2.5


class LoadWatcher:
    """Keeps a stream open to each engine's sidecar and passes on the statuses it sends.

    Changes of load arrive as datagrams between the stream's statuses.

    Attributes:
      on_status: Called with each status.
      on_load: Called with each status of which only the load and the weights are new.
      find_held_version: Returns the version of which this entry holds its share; zero if none.
      find_parts: Returns the prompt parts that the sidecars have to know.
      on_parts: Called with a sidecar's name and the prompt parts that it knows.
    """

    def __init__(
        self,
        deployment: Deployment,
        state: PublishedState,
        log: EventLog,
        incarnation: str,
        on_status: collections.abc.Callable[[Status], None],
        on_load: collections.abc.Callable[[Status], None],
    ) -> None:
        self._deployment = deployment
        self._state = state
        self._log = log
        self._incarnation = incarnation
        self._sequence = 0
        self._links = OutboundLinks(self, False, SILENCE_SECONDS, self._on_link_lost)
        # The versions of the endpoints and the configuration that the links were opened for.
        self._linked_for = (-1, -1)
        self._connected: set[str] = set()
        # What the sidecars were told last of the placing limits, the version held here and parts.
        self._sent: tuple[object, ...] = ([], 0, [])
        self._order = ReportOrder()
        self._receiver = ReportReceiver(log, self._handle_report)
        self.on_status = on_status
        self.on_load = on_load
        self.find_held_version = lambda: 0
        self.find_parts: collections.abc.Callable[[], tuple[PartReport, ...]] = tuple
        self.on_parts: collections.abc.Callable[[str, tuple[PartReport, ...]], None] = ignore_parts

    def status(self) -> Status:
        """See LinkOwner."""
        self._sequence += 1
        deployment = self._deployment
        return Status(
            name=deployment.name,
            role=InstanceRole.ENTRY,
            incarnation=self._incarnation,
            sequence=self._sequence,
            region=deployment.region,
            data_centre=deployment.data_centre,
            host=deployment.host,
            http_port=deployment.first_port + CHUNK_PORT_OFFSET,
            peer_port=deployment.first_port,
            placing_limits=self._state.placing_limits(),
            link_mbit=deployment.link_mbit,
            staged=str(self.find_held_version() or ""),
            parts=self.find_parts(),
        )

    def handle_push(self, link: PeerLink, push: Push) -> None:
        """See LinkOwner."""
        status = link.merge_push(push)
        if status is None:
            return
        if link.name not in self._connected:
            self._connected.add(link.name)
            self._log.write(Event.MEMBER_JOINED, member=link.name)
        # Ages in a status count from its arrival, so one that was not sent anew is outdated.
        if push.status is not None:
            self.on_parts(link.name, status.parts)
        self.on_status(self._order.add_status(status))

    async def run(self) -> None:
        """Watches until cancelled."""
        loop = asyncio.get_running_loop()
        # The links of an earlier run are closed.
        self._linked_for = (-1, -1)
        await self._receiver.start(self._deployment.host, self._deployment.first_port)
        try:
            while True:
                self._links.close_silent(loop.time())
                self._push_changes()
                versions = (self._state.endpoints.version, self._state.version)
                if versions != self._linked_for:
                    self._linked_for = versions
                    self._links.set_wanted(self._sidecars_to_watch(), loop.time())
                await asyncio.sleep(UPDATE_INTERVAL_SECONDS)
        finally:
            self._receiver.stop()
            await self._links.close_all()

    def _handle_report(self, report: LoadReport) -> None:
        status = self._order.add_report(report)
        if status is not None:
            self.on_load(status)

    def _push_changes(self) -> None:
        """Sends the sidecars new placing limits, those that a store outage has postponed, the
        version that this entry has come to hold, and prompt parts that crash engines."""
        placing_limits = self._state.placing_limits()
        limits = [(v.model, v.version, v.put_off) for v in placing_limits]
        for limit, key in zip(placing_limits, limits, strict=True):
            if key not in self._sent[0]:
                self._log.write(
                    Event.PLACING_LIMIT_SET,
                    model=limit.model,
                    version=limit.version,
                    seconds=round(limit.seconds, 3),
                    put_off=limit.put_off,
                )
        parts = [(p.part, p.epoch, p.crashes, p.inconclusive, p.regions) for p in self.find_parts()]
        current = (limits, self.find_held_version(), parts)
        if current != self._sent:
            self._sent = current
            self._links.wake_all()

    def _sidecars_to_watch(self) -> list[Instance]:
        deployment = self._deployment
        return [
            Instance(
                endpoint.host,
                InstanceRole.SIDECAR,
                deployment.region_of.get(endpoint.data_centre, ""),
                endpoint.data_centre,
                endpoint.host,
                0,
                deployment.first_port,
            )
            for endpoint in self._state.endpoints.endpoints
            if self._state.engine_figures(endpoint.service) is not None
        ]

    def _on_link_lost(self, name: str, refused: bool) -> None:
        self._order.forget(name)
        self.on_parts(name, ())
        if name in self._connected:
            self._connected.discard(name)
            self._log.write(Event.MEMBER_SUSPECTED, member=name, refused=refused)


def ignore_parts(sidecar: str, parts: tuple[PartReport, ...]) -> None:
    """The default on_parts callback; does nothing."""
