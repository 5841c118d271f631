"""The Watch streams that this process opens: closed when silent, and reopened with backoff."""

import asyncio
import collections.abc
import random

from ..core.instance import Instance
from . import peer_client
from .peer_link import LinkOwner, PeerLink

INITIAL_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0
LINGER_SECONDS = 10.0


class OutboundLink:
    """One wanted stream, and the task that maintains it.

    Attributes:
      unwanted_at: When the instance was first found to be no longer wanted, or None.
    """

    __slots__ = ("instance", "link", "task", "unwanted_at")

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.link: PeerLink | None = None
        self.task: asyncio.Task[None] | None = None
        self.unwanted_at: float | None = None


class OutboundLinks:
    """Maintains a stream to each wanted instance, and reports each loss immediately."""

    __slots__ = ("_owner", "_gossip", "_silence_seconds", "_on_lost", "_links")

    def __init__(
        self,
        owner: LinkOwner,
        gossip: bool,
        silence_seconds: float,
        on_lost: collections.abc.Callable[[str, bool], None],
    ) -> None:
        """Creates the set, without links.

        Args:
          gossip: Whether both ends push.
          silence_seconds: How long a stream may be silent before it counts as lost.
          on_lost: Called on each loss with the member's name and whether it refused the
            connection.
        """
        self._owner = owner
        self._gossip = gossip
        self._silence_seconds = silence_seconds
        self._on_lost = on_lost
        self._links: dict[str, OutboundLink] = {}

    @property
    def names(self) -> list[str]:
        """The names of the instances that this process watches or tries to watch."""
        return list(self._links)

    @property
    def live(self) -> list[PeerLink]:
        """The streams on which a status has been received."""
        links = (outbound.link for outbound in self._links.values())
        return [link for link in links if link is not None and link.status is not None]

    def set_wanted(self, wanted: list[Instance], now: float) -> None:
        """Opens missing streams to wanted instances, and closes those unwanted for a while."""
        by_name = {instance.name: instance for instance in wanted}
        for name, outbound in list(self._links.items()):
            instance = by_name.get(name)
            if instance is None:
                # The plans of different processes differ for a moment. Closing immediately
                # would disconnect children that have not opened their new link yet.
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
                outbound.task = asyncio.ensure_future(self._maintain(outbound))

    def close_silent(self, now: float) -> None:
        """Closes streams that received nothing for too long, as a hung peer does not close them."""
        for outbound in self._links.values():
            link = outbound.link
            if link is not None and now - link.last_received_at > self._silence_seconds:
                link.end()

    def exclude_pause(self, seconds: float) -> None:
        """Excludes a pause of this process from the silence of its streams."""
        for outbound in self._links.values():
            if outbound.link is not None:
                outbound.link.last_received_at += seconds

    def wake_all(self) -> None:
        """Makes every live stream push immediately."""
        for link in self.live:
            link.wake()

    async def close_all(self) -> None:
        """Closes every stream and waits for its task to end."""
        tasks = [outbound.task for outbound in self._links.values()]
        for name in self.names:
            self._close(name)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _close(self, name: str) -> None:
        outbound = self._links.pop(name)
        if outbound.task is not None:
            outbound.task.cancel()

    async def _maintain(self, outbound: OutboundLink) -> None:
        instance = outbound.instance
        retry_seconds = INITIAL_RETRY_SECONDS
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
            except Exception as error:
                # Without its task the instance would not be watched again.
                asyncio.get_running_loop().call_exception_handler(
                    {"message": f"the stream to {instance.name} failed", "exception": error}
                )
            outbound.link = None
            self._on_lost(instance.name, refused)
            if link.status is not None:
                retry_seconds = INITIAL_RETRY_SECONDS
            await asyncio.sleep(retry_seconds * random.uniform(0.5, 1.0))
            retry_seconds = min(MAX_RETRY_SECONDS, retry_seconds * 2)

    async def _watch_until_lost(self, instance: Instance, link: PeerLink) -> None:
        # Where the network drops packets, connecting itself may hang. close_silent has no effect
        # before the stream is open, so the first message has a timeout here.
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
    """Returns the host and port on which an instance accepts peers."""
    return instance.host, instance.peer_port
