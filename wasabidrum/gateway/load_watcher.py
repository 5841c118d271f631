"""Watches the sidecars of the engines that an entry sends to, for what the engines are doing."""

import asyncio
import collections.abc

from ..config.deployment import Deployment
from ..core.instance import Instance, InstanceRole
from ..core.status import Status
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.outbound_links import OutboundLinks
from ..peers.peer_link import PeerLink
from ..peers.peer_messages import Push
from ..weights.chunk_member import CHUNK_PORT_OFFSET
from .published_state import PublishedState

CHOOSE_SECONDS = 0.25
# A sidecar tells something every 0.75 s; three beats missing mean that the stream hangs.
SILENCE_SECONDS = 2.5


class LoadWatcher:
    """Keeps a stream to each engine's sidecar, and hands on what it tells.

    Attributes:
      on_status: Called with each sidecar's account.
    """

    def __init__(
        self,
        deployment: Deployment,
        state: PublishedState,
        log: EventLog,
        incarnation: str,
        on_status: collections.abc.Callable[[Status], None],
    ) -> None:
        self._deployment = deployment
        self._state = state
        self._log = log
        self._incarnation = incarnation
        self._sequence = 0
        self._links = OutboundLinks(self, False, SILENCE_SECONDS, self._lose)
        self._chosen_for = (-1, -1)
        self._heard: set[str] = set()
        self._told_limits: list[tuple[str, int, int]] = []
        self.on_status = on_status

    def status(self) -> Status:
        """See LinkOwner."""
        self._sequence += 1
        own = self._deployment
        return Status(
            name=own.name,
            role=InstanceRole.ENTRY,
            incarnation=self._incarnation,
            sequence=self._sequence,
            region=own.region,
            data_centre=own.data_centre,
            host=own.host,
            http_port=own.first_port + CHUNK_PORT_OFFSET,
            placing_limits=self._state.placing_limits(),
        )

    def take_push(self, link: PeerLink, push: Push) -> None:
        """See LinkOwner."""
        status = link.whole_status(push)
        if status is None:
            return
        if link.name not in self._heard:
            self._heard.add(link.name)
            self._log.write(Event.MEMBER_JOINED, member=link.name)
        self.on_status(status)

    async def run(self) -> None:
        """Watches for ever."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._links.end_silent(loop.time())
                self._tell_limits()
                state = (self._state.endpoints.version, self._state.version)
                if state != self._chosen_for:
                    self._chosen_for = state
                    self._links.keep(self._choose(), loop.time())
                await asyncio.sleep(CHOOSE_SECONDS)
        finally:
            await self._links.close_all()

    def _tell_limits(self) -> None:
        """Tells sidecars of versions that were named, and where an outage puts them off."""
        limits = [(v.model, v.version, v.put_off) for v in self._state.placing_limits()]
        if limits != self._told_limits:
            self._told_limits = limits
            self._links.wake_all()

    def _choose(self) -> list[Instance]:
        own = self._deployment
        return [
            Instance(
                endpoint.host,
                InstanceRole.SIDECAR,
                own.region_of.get(endpoint.data_centre, ""),
                endpoint.data_centre,
                endpoint.host,
                0,
                own.first_port,
            )
            for endpoint in self._state.endpoints.endpoints
            if self._state.engine_of(endpoint.service) is not None
        ]

    def _lose(self, name: str, refused: bool) -> None:
        if name in self._heard:
            self._heard.discard(name)
            self._log.write(Event.MEMBER_SUSPECTED, member=name, refused=refused)
