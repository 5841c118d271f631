"""Tests of the findings of `wasabidrum check`, and that daemons decide alike."""

import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from ..core.config_value import ConfigValue
from ..core.errors import CodedError
from . import sample_files
from .bundle import encode_bundle, render_site
from .fleet_files import FleetFiles, read_fleet_files
from .sample_files import BASE, KEY_DIGEST, OVERLAY, ROOT_DIGEST

FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=300, database=None)


def check(base: str, **overlays: str) -> FleetFiles:
    """Reads and checks files with the given contents."""
    with tempfile.TemporaryDirectory() as folder:
        base_path, paths = sample_files.write_files(folder, base, **overlays)
        return read_fleet_files(base_path, paths)


def found(base: str, **overlays: str) -> list[tuple[str, int, int, str]]:
    """Returns the file name, line, column and code of each finding."""
    findings = check(base, **overlays).findings
    return [(f.file.rsplit("/", 1)[1], f.line, f.column, f.code) for f in findings]


class FleetFilesTest(unittest.TestCase):
    """All faults are reported in one run, each with its location."""

    def test_valid_files_have_no_findings(self) -> None:
        self.assertEqual(found(BASE, rift=OVERLAY), [])

    def test_one_run_reports_all_findings_with_their_locations(self) -> None:
        """A file has many faults. If each run reported only one, an operator would have to run the
        check a dozen times during an incident."""
        base = BASE.replace("version: v1\n", "verison: v1\n").replace("bytes: 100", "bytes: -1")
        base = base.replace("service: tally}", "service: tally, model: summaries}")
        base = base.replace("models: [summaries]", "models: [summaries, sumaries]")
        base = base.replace(", idempotent: false", "")
        expected = [
            ("fleet.yaml", 3, 3, "KEY-MISSING"),
            ("fleet.yaml", 4, 5, "KEY-UNKNOWN"),
            ("fleet.yaml", 6, 91, "VALUE-RANGE"),
            ("fleet.yaml", 9, 3, "ENDPOINT-PURPOSE"),
            ("fleet.yaml", 13, 9, "CALL-IDEMPOTENCY"),
            ("fleet.yaml", 17, 25, "MODEL-UNKNOWN"),
        ]
        self.assertEqual(found(base), expected)
        messages = [finding.message for finding in check(base).findings]
        self.assertIn("did you mean version?", messages[1])

    def test_contradictions_between_base_and_overlays(self) -> None:
        """The overlays of two sites are each valid alone. Together they put one endpoint in two
        regions, want a version that the origin does not have, and give two workspaces one key:
        callers of one would be admitted as the other."""
        rift = f"""\
models:
  summaries: {{version: v9}}
endpoints:
  worker-2: {{region: rift-a, model: summaries}}
workspaces:
  printers: {{key_digests: [{KEY_DIGEST}]}}
"""
        coast = """\
services: {tally: {calls: []}}
endpoints:
  worker-1: {region: msa-a}
  worker-2: {region: msa-a, model: summaries}
  worker-7: null
limits: {largest_deadline_seconds: 1}
"""
        expected = [
            ("coast.yaml", 1, 1, "OVERLAY-SECTION"),
            ("coast.yaml", 3, 22, "ENDPOINT-TWO-PLACES"),
            ("coast.yaml", 5, 3, "REMOVES-NOTHING"),
            ("coast.yaml", 6, 36, "LIMIT-BELOW-DEFAULT"),
            ("rift.yaml", 2, 24, "VERSION-UNLISTED"),
            ("rift.yaml", 4, 22, "ENDPOINT-TWO-PLACES"),
            ("rift.yaml", 6, 28, "KEY-DIGEST-TWICE"),
        ]
        self.assertEqual(found(BASE, rift=rift, coast=coast), expected)

    def test_an_overlay_that_removes_a_model_in_use(self) -> None:
        """A site's overlay removes a model that its endpoints still serve. The finding is located
        at lines of the base, but must name the overlay, which is the cause."""
        findings = check(BASE, rift="models: {summaries: null}\n").findings
        self.assertEqual({finding.code for finding in findings}, {"MODEL-UNKNOWN"})
        self.assertTrue(all("rift.yaml" in finding.message for finding in findings))

    def test_a_plain_text_key_is_refused_and_not_printed(self) -> None:
        """A file lists a bearer key in place of its digest. Findings appear on screens and in
        logs, so they must not contain the key."""
        findings = check(BASE.replace(KEY_DIGEST, "secret-of-stationers")).findings
        self.assertEqual([finding.code for finding in findings], ["VALUE-FORM"])
        self.assertNotIn("secret-of-stationers", str(findings[0]))

    def test_truncated_or_harmful_text_is_refused(self) -> None:
        """A file is truncated, or its aliases expand to billions of values. If it were accepted,
        the first would give a fleet without its last workspaces, and the second would exhaust the
        memory until the daemon is killed."""
        bomb = "a: &a [x, x, x, x, x, x, x, x, x, x]\n"
        for name, last in zip("bcdefgh", "abcdefg", strict=True):
            bomb += f"{name}: &{name} [{', '.join(['*' + last] * 10)}]\n"
        cases = {
            BASE + "workspaces": "YAML-BROKEN",
            BASE[: BASE.index("{path")] + "{path: /charge, ": "YAML-BROKEN",
            BASE + "workspaces: {}\n": "KEY-TWICE",
            bomb: "TOO-MANY-VALUES",
            "a: &a [*a]\n": "NESTED-TOO-DEEP",
            "[" * 100_000: "YAML-BROKEN",
            "a: !!python/object:os.system x\n": "TAG-UNKNOWN",
            "- 1\n": "NOT-A-MAP",
            "": "NOT-A-MAP",
            "1.10: x\n": "KEY-NOT-TEXT",
            "schema: .inf\n": "NUMBER-NOT-FINITE",
            "#" * 5_000_000: "FILE-TOO-LARGE",
        }
        for text, code in cases.items():
            with self.subTest(code=code, text=text[-30:]):
                findings = check(text).findings
                self.assertIn(code, [finding.code for finding in findings])

    def test_findings_in_a_published_value_have_its_own_lines(self) -> None:
        """All daemons refuse a revision that was not made with the tool. The operator has only
        the published value in which to find the fault."""
        indented = "".join(f"  {line}\n" for line in BASE.splitlines())
        value = f"schema: 1\nbase:\n{indented}overlays:\n  rift: {{limits: {{body_bytes: 0}}}}\n"
        self.assertEqual(found(value), [("fleet.yaml", 22, 31, "VALUE-RANGE")])

    def test_files_that_exceed_the_service_limit(self) -> None:
        """Base and overlays together exceed a megabyte. Without the finding, the service or a
        daemon would refuse the value only later, after publication."""
        versions = [f"v{n}: {{root: {ROOT_DIGEST}, bytes: 1}}" for n in range(13_000)]
        base = BASE.replace("    versions:\n", "    versions:\n      " + "\n      ".join(versions))
        base = base.replace(f"v1: {{root: {ROOT_DIGEST}, bytes: 100}}", "", 1)
        codes = [finding.code for finding in check(base).findings]
        self.assertIn("VALUE-TOO-LARGE", codes)


