"""Tests of the membership table."""

import unittest

import msgspec

from ..core.instance import Instance, InstanceRole
from ..core.status import Status
from . import member_record
from .member_table import MemberTable
from .member_update import MemberState, MemberUpdate


def make_instance(name: str, port: int = 1) -> Instance:
    """Returns a listed sidecar."""
    return Instance(name, InstanceRole.SIDECAR, "rift-a", "rift-a-1", "127.0.0.1", port, port)


def make_status(name: str, sequence: int, incarnation: str = "1", **fields: object) -> Status:
    """Returns a status of a sidecar."""
    return Status(
        name,
        InstanceRole.SIDECAR,
        incarnation,
        sequence,
        "rift-a",
        "rift-a-1",
        "127.0.0.1",
        1,
        1,
        **fields,
    )


class MemberTableTest(unittest.TestCase):
    """The list and the evidence are combined so that neither alone can remove the whole fleet."""

    def setUp(self) -> None:
        self.table = MemberTable("me")
        self.instances = [make_instance(f"m{i}") for i in range(10)]
        self.table.apply_list(self.instances, 0.0)

    def names(self, now: float) -> set[str]:
        """Returns the names of the usable members."""
        return {record.name for record in self.table.usable(now)}

    def run_ticks(self, start: float, end: float) -> list[str]:
        """Ticks four times a second; returns the names of the members declared dead."""
        dead = []
        for quarter in range(int(start * 4), int(end * 4)):
            dead += self.table.tick(quarter / 4)
        return dead

    def test_an_empty_list_for_a_moment_removes_no_member(self) -> None:
        """The platform returns an empty list once. Applied as it is, it would remove every
        endpoint from routing, and all callers would be refused until the next read."""
        self.table.apply_list([], 1.0)
        self.assertTrue(self.table.list_is_implausible)
        self.run_ticks(1.0, 100.0)
        self.assertEqual(len(self.names(100.0)), 10)
        self.table.apply_list(self.instances, 100.0)
        self.assertFalse(self.table.list_is_implausible)

    def test_a_frozen_list_does_not_hide_a_new_process(self) -> None:
        """The list stops changing while a slot is given to a new process at another port. The
        process reports its address; otherwise its peers would use the old one for ever."""
        reported = msgspec.structs.replace(make_status("m3", 1, "2"), http_port=9, peer_port=9)
        self.table.apply_status(make_status("m3", 50, "1"), 0.5)
        self.table.apply_status(reported, 1.0)
        self.table.apply_list(self.instances, 2.0)
        self.assertEqual(self.table.get("m3").instance.peer_port, 9)
        self.table.apply_status(make_status("m3", 60, "1"), 2.5)
        self.assertEqual(self.table.get("m3").incarnation, "2")

    def test_a_listed_address_is_used_until_it_refuses_connections(self) -> None:
        """The platform lists an address that leads to a daemon by a route that the daemon does not
        know. The address that the daemon reports must not replace it while it works."""
        reported = msgspec.structs.replace(make_status("m3", 1), http_port=9, peer_port=9)
        self.table.apply_status(reported, 1.0)
        self.assertEqual(self.table.get("m3").instance.peer_port, 1)
        self.assertFalse(self.table.suspect("m3", 2.0, refused=True))
        self.assertEqual(self.table.get("m3").instance.peer_port, 9)
        self.assertTrue(self.table.suspect("m3", 3.0, refused=True))

    def test_an_address_passed_on_by_others_does_not_replace_a_listed_one(self) -> None:
        """Guards against the same where a member hears of a daemon from others first."""
        reported = msgspec.structs.replace(self.instances[3], http_port=9, peer_port=9)
        self.table.apply_update(MemberUpdate("m3", MemberState.ALIVE, "1", 1, False, reported), 1.0)
        self.assertEqual(self.table.get("m3").instance.peer_port, 1)
        self.assertFalse(self.table.suspect("m3", 2.0, refused=True))
        self.assertEqual(self.table.get("m3").instance.peer_port, 9)

    def test_a_listed_instance_that_refuses_connections_is_declared_dead(self) -> None:
        """The list contains an instance that has ended and refuses connections. Without evidence
        an entry would send it requests until the list is updated."""
        self.table.suspect("m1", 1.0, refused=True)
        self.assertNotIn("m1", self.names(1.0))
        self.assertEqual(self.run_ticks(1.0, 2.0), ["m1"])
        self.table.apply_list(self.instances, 2.0)
        self.assertNotIn("m1", self.names(2.0))

    def test_a_suspected_member_refutes_the_suspicion(self) -> None:
        """A network drops the packets of one link for three seconds. The member sends an update by
        another route with a later sequence; without this it would be declared dead."""
        self.table.apply_status(make_status("m1", 5), 0.0)
        self.table.suspect("m1", 3.0)
        self.assertTrue(MemberTable("m1").apply_update(self.table.get("m1").to_update(), 3.1))
        refuted = MemberUpdate("m1", MemberState.ALIVE, "1", 9)
        self.table.apply_update(refuted, 4.0)
        self.assertEqual(self.run_ticks(4.0, 20.0), [])
        late = MemberUpdate("m1", MemberState.DEAD, "1", 5)
        self.table.apply_update(late, 20.0)
        self.assertIn("m1", self.names(20.0))

    def test_many_silent_members_are_not_declared_dead_while_none_responds(self) -> None:
        """The switch above this process fails, and all members it watches fall silent. Without
        the guard it would declare the whole fleet dead, and send that once it is connected."""
        watched = [f"m{i}" for i in range(8)]
        for name in watched:
            self.table.apply_status(make_status(name, 5), 0.0)
        self.table.drain_updates()
        for name in watched[:3]:
            self.table.suspect(name, 3.0)
        self.assertFalse(self.table.may_be_isolated(watched))
        for name in watched[3:]:
            self.table.suspect(name, 3.0)
        self.assertTrue(self.table.may_be_isolated(watched))
        self.table.isolated = True
        self.assertEqual(self.run_ticks(3.0, 60.0), [])
        # Other members responded: the silent ones have failed, as when a rack fails.
        self.table.isolated = False
        self.assertEqual(len(self.run_ticks(60.0, 61.0)), 8)

    def test_updates_are_passed_on_and_stale_updates_are_not(self) -> None:
        other = MemberTable("other")
        other.apply_list(self.instances, 0.0)
        self.table.apply_status(make_status("m2", 5), 0.0)
        self.table.suspect("m2", 4.0)
        self.run_ticks(4.0, 9.0)
        for update in self.table.drain_updates():
            other.apply_update(update, 9.0)
        self.assertIs(other.get("m2").state, MemberState.DEAD)
        self.assertTrue(other.drain_updates())
        for update in (
            self.table.get("m2").to_update(),
            MemberUpdate("m2", MemberState.ALIVE, "0", 99),
        ):
            other.apply_update(update, 9.5)
        self.assertEqual(other.drain_updates(), [])

    def test_leaving_lasts_for_the_incarnation(self) -> None:
        """An instance reports that it is leaving, and a status without that arrives later. If the
        latter were applied, the instance would get new work while it shuts down."""
        self.table.apply_status(make_status("m4", 7, leaving=True), 1.0)
        self.table.apply_status(make_status("m4", 8), 1.1)
        self.assertTrue(self.table.get("m4").leaving)
        self.table.apply_status(make_status("m4", 1, "2"), 5.0)
        self.assertFalse(self.table.get("m4").leaving)

    def test_flapping_is_damped(self) -> None:
        """An instance with a loose cable is lost and returns every few seconds. Without damping,
        each return would give it requests that the next loss cuts off."""
        for turn in range(5):
            self.table.apply_status(make_status("m5", 2 * turn + 1), turn * 5.0)
            self.table.suspect("m5", turn * 5.0 + 3.0)
        self.table.apply_status(make_status("m5", 99), 25.0)
        self.assertNotIn("m5", self.names(25.0))
        self.assertIn("m5", self.names(25.0 + 2 * member_record.FLAP_HALF_LIFE_SECONDS))

    def test_a_pause_of_this_process_declares_no_member_dead(self) -> None:
        """This process is paused while one member is suspected. The pause must not count as time
        in which the member could have refuted the suspicion."""
        self.table.apply_status(make_status("m6", 1), 0.0)
        self.table.suspect("m6", 1.0)
        self.table.extend_time_limits(30.0)
        self.assertEqual(self.table.tick(31.5), [])
        self.assertEqual(self.table.tick(36.0), ["m6"])

    def test_unlisted_silent_members_are_removed_after_a_while(self) -> None:
        self.table.apply_list(self.instances[:-1], 1.0)
        self.run_ticks(1.0, 20.0)
        self.assertIsNotNone(self.table.get("m9"))
        self.run_ticks(20.0, 40.0)
        self.assertIsNone(self.table.get("m9"))
