"""Tests of reading a process's settings."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from ..core.finding import Finding
from .sample_files import SETTINGS
from .settings import Settings
from .settings_file import read_settings


def read(content: bytes) -> tuple[Settings | None, list[Finding]]:
    """Reads settings from bytes."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_bytes(content)
        return read_settings(str(path))


class SettingsFileTest(unittest.TestCase):
    """Settings are accepted, or refused with all findings."""

    def test_valid_settings(self) -> None:
        settings, findings = read(SETTINGS.encode())
        self.assertEqual(findings, [])
        self.assertEqual(settings.endpoint.kind, "engine")

    def test_all_findings_have_their_locations(self) -> None:
        """The settings file of a new instance has several faults. An operator has only its log, so
        the first start must report all of them."""
        text = SETTINGS.replace("role: sidecar", "role: sidcar").replace("site: rift-a\n", "")
        text = text.replace("kind: engine", "kind: 7") + "listen: {http_port: 99999, hots: x}\n"
        _, findings = read(text.encode())
        locations = [(finding.line, finding.column, finding.code) for finding in findings]
        self.assertEqual(
            locations,
            [
                (1, 1, "KEY-MISSING"),
                (2, 7, "VALUE-UNKNOWN"),
                (9, 18, "VALUE-UNKNOWN"),
                (10, 21, "VALUE-RANGE"),
                (10, 28, "KEY-UNKNOWN"),
            ],
        )
        self.assertIn("did you mean sidecar?", findings[1].message)

    def test_contradictions(self) -> None:
        text = SETTINGS.replace("role: sidecar", "role: entry").replace("http://127.0.0.1:2", "x")
        self.assertEqual([f.code for f in read(text.encode())[1]], ["ENDPOINT-UNUSED", "URL-FORM"])
        text = SETTINGS[: SETTINGS.index("endpoint:")]
        self.assertEqual([f.code for f in read(text.encode())[1]], ["ENDPOINT-MISSING"])

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300, database=None)
    @hypothesis.given(strategies.integers(0, 300), strategies.binary(max_size=20))
    def test_corrupted_settings_are_accepted_or_refused(self, place: int, patch: bytes) -> None:
        """A corrupted file must lead to findings, not to a traceback."""
        content = SETTINGS.encode()
        settings, findings = read(content[:place] + patch + content[place + len(patch) :])
        self.assertNotEqual(settings is None, not findings)
