"""Tests of which processes read the service and which processes they relay it to."""

import collections
import unittest

from ..core.instance import Instance, InstanceRole
from .reader_plan import FAN_OUT, ReaderPlan


def make_members(centres: int, each: int) -> list[Instance]:
    """Returns members in several data centres, every sixth of them an entry."""
    roles = (InstanceRole.ENTRY, *[InstanceRole.SIDECAR] * 5)
    return [
        Instance(f"m{i}-{c}", roles[i % 6], f"r{c % 3}", f"c{c}", "127.0.0.1", 1, 1)
        for c in range(centres)
        for i in range(each)
    ]


def reached_from(plan: ReaderPlan, members: list[Instance], start: set[str], dead: set) -> set[str]:
    """Returns the live members that are connected to the start by links in either direction."""
    links = collections.defaultdict(set)
    for member in members:
        for parent in plan.parents(member.name):
            links[member.name].add(parent)
            links[parent].add(member.name)
    seen = set()
    frontier = list(start - dead)
    while frontier:
        name = frontier.pop()
        if name not in seen:
            seen.add(name)
            frontier += [other for other in links[name] if other not in dead]
    return seen


class ReaderPlanTest(unittest.TestCase):
    """The plan does not depend on order, is bounded, and tolerates any one death."""

    def test_fan_out_and_readers_are_bounded_at_the_two_year_size(self) -> None:
        members = make_members(9, 256)
        plan = ReaderPlan(reversed(members))
        children = collections.Counter(p for m in members for p in plan.parents(m.name))
        self.assertEqual(sum(plan.is_reader(m.name) for m in members), 18)
        self.assertLessEqual(max(children.values()), 2 * FAN_OUT + 9)
        for member in members:
            self.assertNotIn(member.name, plan.parents(member.name))
            if member.role is InstanceRole.ENTRY:
                self.assertEqual(children[member.name], 0)
            if not plan.is_reader(member.name):
                self.assertEqual(len(set(plan.parents(member.name))), 2)

    def test_after_any_one_death_all_others_stay_connected(self) -> None:
        """A reader or an inner process dies. With a single tree, every process below it would stay
        on the old revision until the next plan, and operators would see a site that lags for no
        visible reason."""
        for each in (2, 3, 7, 40):
            members = make_members(3, each)
            plan = ReaderPlan(members)
            names = {member.name for member in members}
            for dead in names:
                start = {next(iter(sorted(names - {dead})))}
                self.assertEqual(reached_from(plan, members, start, {dead}), names - {dead})

    def test_one_departure_changes_few_readers(self) -> None:
        members = make_members(9, 30)
        before = ReaderPlan(members)
        after = ReaderPlan([m for m in members if m.name != before.readers("c0")[0]])
        for centre in range(1, 9):
            self.assertEqual(before.readers(f"c{centre}"), after.readers(f"c{centre}"))
        self.assertEqual(before.readers("c0")[1], after.readers("c0")[0])
