"""Tests of peer nodes in a network partition, over real sockets in one process.

The partition is simulated where a node opens a stream or a call, so that both sides keep
running with the state that they have.
"""

import asyncio
import collections.abc
import contextvars
import time
import unittest
import unittest.mock

import logbook

from tests.paused_clock import PausedClockCase
from wasabidrum.config.settings import PlatformSettings, Settings
from wasabidrum.core.errors import CodedError
from wasabidrum.core.incarnation import make_incarnation
from wasabidrum.core.instance import Instance, InstanceList, InstanceRole
from wasabidrum.core.status import Status
from wasabidrum.observe.event_log import EventLog
from wasabidrum.peers import peer_client
from wasabidrum.peers.configuration_follower import ConfigurationFollower
from wasabidrum.peers.configuration_follower_test import FakeService, make_value
from wasabidrum.peers.peer_node import PeerNode

SIDES = ("rift-a", "nbi-a")
EACH = 4
WAIT_SECONDS = 15.0

# The data centre of the node whose code is running; tasks inherit it from their creator.
SIDE: contextvars.ContextVar[str] = contextvars.ContextVar("SIDE")


class FakeDirectory:
    """An instance list that is the same for all nodes."""

    def __init__(self) -> None:
        self.instances: tuple[Instance, ...] = ()

    async def read(self) -> InstanceList:
        """See InstanceDirectory."""
        return InstanceList(time.time(), self.instances)


class Network:
    """Passes calls between nodes, except between the two sides during a partition."""

    def __init__(self) -> None:
        self.side_of: dict[int, str] = {}
        self.whole = asyncio.Event()
        self.whole.set()
        self.cut = asyncio.Event()
        self.crossing = 0
        self._watch = peer_client.watch
        self._fetch = peer_client.fetch_configuration

    async def set_cut(self, cut: bool) -> None:
        """Starts or ends the partition; on a start, waits until no stream crosses it any more."""
        (self.cut if cut else self.whole).set()
        (self.whole if cut else self.cut).clear()
        while cut and self.crossing:
            await asyncio.sleep(0.01)

    def crosses(self, port: int) -> bool:
        """Returns whether a call of the running node to a port goes to the other side."""
        return self.side_of.get(port) != SIDE.get()

    async def watch(self, host: str, port: int, link: object) -> None:
        """See peer_client.watch; streams across the partition end, and none are opened."""
        self.crossing += self.crosses(port)
        watching = asyncio.ensure_future(self._watch(host, port, link))
        cut = asyncio.ensure_future(self.cut.wait() if self.crosses(port) else asyncio.sleep(3600))
        try:
            await asyncio.wait((watching, cut), return_when=asyncio.FIRST_COMPLETED)
            if watching.done():
                watching.result()
        finally:
            cut.cancel()
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
            self.crossing -= self.crosses(port)
        if self.crosses(port):
            await self.whole.wait()

    async def fetch_configuration(self, host: str, port: int, digest: str) -> object:
        """See peer_client.fetch_configuration."""
        if self.crosses(port) and self.cut.is_set():
            raise CodedError("peer_unreachable", "cut", 503)
        return await self._fetch(host, port, digest)


class Daemon:
    """The part of a daemon that follows the configuration and its peers."""

    def __init__(self, name: str, side: str, directory: FakeDirectory) -> None:
        self.service = FakeService()
        self._name = name
        self._side = side
        self._incarnation = make_incarnation()
        self._sequence = 0
        logger = logbook.Logger(name)
        logger.handlers.append(logbook.NullHandler())
        log = EventLog(logger, name)
        self.follower = ConfigurationFollower(self.service, side, log)
        settings = Settings(name, "sidecar", side, side, side, PlatformSettings("", "", ""))
        self.node = PeerNode(settings, directory, self.follower, self.status, log, fail)
        self.highest = 0

    def status(self) -> Status:
        """Returns the node's status."""
        self._sequence += 1
        self.highest = max(self.highest, self.follower.revision)
        return Status(
            self._name,
            InstanceRole.SIDECAR,
            self._incarnation,
            self._sequence,
            self._side,
            self._side,
            "127.0.0.1",
            1,
            self.node.peer_port,
            self.follower.revision,
            self.follower.tracker.digest,
            alarm=self.follower.tracker.alarm,
            reads_service=self.node.reads_service,
        )

    def instance(self) -> Instance:
        """Returns the node's entry in the instance list."""
        role, side, port = InstanceRole.SIDECAR, self._side, self.node.peer_port
        return Instance(self._name, role, side, side, "127.0.0.1", 1, port)


def fail(name: str, error: BaseException) -> None:
    """Raises an error for a background task that failed."""
    raise AssertionError(name) from error


