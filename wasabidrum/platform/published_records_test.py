"""What the store holds, in the project's types."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from ..core.errors import CodedError
from ..core.route import RouteKind
from .published_records import decode_configuration, decode_endpoint, decode_version

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
ROUTE = {
    "name": "r",
    "host": "h.example",
    "prefix": "/p/",
    "type": "streaming",
    "timeoutMs": 6000,
    "targetLatencyMs": 404,
    "priority": 1,
    "service": "s",
    "maxAttempts": 2,
    "resumable": True,
    "gapTargetMs": 400,
}
ENDPOINT = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "rift-a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "born": 1_700_000_000_000,
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "layers": [{"from": 0, "to": 16, "version": 3}],
}


def endpoint_with(**facts: object):
    """Returns an endpoint of a model with sixteen layers, some fields changed."""
    return decode_endpoint("i", json.dumps(ENDPOINT | facts).encode(), lambda service: 16)


class ConfigurationTest(unittest.TestCase):
    """Routes, services and workspaces."""

    def test_times_are_seconds_and_the_type_says_what_may_be_repeated(self) -> None:
        content = json.dumps({"version": 7, "routes": [ROUTE]}).encode()
        route = decode_configuration(content).routes[0]
        self.assertEqual(
            (route.timeout, route.target_latency, route.largest_gap), (6.0, 0.404, 0.4)
        )
        self.assertEqual(route.kind, RouteKind.STREAM)
        self.assertTrue(route.idempotent)

    def test_callers_leave_a_stream_after_the_longest_of_three_pauses(self) -> None:
        def patience(**facts: object) -> float:
            content = json.dumps({"version": 7, "routes": [ROUTE | facts]}).encode()
            return decode_configuration(content).routes[0].patience

        self.assertEqual(patience(), 3.2)
        self.assertEqual(patience(targetLatencyMs=1000), 4.0)
        self.assertEqual(patience(targetLatencyMs=100, gapTargetMs=0), 2.0)
        self.assertEqual(patience(type="safe"), float("inf"))

    def test_a_stream_that_cannot_be_resumed_runs_once(self) -> None:
        """A stream that nobody may go on with is no more to be repeated than a charge."""
        content = json.dumps({"version": 7, "routes": [ROUTE | {"resumable": False}]}).encode()
        self.assertFalse(decode_configuration(content).routes[0].idempotent)

    def test_a_route_that_is_split_names_all_its_services(self) -> None:
        split = {k: v for k, v in ROUTE.items() if k != "service"}
        split["trafficSplit"] = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        content = json.dumps({"version": 7, "routes": [split]}).encode()
        targets = decode_configuration(content).routes[0].targets
        self.assertEqual([(t.service, t.weight) for t in targets], [("a", 90.0), ("b", 10.0)])

    def test_a_type_that_is_not_known_refuses_the_whole(self) -> None:
        """A route whose type is new here could be taken for one that may be repeated."""
        content = json.dumps({"version": 7, "routes": [ROUTE | {"type": "keyed"}]}).encode()
        with self.assertRaises(CodedError):
            decode_configuration(content)

    def test_versions_are_numbers_of_a_model(self) -> None:
        self.assertEqual(decode_version(b'{"model":"m","version":2}'), ("m", 2))
        with self.assertRaises(CodedError):
            decode_version(b'{"model":"m"}')


class EndpointTest(unittest.TestCase):
    """Entries that anyone may have written."""

    def test_one_that_holds_every_layer_is_whole(self) -> None:
        self.assertTrue(endpoint_with().whole)
        self.assertEqual(endpoint_with().weights, 3)
        self.assertEqual(endpoint_with().started_at, 1_700_000_000_000)

    def test_one_that_lacks_a_layer_or_mixes_versions_is_not(self) -> None:
        """An engine holds most of a version, or some layers of another. Taken for whole, it
        would be sent requests that nobody may answer."""
        part = {"from": 0, "to": 15, "version": 3}
        other = {"from": 0, "to": 16, "version": 2}
        for layers in ([], [part], [other]):
            self.assertFalse(endpoint_with(layers=layers).whole)
        self.assertFalse(endpoint_with(models=[]).whole)

    def test_its_software_version_is_not_taken_for_weights(self) -> None:
        self.assertEqual(endpoint_with(version="v9").weights, 3)

    def test_another_state_or_type_names_no_endpoint(self) -> None:
        wrong = ({"state": "resting"}, {"slots": "16"}, {"address": "nowhere"}, {"zone": None})
        for facts in wrong:
            with self.assertRaises(CodedError):
                endpoint_with(**facts)

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def test_no_bytes_do_worse_than_an_error(self, content: bytes) -> None:
        try:
            decode_endpoint("i", content, lambda service: 16)
        except CodedError:
            return
