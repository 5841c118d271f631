"""Tests of the comparison of two ways from recorded entries of the journal."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from . import compare_ways


def make_day(name: str, worth: float, seed: int = 1, **changes: object) -> dict:
    """Returns a day as the bench records it, with the fields that are read."""
    day = {
        "G": worth,
        "name": name,
        "seed": seed,
        "served": 0.9,
        "refused": 0.02,
        "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.15, 0.4]],
        "rules": {},
        "fault": None,
    }
    return day | changes


class CompareWaysTest(unittest.TestCase):
    """Two ways that were played on three days."""

    def setUp(self) -> None:
        self.journal = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))

    def record(self, identity: str, days: list[dict], site: str = "site") -> None:
        """Writes an entry of the journal."""
        path = self.journal / f"20260101T000000-{identity}.json"
        path.write_text(json.dumps({"id": identity, "site": site, "days": days}))

    def run_tool(self, before: list[str], after: list[str]) -> tuple[int, str, str]:
        """Returns the exit status, the output and the errors of the command."""
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            arguments = ["--before", *before, "--after", *after, "--journal", str(self.journal)]
            status = compare_ways.main(arguments)
        return status, output.getvalue(), errors.getvalue()

    def test_days_are_paired_by_name_and_seed(self) -> None:
        """Guards against a gain that comes from other days or other seeds."""
        self.record("aa11", [make_day("d1", 0.5), make_day("d2", 0.5), make_day("d3", 0.9, 7)])
        self.record("bb22", [make_day("d1", 0.6), make_day("d2", 0.7), make_day("d3", 0.1, 8)])
        status, output, _ = self.run_tool(["aa"], ["bb"])
        self.assertEqual(status, 0)
        self.assertIn("difference in worth +0.150", output)
        self.assertNotIn("d3", output)

    def test_a_difference_within_the_spread_is_told_as_none(self) -> None:
        names = ("d1", "d2", "d3", "d4")
        self.record("aa11", [make_day(name, 0.5) for name in names])
        gains = (0.1, -0.08, 0.05, -0.05)
        self.record("bb22", [make_day(n, 0.5 + gain) for n, gain in zip(names, gains, strict=True)])
        self.record("cc33", [make_day(name, 0.6) for name in names])
        self.assertIn(": none", self.run_tool(["aa"], ["bb"])[1])
        self.assertIn(": better", self.run_tool(["aa"], ["cc"])[1])
        self.assertIn(": worse", self.run_tool(["cc"], ["aa"])[1])

    def test_plays_of_one_day_count_by_their_mean(self) -> None:
        self.record("aa11", [make_day("d1", 0.4)])
        self.record("aa12", [make_day("d1", 0.6)])
        self.record("bb22", [make_day("d1", 0.6, rules={"VERSION": 1})])
        output = self.run_tool(["aa11", "aa12"], ["bb"])[1]
        self.assertIn("| 0.500 0.600 | +0.100 |", output)
        self.assertIn("(second way broken)", output)

    def test_missing_ambiguous_and_unfinished_entries_are_refused(self) -> None:
        self.record("aa11", [make_day("d1", 0.4)])
        self.record("aa12", [])
        for before, after in ((["aa"], ["aa11"]), (["zz"], ["aa11"]), (["aa12"], ["aa11"])):
            status, output, errors = self.run_tool(before, after)
            self.assertEqual((status, output), (2, ""))
            self.assertTrue(errors)

    def test_a_plot_is_written(self) -> None:
        self.record("aa11", [make_day("d1", 0.4)])
        plot = self.journal / "ways.png"
        arguments = ["--before", "aa", "--after", "aa", "--journal", str(self.journal)]
        with contextlib.redirect_stdout(io.StringIO()):
            compare_ways.main([*arguments, "--plot", str(plot)])
        self.assertGreater(plot.stat().st_size, 1000)


if __name__ == "__main__":
    unittest.main()