class ControlPartitionTest(PausedClockCase):
    """Four nodes in each of two data centres, each node with its own configuration service."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.network = Network()
        for name in ("watch", "fetch_configuration"):
            patch = unittest.mock.patch.object(peer_client, name, getattr(self.network, name))
            self.enterContext(patch)
        self.directory = FakeDirectory()
        self.daemons = {
            f"{side}-{i}": Daemon(f"{side}-{i}", side, self.directory)
            for i in range(EACH)
            for side in SIDES
        }
        for name, daemon in self.daemons.items():
            SIDE.set(name[:-2])
            await daemon.node.start()
            self.network.side_of[daemon.node.peer_port] = name[:-2]
            self.addAsyncCleanup(daemon.node.stop)
            self.directory.instances += (daemon.instance(),)
        self.serve(2)
        await self.agree(2)
        await self.wait_for(lambda d: len(self.usable(d)) == len(self.daemons) - 1)

    def usable(self, daemon: Daemon) -> list[str]:
        """Returns the names of the peers that a daemon considers usable."""
        now = asyncio.get_running_loop().time()
        return [record.name for record in daemon.node.table.usable(now)]

    async def wait_for(self, holds: collections.abc.Callable[[Daemon], object]) -> None:
        """Waits until a condition holds for every daemon."""
        ends = self.loop.time() + WAIT_SECONDS
        while not all(holds(daemon) for daemon in self.daemons.values()):
            self.assertLess(self.loop.time(), ends)
            await asyncio.sleep(0.05)

    def at(self, side: str) -> list[Daemon]:
        """Returns the daemons of one side, or all if `side` is empty."""
        return [daemon for name, daemon in self.daemons.items() if name.startswith(side)]

    def serve(self, revision: int, side: str = "", text: str = "") -> None:
        """Makes the services of one side, or of both, serve a revision."""
        for daemon in self.at(side):
            daemon.service.value = make_value(revision, text)

    async def agree(self, revision: int, side: str = "") -> None:
        """Waits until a revision is in force at the daemons of one side, or at all, and checks that
        no daemon goes back to an older one."""
        ends = self.loop.time() + WAIT_SECONDS
        while {d.follower.revision for d in self.at(side)} != {revision}:
            self.assertLess(self.loop.time(), ends, [d.follower.revision for d in self.at(side)])
            for daemon in self.daemons.values():
                self.assertGreaterEqual(daemon.follower.revision, daemon.highest)
            await asyncio.sleep(0.05)

    async def test_both_sides_of_a_partition_follow_their_service_and_converge_after_it(
        self,
    ) -> None:
        """Two data centres are partitioned and their service copies differ: one side reads
        revisions 3 and 6, the other revision 4. After the partition all must have the highest
        revision, and none may go back."""
        await self.network.set_cut(True)
        self.serve(3, SIDES[0])
        await self.agree(3, SIDES[0])
        self.assertEqual({d.follower.revision for d in self.at(SIDES[1])}, {2})
        self.serve(4, SIDES[1])
        await self.agree(4, SIDES[1])
        self.serve(6, SIDES[0])
        await self.agree(6, SIDES[0])
        # Each side still considers its own members usable.
        for daemon in self.at(SIDES[0]):
            own = [name for name in self.usable(daemon) if name.startswith(SIDES[0])]
            self.assertEqual(len(own), EACH - 1)
        await self.network.set_cut(False)
        await self.agree(6)

    async def test_two_readers_read_different_revisions(self) -> None:
        """The service has several copies and one lags. Daemons that have received the newer
        revision must keep it, whichever reader reported last."""
        await self.wait_for(lambda d: len(d.node.plan.readers(SIDES[0])) == 2)
        names = self.at(SIDES[0])[0].node.plan.readers(SIDES[0])
        readers = [self.daemons[name] for name in names]
        await self.wait_for(lambda d: d.node.reads_service or d not in readers)
        readers[0].service.value = make_value(9)
        readers[1].service.value = make_value(5)
        await self.agree(9)
        await asyncio.sleep(1.5)
        await self.agree(9)

    async def test_a_watch_that_hangs_without_closing(self) -> None:
        """The service in one data centre accepts the watch and never answers. Its readers cannot
        detect that, so its daemons must learn of the change from the other data centre."""
        for daemon in self.at(SIDES[0]):
            daemon.service.fault = "hang"
        self.serve(7, SIDES[1])
        await self.agree(7)

    async def test_two_contents_of_one_revision_raise_an_alarm_everywhere(self) -> None:
        """The service was restored and reused a revision number, so that its copies differ. No
        daemon may replace the content that it has; every daemon must raise an alarm, which the
        next revision clears."""
        await self.network.set_cut(True)
        self.serve(3, SIDES[0], "a")
        self.serve(3, SIDES[1], "b")
        await self.agree(3)
        held = [daemon.follower.tracker.digest for daemon in self.daemons.values()]
        await self.network.set_cut(False)
        await self.wait_for(lambda d: d.follower.tracker.alarm)
        self.assertEqual([d.follower.tracker.digest for d in self.daemons.values()], held)
        self.serve(4)
        await self.agree(4)
        self.assertEqual({d.follower.tracker.alarm for d in self.daemons.values()}, {""})
