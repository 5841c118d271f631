"""Tests of the turns in which entries get reports."""

import math
import random
import unittest

from .report_turns import ReportTurns

BYTES_AT_ONCE = 2304


class ReportTurnsTest(unittest.TestCase):
    """Entries that come and go."""

    def test_all_get_reports_in_turn_within_the_bytes(self) -> None:
        """Guards against traffic that grows with the number of entries, and against entries that
        get no report for long while others get several."""
        for entries, size in ((11, 480), (399, 480), (11, 60), (11, 5000)):
            with self.subTest(entries=entries, size=size):
                turns = ReportTurns(BYTES_AT_ONCE, random.Random(1))
                hosts = {f"10.0.0.{n}" for n in range(entries)}
                rounds = [turns.next_hosts(hosts, size) for _ in range(3 * entries)]
                count = len(rounds[0])
                self.assertEqual(count, min(entries, max(1, BYTES_AT_ONCE // size)))
                full = math.ceil(entries / count)
                for start in range(len(rounds) - full):
                    reached = {host for part in rounds[start : start + full] for host in part}
                    self.assertEqual(reached, hosts)

    def test_entries_that_are_gone_get_no_turn(self) -> None:
        turns = ReportTurns(BYTES_AT_ONCE, random.Random(1))
        turns.next_hosts({"a", "b", "c"}, BYTES_AT_ONCE)
        for _ in range(4):
            self.assertEqual(turns.next_hosts({"c"}, BYTES_AT_ONCE), ["c"])
        self.assertEqual(turns.next_hosts(set(), BYTES_AT_ONCE), [])
