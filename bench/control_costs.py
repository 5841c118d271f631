"""Costs of single steps of control, measured in this process for docs/CAPACITY.md."""

import asyncio
import time
import tracemalloc

from grpclib import server
from tornado import netutil

from wasabidrum.config.bundle import Bundle, encode_bundle
from wasabidrum.core.config_value import ConfigValue
from wasabidrum.core.digest import digest_of
from wasabidrum.core.instance import Instance, InstanceList, InstanceRole
from wasabidrum.core.load import Load
from wasabidrum.core.status import Status
from wasabidrum.decisions import endpoint_subset
from wasabidrum.decisions.member_table import MemberTable
from wasabidrum.decisions.reader_plan import ReaderPlan
from wasabidrum.peers import peer_client
from wasabidrum.peers.configuration_follower import prepare_value
from wasabidrum.peers.instance_roster import InstanceRoster
from wasabidrum.peers.peer_link import PeerLink
from wasabidrum.peers.peer_messages import Push
from wasabidrum.peers.peer_service import PeerService

from .fleet_files import make_base

ENTRIES = 400
SIDECARS = 1900
DATA_CENTRES = 9
ENDPOINTS = 2000
SITES = 3
PUSHES = 4000


class PushOwner:
    """Owns both ends of a stream on which only the load changes."""

    def __init__(self) -> None:
        self.list_as_of = 0.0
        self.list_digest = ""
        self.received = 0
        self._sequence = 0
        self._link: PeerLink | None = None

    def status(self) -> Status:
        """See LinkOwner."""
        self._sequence += 1
        load = Load(self._sequence % 8, 0, 8, 100.0)
        return Status("a", InstanceRole.SIDECAR, "1", self._sequence, load=load)

    def updates_after(self, cursor: int, limit: int) -> tuple[int, tuple]:
        """See LinkOwner."""
        return cursor, ()

    def handle_push(self, link: PeerLink, push: Push) -> None:
        """See LinkOwner; triggers the next push immediately."""
        link.merge_push(push)
        self.received += 1
        if self._link is not None:
            self._link.wake()

    def add_inbound(self, link: PeerLink) -> None:
        """See PeerServiceOwner."""
        self._link = link

    def remove_inbound(self, link: PeerLink) -> None:
        """See PeerServiceOwner."""


async def measure_push() -> dict[str, float]:
    """Returns the CPU time of one push at both ends together, and its size."""
    owner = PushOwner()
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    serving = server.Server([PeerService(owner)], codec=peer_client.CODEC)
    await serving.start(sock=sockets[0])
    link = PeerLink("a", False, owner)
    port = sockets[0].getsockname()[1]
    watching = asyncio.ensure_future(peer_client.watch("127.0.0.1", port, link))
    while owner.received < 100:
        await asyncio.sleep(0.01)
    counts = peer_client.CODEC.counts
    began, received, sent = time.process_time(), owner.received, counts.bytes_sent
    while owner.received < received + PUSHES:
        await asyncio.sleep(0.01)
    pushes = owner.received - received
    spent = time.process_time() - began
    size = (counts.bytes_sent - sent) / pushes
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)
    serving.close()
    return {"push_both_ends_us": round(1e6 * spent / pushes, 1), "push_bytes": round(size, 1)}


def make_fleet_list() -> list[Instance]:
    """Returns an instance list of the size expected in two years."""
    instances = []
    for number in range(ENTRIES + SIDECARS):
        role = InstanceRole.ENTRY if number < ENTRIES else InstanceRole.SIDECAR
        centre = number % DATA_CENTRES
        place = (f"region-{centre // 3}", f"data-centre-{centre}", f"10.0.{number // 250}.1")
        instances.append(Instance(f"instance-{number}", role, *place, 8000, 8001))
    return instances


def measure_members() -> dict[str, float]:
    """Returns memory and times of the member table at the size expected in two years."""
    instances = make_fleet_list()
    tracemalloc.start()
    copies = InstanceRoster()
    copies.apply(InstanceList(1.0, tuple(make_fleet_list())))
    table = MemberTable("instance-0")
    table.apply_list(copies.instances, 0.0)
    plan = ReaderPlan(record.instance for record in table.usable(0.0))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    figures = {"members_mib": round(memory / 1_048_576, 2)}
    began = time.process_time()
    plan = ReaderPlan(record.instance for record in table.usable(0.0))
    figures["plan_ms"] = round(1000 * (time.process_time() - began), 2)
    began = time.process_time()
    table.tick(1.0)
    figures["tick_ms"] = round(1000 * (time.process_time() - began), 3)
    me = instances[0]
    entries = [i for i in instances if i.role is InstanceRole.ENTRY]
    sidecars = [i for i in instances if i.role is InstanceRole.SIDECAR]
    began = time.process_time()
    chosen = endpoint_subset.choose_subset(me, entries, sidecars, frozenset(), 16)
    figures["subset_first_ms"] = round(1000 * (time.process_time() - began), 1)
    began = time.process_time()
    endpoint_subset.choose_subset(me, entries, sidecars[:-1], frozenset(), 16)
    figures["subset_again_ms"] = round(1000 * (time.process_time() - began), 1)
    figures["subset_streams"] = len(chosen)
    figures["parents"] = len(plan.parents("instance-500"))
    return figures


def make_large_value() -> ConfigValue:
    """Returns a value of 2,000 endpoints and an overlay for each site."""
    names = {f"worker-{number}": f"region-{number % SITES}" for number in range(ENDPOINTS)}
    base = make_base({"v1": "0" * 64}, "v1", names, total_bytes=1)
    overlays = {f"region-{site}": {"limits": {"body_bytes": 2000 + site}} for site in range(SITES)}
    content = encode_bundle(Bundle(1, base, overlays))
    return ConfigValue(1, digest_of(content), content)


async def measure_apply() -> dict[str, float]:
    """Returns the CPU time to check, render and compress a revision.

    Also returns how long the event loop stalls while a thread does this work.
    """
    value = make_large_value()
    began = time.process_time()
    _, compressed = prepare_value(value, "region-0", b"")
    apply_ms = 1000 * (time.process_time() - began)
    longest = 0.0
    working = asyncio.ensure_future(asyncio.to_thread(prepare_value, value, "region-0", b""))
    while not working.done():
        turn = time.perf_counter()
        await asyncio.sleep(0)
        longest = max(longest, time.perf_counter() - turn)
    return {
        "value_bytes": len(value.content),
        "compressed_bytes": len(compressed),
        "apply_ms": round(apply_ms, 1),
        "longest_stall_ms": round(1000 * longest, 1),
    }


def measure_costs() -> dict[str, float]:
    """Returns all of these figures."""
    figures = asyncio.run(measure_push())
    figures |= measure_members()
    return figures | asyncio.run(measure_apply())
