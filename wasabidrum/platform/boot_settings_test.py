"""Tests of decoding the platform's settings file."""

import json
import os
import tempfile
import unittest

from ..config.deployment import Address
from ..core.errors import CodedError
from . import names
from .boot_settings import decode_deployment, read_deployment

ENTRY = {
    "nodeName": "front-1",
    "machineClass": "front",
    "serves": ["front", "control"],
    "ip": "10.1.0.40",
    "zone": "rift-a",
    "region": "rift-valley",
    "zones": {"rift-a": "rift-valley"},
    "listen": {"front": "10.1.0.40:8005", "ready": "10.1.0.40:8002", "control": "10.1.0.40:80"},
    "internalPorts": [7700, 7715],
    "seeds": ["10.2.0.37:8000"],
    "limits": {"memoryMb": 300, "linkMbps": 1000.0},
    "bounds": {"configApplyMs": 2000, "revokeMs": 4000, "graceS": 8, "version_ms": 9700},
    "provider": {"address": "10.200.1.7:8007", "form": "read"},
    "somethingNew": {"of": ["tomorrow"]},
}


class BootSettingsTest(unittest.TestCase):
    """Known keys are decoded; unknown keys are ignored."""

    def test_an_entry_has_its_addresses_and_bounds_in_seconds(self) -> None:
        deployment = decode_deployment(json.dumps(ENTRY).encode())
        self.assertEqual(deployment.role, "entry")
        self.assertEqual(deployment.callers, Address("10.1.0.40", 8005))
        self.assertEqual(deployment.seeds, (Address("10.2.0.37", 8000),))
        self.assertEqual(deployment.bounds.revocation, 4.0)
        self.assertEqual(deployment.bounds.version, 9.7)
        self.assertEqual(deployment.first_port, 7700)

    def test_a_sidecar_has_its_endpoint(self) -> None:
        side = ENTRY | {"serves": ["side"], "listen": {}, "app": "10.1.0.41:8001", "service": "s"}
        deployment = decode_deployment(json.dumps(side).encode())
        self.assertEqual(deployment.role, "sidecar")
        self.assertEqual(deployment.endpoint, Address("10.1.0.41", 8001))
        self.assertEqual(deployment.service, "s")

    def test_a_first_start_is_told_from_others(self) -> None:
        """Guards against restarts that take themselves for the first start of the system."""
        for wire, first in (
            ({}, False),
            ({"bootstrap": False}, False),
            ({"bootstrap": True}, True),
        ):
            deployment = decode_deployment(json.dumps(ENTRY | wire).encode())
            self.assertEqual(deployment.first_start, first)

    def test_an_invalid_file_raises_an_error(self) -> None:
        for content in (b"", b"{}", json.dumps(ENTRY | {"seeds": ["nowhere"]}).encode()):
            with self.assertRaises(CodedError):
                decode_deployment(content)

    def test_the_environment_variable_names_the_file(self) -> None:
        with tempfile.NamedTemporaryFile() as file:
            file.write(json.dumps(ENTRY).encode())
            file.flush()
            os.environ[names.SETTINGS_VARIABLE] = file.name
            try:
                self.assertEqual(read_deployment().name, "front-1")
            finally:
                del os.environ[names.SETTINGS_VARIABLE]
        with self.assertRaises(CodedError):
            read_deployment()
