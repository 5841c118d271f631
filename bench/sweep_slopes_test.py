"""Tests of reading a sweep's slopes from the journal."""

import json
import pathlib
import tempfile
import unittest

from . import sweep_slopes

TABLE = """
sweep-30              30/300   0.91  0.906  0.994   0.000  0.005  worst class 0.98

middle / busiest or longest, by own machines
                                                          30             100  power  at 396
entry: processor %                                 5.7 / 7.2       6.2 / 8.0   0.37  18.7
sidecar: memory MB                               27.0 / 27.1     28.5 / 28.5   0.09  34.5
leaving acked, ms                                11.0 / 11.0      9.0 / 1604   1.48  2421
power: the busiest grows as machines to this power, by the last three sizes
"""


class SweepSlopesTest(unittest.TestCase):
    """Two sweeps of one deployment."""

    def setUp(self) -> None:
        self.journal = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))

    def record(self, identity: str, **changes: object) -> None:
        """Writes an entry of the journal."""
        day = {"name": "sweep-100", "rules": {}, "fault": None}
        entry = {"id": identity, "cmd": "sweep", "site": "s", "days": [day], "digest": TABLE}
        path = self.journal / f"20260101T0000{identity}.json"
        path.write_text(json.dumps(entry | changes))

    def test_table_is_read_as_it_is_printed(self) -> None:
        sizes, target, slopes = sweep_slopes.parse_table(TABLE)
        self.assertEqual((sizes, target), ((30, 100), 396))
        self.assertEqual(slopes[0].name, "entry: processor %")
        self.assertEqual(slopes[0].busiest, (7.2, 8.0))
        self.assertEqual((slopes[0].power, slopes[0].at_target), (0.37, 18.7))
        self.assertEqual([slope.bends_upward for slope in slopes], [False, False, True])

    def test_deployment_without_a_target_is_read_too(self) -> None:
        """Guards against a page whose table is empty, or takes the largest size for the target."""
        table = TABLE.replace("at 396", "at null")
        for carried in ("18.7", "34.5", "2421"):
            table = table.replace(f"  {carried}\n", "  -\n")
        sizes, target, slopes = sweep_slopes.parse_table(table)
        self.assertEqual((sizes, target, len(slopes)), ((30, 100), None, 3))
        self.assertIsNone(slopes[0].at_target)

    def test_newest_sweep_of_a_deployment_counts_and_its_faults_are_told(self) -> None:
        """Guards against a page that calls a sweep clean whose day was given up."""
        broken = {"name": "sweep-100", "rules": {"VERSION": 2}, "fault": "too slow"}
        self.record("01-a")
        self.record("02-b", days=[broken])
        self.record("03-c", days=[])
        self.record("04-d", cmd="score")
        (sweep,) = sweep_slopes.read_newest(self.journal)
        self.assertEqual(sweep.faults, (("sweep-100", "VERSION 2; too slow"),))
        page = "\n".join(sweep_slopes.render_lines([sweep]))
        self.assertIn("sweep-100 is not clean: VERSION 2; too slow", page)
        self.assertIn("Grows faster than the fleet: leaving acked, ms", page)

    def test_page_without_sweeps_says_so(self) -> None:
        self.assertIn("No sweep was played.", sweep_slopes.render_lines([]))

    def test_plot_is_written(self) -> None:
        self.record("01-a")
        plot = self.journal / "sweep.png"
        sweep_slopes.draw_plot(sweep_slopes.read_newest(self.journal), plot)
        self.assertGreater(plot.stat().st_size, 1000)


if __name__ == "__main__":
    unittest.main()
