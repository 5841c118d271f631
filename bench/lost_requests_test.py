"""Tests of the tables of lost requests."""

import json
import unittest

from . import lost_requests


def line(at: float, event: str, **fields: object) -> str:
    """Returns a line as the users' bench prints it: a prefix, then the daemon's JSON."""
    said = {"t": at, "n": 1, "event": event, "daemon": "entry-1", **fields}
    return f"  {at:.4f} front-1 {json.dumps(said)}"


class LostRequestsTest(unittest.TestCase):
    """Classification of requests, and the tables made from it."""

    def test_requests_are_counted_by_cause_and_window(self) -> None:
        """Refusals without usable weights are counted apart from refusals under overload."""
        text = [
            line(100.0, "request_done"),
            line(100.5, "request_refused", code="overloaded", endpoints_known=6, status=503),
            line(102.1, "request_refused", code="no_endpoint", endpoints_known=0, status=503),
            line(102.2, "request_refused", code="route_unknown", status=404),
            line(102.3, "request_failed", code="stream_cut", status=0),
            "to play it took 70 s",
        ]
        lines = [found for found in map(lost_requests.read_line, text) if found is not None]
        rows = lost_requests.count_by_window(lines, lost_requests.find_beginning(lines), 2.0)
        self.assertEqual(rows[0], {"served": 1, "overloaded": 1})
        self.assertEqual(
            rows[2], {"no endpoint holds the wanted weights": 1, "failed: stream_cut": 1}
        )

    def test_milestones_stand_beside_the_rows(self) -> None:
        """Events of the weights are listed with their time since the first request ended."""
        text = [line(50.0, "request_done"), line(55.25, "version_named", version=2)]
        lines = [found for found in map(lost_requests.read_line, text) if found is not None]
        tables = lost_requests.format_tables(lines, 2.0, 0.0, 10.0)
        self.assertEqual(tables[-1], "  5.25 entry-1 version_named version=2")


if __name__ == "__main__":
    unittest.main()
