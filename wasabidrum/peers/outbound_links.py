"""The Watch streams that this process opens: kept up, ended when silent, opened again."""

import asyncio
import collections.abc
import random

from ..core.instance import Instance
from . import peer_client
from .peer_link import LinkOwner, PeerLink

FIRST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 5.0
LINGER_SECONDS = 10.0


class OutboundLink:
    """One stream that is wanted, and the task that keeps it."""

    __slots__ = ("instance", "link", "task", "unwanted_at")

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.link: PeerLink | None = None
        self.task: asyncio.Task[None] | None = None
        self.unwanted_at: float | None = None


class OutboundLinks:
    """Keeps a stream to each wanted instance, and says at once when one is lost."""

    __slots__ = ("_owner", "_gossip", "_silence_seconds", "_on_lost", "_links")

    def __init__(
        self,
        owner: LinkOwner,
        gossip: bool,
        silence_seconds: float,
        on_lost: collections.abc.Callable[[str, bool], None],
    ) -> None:
        """Takes what to call with a name, and whether it refuses connections, on a loss."""
        self._owner = owner
        self._gossip = gossip
        self._silence_seconds = silence_seconds
        self._on_lost = on_lost
        self._links: dict[str, OutboundLink] = {}

    @property
    def names(self) -> list[str]:
        """Whom this process watches or tries to."""
        return list(self._links)

    @property
    def live(self) -> list[PeerLink]:
        """The streams that something was heard on."""
        links = (outbound.link for outbound in self._links.values())
        return [link for link in links if link is not None and link.status is not None]

    def keep(self, wanted: list[Instance], now: float) -> None:
        """Opens what is wanted and missing; closes what has been unwanted for a while."""
        by_name = {instance.name: instance for instance in wanted}
        for name, outbound in list(self._links.items()):
            instance = by_name.get(name)
            if instance is None:
                # Plans of different processes differ for a moment. Closing at once would
                # cut children off that have not opened their new link yet.
                outbound.unwanted_at = outbound.unwanted_at or now
                if now - outbound.unwanted_at > LINGER_SECONDS:
                    self._close(name)
            elif address_of(instance) != address_of(outbound.instance):
                self._close(name)
            else:
                outbound.unwanted_at = None
        for name, instance in by_name.items():
            if name not in self._links:
                outbound = self._links[name] = OutboundLink(instance)
                outbound.task = asyncio.ensure_future(self._hold(outbound))

    def end_silent(self, now: float) -> None:
        """Ends streams on which nothing came for too long; a hung peer closes nothing."""
        for outbound in self._links.values():
            link = outbound.link
            if link is not None and now - link.heard_at > self._silence_seconds:
                link.end()

    def forgive(self, seconds: float) -> None:
        """Takes that this process itself slept."""
        for outbound in self._links.values():
            if outbound.link is not None:
                outbound.link.heard_at += seconds

    def wake_all(self) -> None:
        """Has every stream push at once."""
        for link in self.live:
            link.wake()

    async def close_all(self) -> None:
        """Ends every stream."""
        tasks = [outbound.task for outbound in self._links.values()]
        for name in self.names:
            self._close(name)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _close(self, name: str) -> None:
        outbound = self._links.pop(name)
        if outbound.task is not None:
            outbound.task.cancel()

    async def _hold(self, outbound: OutboundLink) -> None:
        instance = outbound.instance
        pause = FIRST_RETRY_SECONDS
        while True:
            link = PeerLink(instance.name, self._gossip, self._owner)
            outbound.link = link
            refused = False
            try:
                await self._watch_until_lost(instance, link)
            except ConnectionRefusedError:
                refused = True
            except peer_client.STREAM_ERRORS:
                pass
            outbound.link = None
            self._on_lost(instance.name, refused)
            if link.status is not None:
                pause = FIRST_RETRY_SECONDS
            await asyncio.sleep(pause * random.uniform(0.5, 1.0))
            pause = min(LONGEST_RETRY_SECONDS, pause * 2)

    async def _watch_until_lost(self, instance: Instance, link: PeerLink) -> None:
        # The connection itself may hang in a network that drops packets, before there is
        # a stream whose silence end_silent could notice.
        watching = asyncio.ensure_future(peer_client.watch(instance.host, instance.peer_port, link))
        try:
            await asyncio.wait((watching,), timeout=self._silence_seconds)
            if not watching.done() and link.status is None:
                return
            await asyncio.wait((watching,))
            watching.result()
        finally:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)


def address_of(instance: Instance) -> tuple[str, int]:
    """Returns where an instance takes peers."""
    return instance.host, instance.peer_port
