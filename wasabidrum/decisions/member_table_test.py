"""Tests of who is held to be there."""

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
    """Returns what a sidecar says of itself."""
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
    """The list and the evidence are joined so that neither alone can empty the fleet."""

    def setUp(self) -> None:
        self.table = MemberTable("me")
        self.instances = [make_instance(f"m{i}") for i in range(10)]
        self.table.take_list(self.instances, 0.0)

    def names(self, now: float) -> set[str]:
        """Returns the usable members."""
        return {record.name for record in self.table.usable(now)}

    def run_ticks(self, start: float, end: float) -> list[str]:
        """Lets time pass; returns who died."""
        dead = []
        for quarter in range(int(start * 4), int(end * 4)):
            dead += self.table.tick(quarter / 4)
        return dead

    def test_an_empty_list_for_a_moment_removes_nobody(self) -> None:
        """The platform's list comes back empty once. Followed blindly it would take every
        endpoint out of routing, and all callers would be refused until the next read."""
        self.table.take_list([], 1.0)
        self.assertTrue(self.table.list_is_implausible)
        self.run_ticks(1.0, 100.0)
        self.assertEqual(len(self.names(100.0)), 10)
        self.table.take_list(self.instances, 100.0)
        self.assertFalse(self.table.list_is_implausible)

    def test_a_frozen_list_does_not_hide_a_new_process(self) -> None:
        """The list stops changing while a slot is given to a new process at another port. It
        tells of itself; without that its peers would talk to the old address for ever."""
        told = msgspec.structs.replace(make_status("m3", 1, "2"), http_port=9, peer_port=9)
        self.table.take_status(make_status("m3", 50, "1"), 0.5)
        self.table.take_status(told, 1.0)
        self.table.take_list(self.instances, 2.0)
        self.assertEqual(self.table.get("m3").instance.peer_port, 9)
        self.table.take_status(make_status("m3", 60, "1"), 2.5)
        self.assertEqual(self.table.get("m3").incarnation, "2")

    def test_a_listed_address_holds_until_it_refuses(self) -> None:
        """The platform lists an address that leads to a daemon by another way than the daemon
        knows. Its own word must not lead its peers around that way while it works."""
        told = msgspec.structs.replace(make_status("m3", 1), http_port=9, peer_port=9)
        self.table.take_status(told, 1.0)
        self.assertEqual(self.table.get("m3").instance.peer_port, 1)
        self.assertFalse(self.table.suspect("m3", 2.0, refused=True))
        self.assertEqual(self.table.get("m3").instance.peer_port, 9)
        self.assertTrue(self.table.suspect("m3", 3.0, refused=True))

    def test_a_ghost_is_dead_by_evidence_whatever_the_list_says(self) -> None:
        """The list names an instance that ended. Connections to it are refused; without
        evidence the entry would offer it work until the list catches up."""
        self.table.suspect("m1", 1.0, refused=True)
        self.assertNotIn("m1", self.names(1.0))
        self.assertEqual(self.run_ticks(1.0, 2.0), ["m1"])
        self.table.take_list(self.instances, 2.0)
        self.assertNotIn("m1", self.names(2.0))

    def test_a_suspected_member_refutes_it(self) -> None:
        """A network drops packets of one link for three seconds. The member tells of itself by
        another way with a later sequence; without refutation it would be called dead."""
        self.table.take_status(make_status("m1", 5), 0.0)
        self.table.suspect("m1", 3.0)
        self.assertTrue(MemberTable("m1").take_news(self.table.get("m1").news(), 3.1))
        refuted = MemberUpdate("m1", MemberState.ALIVE, "1", 9)
        self.table.take_news(refuted, 4.0)
        self.assertEqual(self.run_ticks(4.0, 20.0), [])
        late = MemberUpdate("m1", MemberState.DEAD, "1", 5)
        self.table.take_news(late, 20.0)
        self.assertIn("m1", self.names(20.0))

    def test_many_silent_at_once_are_not_believed_while_nobody_answers(self) -> None:
        """The switch above this process fails, and everyone it watches falls silent. Without
        the guard it would call the whole fleet dead, and say so to all once it is back."""
        watched = [f"m{i}" for i in range(8)]
        for name in watched:
            self.table.take_status(make_status(name, 5), 0.0)
        self.table.take_news_to_pass_on()
        for name in watched[:3]:
            self.table.suspect(name, 3.0)
        self.assertFalse(self.table.looks_isolated(watched))
        for name in watched[3:]:
            self.table.suspect(name, 3.0)
        self.assertTrue(self.table.looks_isolated(watched))
        self.table.isolated = True
        self.assertEqual(self.run_ticks(3.0, 60.0), [])
        # Others answered: it is they who are gone, as when a rack dies.
        self.table.isolated = False
        self.assertEqual(len(self.run_ticks(60.0, 61.0)), 8)

    def test_news_spreads_and_stale_news_does_not(self) -> None:
        other = MemberTable("other")
        other.take_list(self.instances, 0.0)
        self.table.take_status(make_status("m2", 5), 0.0)
        self.table.suspect("m2", 4.0)
        self.run_ticks(4.0, 9.0)
        for news in self.table.take_news_to_pass_on():
            other.take_news(news, 9.0)
        self.assertIs(other.get("m2").state, MemberState.DEAD)
        self.assertTrue(other.take_news_to_pass_on())
        for news in (self.table.get("m2").news(), MemberUpdate("m2", MemberState.ALIVE, "0", 99)):
            other.take_news(news, 9.5)
        self.assertEqual(other.take_news_to_pass_on(), [])

    def test_leaving_holds_for_the_incarnation(self) -> None:
        """An instance says that it leaves, and an older word of it arrives late. Without the
        rule it would get new work while it shuts down."""
        self.table.take_status(make_status("m4", 7, leaving=True), 1.0)
        self.table.take_status(make_status("m4", 8), 1.1)
        self.assertTrue(self.table.get("m4").leaving)
        self.table.take_status(make_status("m4", 1, "2"), 5.0)
        self.assertFalse(self.table.get("m4").leaving)

    def test_flapping_is_damped(self) -> None:
        """An instance with a loose cable comes and goes every few seconds. Without damping each
        return would bring it requests that its next end cuts."""
        for turn in range(5):
            self.table.take_status(make_status("m5", 2 * turn + 1), turn * 5.0)
            self.table.suspect("m5", turn * 5.0 + 3.0)
        self.table.take_status(make_status("m5", 99), 25.0)
        self.assertNotIn("m5", self.names(25.0))
        self.assertIn("m5", self.names(25.0 + 2 * member_record.FLAP_HALF_LIFE_SECONDS))

    def test_a_pause_of_this_process_ends_nobody(self) -> None:
        """This instance pauses while one suspicion stands. When it wakes, the time it slept
        must not count as time in which nobody refuted."""
        self.table.take_status(make_status("m6", 1), 0.0)
        self.table.suspect("m6", 1.0)
        self.table.forgive(30.0)
        self.assertEqual(self.table.tick(31.5), [])
        self.assertEqual(self.table.tick(36.0), ["m6"])

    def test_the_unlisted_and_unheard_are_forgotten_after_a_while(self) -> None:
        self.table.take_list(self.instances[:-1], 1.0)
        self.run_ticks(1.0, 20.0)
        self.assertIsNotNone(self.table.get("m9"))
        self.run_ticks(20.0, 40.0)
        self.assertIsNone(self.table.get("m9"))