def corrupt(text: str, draw: strategies.DataObject) -> str:
    """Returns the text with a few ranges replaced, removed or extended."""
    for _ in range(draw.draw(strategies.integers(1, 4))):
        place = draw.draw(strategies.integers(0, len(text)))
        length = draw.draw(strategies.integers(0, 12))
        new = draw.draw(strategies.sampled_from(["", ":", "{", "null", "- ", "\n", "9", "é", "*a"]))
        text = text[:place] + new + text[place + length :]
    return text


class AcceptedAlikeTest(unittest.TestCase):
    """The tool and the daemons accept the same files."""

    @FUZZ
    @hypothesis.given(strategies.data())
    def test_daemons_accept_exactly_what_the_check_accepts(self, draw) -> None:
        """If the check and the daemons disagreed, daemons would refuse a revision that passed the
        check, or accept a faulty one, and the fleet could be split between two revisions."""
        files = check(corrupt(BASE, draw), rift=corrupt(OVERLAY, draw))
        if any(f.code in ("YAML-BROKEN", "NOT-A-MAP", "KEY-TWICE") for f in files.findings):
            return
        value = ConfigValue(1, "digest", encode_bundle(files.bundle))
        try:
            render_site(value, "rift")
            accepted = True
        except CodedError:
            accepted = False
        text_faults = {"KEY-NOT-TEXT", "NUMBER-NOT-FINITE", "TAG-UNKNOWN", "NESTED-TOO-DEEP"}
        if not {finding.code for finding in files.findings} & text_faults:
            self.assertEqual(accepted, not files.findings, files.findings)

    @FUZZ
    @hypothesis.given(strategies.binary(max_size=300), strategies.booleans())
    def test_arbitrary_bytes_are_refused_with_a_code(self, content: bytes, as_map: bool) -> None:
        """A value was written by another program or truncated in transit. A daemon that crashed
        on it would crash again at each start."""
        value = ConfigValue(1, "digest", (b"{" if as_map else b"") + content)
        with self.assertRaises(CodedError):
            render_site(value, "rift")

    def test_a_value_published_as_yaml_is_checked_like_the_files(self) -> None:
        indented = "".join(f"  {line}\n" for line in BASE.splitlines())
        sound = f"schema: 1\nbase:\n{indented}".encode()
        self.assertEqual(render_site(ConfigValue(1, "d", sound), "rift").fleet.schema, 1)
        broken = sound.replace(b"version: v1\n", b"verison: v1\n").replace(
            b"bytes: 100", b"bytes: -1"
        )
        with self.assertRaises(CodedError) as raised:
            render_site(ConfigValue(1, "d", broken), "rift")
        for code in ("KEY-UNKNOWN", "KEY-MISSING", "VALUE-RANGE"):
            self.assertIn(code, str(raised.exception))
