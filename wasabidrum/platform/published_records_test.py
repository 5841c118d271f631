"""Tests of decoding the values of the platform's store."""

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
    """Returns an endpoint whose model has sixteen layers, with some fields changed."""
    return decode_endpoint("i", json.dumps(ENDPOINT | facts).encode(), lambda service: 16)


class ConfigurationTest(unittest.TestCase):
    """Routes, services and workspaces."""

    def test_times_become_seconds_and_a_resumable_stream_is_idempotent(self) -> None:
        content = json.dumps({"version": 7, "routes": [ROUTE]}).encode()
        route = decode_configuration(content).routes[0]
        self.assertEqual(
            (route.timeout, route.target_latency, route.largest_gap), (6.0, 0.404, 0.4)
        )
        self.assertEqual(route.kind, RouteKind.STREAM)
        self.assertTrue(route.idempotent)

    def test_stream_idle_timeout_is_the_longest_of_three(self) -> None:
        def idle_timeout(**facts: object) -> float:
            content = json.dumps({"version": 7, "routes": [ROUTE | facts]}).encode()
            return decode_configuration(content).routes[0].patience

        self.assertEqual(idle_timeout(), 3.2)
        self.assertEqual(idle_timeout(targetLatencyMs=1000), 4.0)
        self.assertEqual(idle_timeout(targetLatencyMs=100, gapTargetMs=0), 2.0)
        self.assertEqual(idle_timeout(type="safe"), float("inf"))

    def test_a_stream_that_cannot_be_resumed_is_not_idempotent(self) -> None:
        """Repeating a stream that cannot be resumed would run its request twice, as repeating a
        charge would."""
        content = json.dumps({"version": 7, "routes": [ROUTE | {"resumable": False}]}).encode()
        self.assertFalse(decode_configuration(content).routes[0].idempotent)

    def test_a_split_route_has_all_its_services_as_targets(self) -> None:
        split = {k: v for k, v in ROUTE.items() if k != "service"}
        split["trafficSplit"] = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        content = json.dumps({"version": 7, "routes": [split]}).encode()
        targets = decode_configuration(content).routes[0].targets
        self.assertEqual([(t.service, t.weight) for t in targets], [("a", 90.0), ("b", 10.0)])

    def test_an_unknown_route_type_makes_the_configuration_invalid(self) -> None:
        """A route of an unknown type could otherwise be treated as idempotent."""
        content = json.dumps({"version": 7, "routes": [ROUTE | {"type": "keyed"}]}).encode()
        with self.assertRaises(CodedError):
            decode_configuration(content)

    def test_a_version_has_a_model_and_a_number(self) -> None:
        self.assertEqual(decode_version(b'{"model":"m","version":2}'), ("m", 2))
        with self.assertRaises(CodedError):
            decode_version(b'{"model":"m"}')


class EndpointTest(unittest.TestCase):
    """Endpoint entries, which are untrusted."""

    def test_an_endpoint_with_every_layer_is_whole(self) -> None:
        self.assertTrue(endpoint_with().whole)
        self.assertEqual(endpoint_with().weights, 3)
        self.assertEqual(endpoint_with().started_at, 1_700_000_000_000)

    def test_an_endpoint_with_missing_or_other_layers_is_not_whole(self) -> None:
        """An engine holds part of a version, or layers of another one. Treated as whole, it would
        be sent requests that it cannot answer with that version."""
        part = {"from": 0, "to": 15, "version": 3}
        other = {"from": 0, "to": 16, "version": 2}
        for layers in ([], [part], [other]):
            self.assertFalse(endpoint_with(layers=layers).whole)
        self.assertFalse(endpoint_with(models=[]).whole)

    def test_the_software_version_is_not_the_weights_version(self) -> None:
        self.assertEqual(endpoint_with(version="v9").weights, 3)

    def test_an_unknown_state_or_wrong_type_raises_an_error(self) -> None:
        wrong = ({"state": "resting"}, {"slots": "16"}, {"address": "nowhere"}, {"zone": None})
        for facts in wrong:
            with self.assertRaises(CodedError):
                endpoint_with(**facts)

    def test_port_that_is_none_raises_an_error(self) -> None:
        """Guards against an endpoint that is listed and that nobody can connect to."""
        for port in ("65536", "0", "-1", "+80", "8_0", " 80", "\u0664", ""):
            with self.subTest(port=port), self.assertRaises(CodedError):
                endpoint_with(address=f"10.0.0.9:{port}")

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_raise_at_most_a_coded_error(self, content: bytes) -> None:
        try:
            decode_endpoint("i", content, lambda service: 16)
        except CodedError:
            return
