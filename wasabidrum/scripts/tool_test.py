"""Tests of the commands that only read files."""

import contextlib
import io
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from ..config.bundle import decode_bundle
from ..config.located_tree import LocatedTree
from ..config.rendering import Rendering
from ..config.sample_files import BASE, OVERLAY, write_files
from ..config.yaml_file import read_yaml
from . import tool
from .command import EXIT_FOUND, EXIT_OK, EXIT_USAGE

PLAIN_TEXT = strategies.text(strategies.characters(exclude_categories=("C", "Z")), max_size=8)
TREES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | PLAIN_TEXT,
    lambda inner: strategies.dictionaries(PLAIN_TEXT, inner, max_size=4),
    max_leaves=12,
)


def run_tool(*arguments: str) -> tuple[int, str]:
    """Runs the tool in this process; returns its exit status and standard output."""
    output = io.TextIOWrapper(io.BytesIO(), write_through=True)
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
        try:
            status = tool.main(list(arguments))
        except SystemExit as ended:
            status = ended.code
    return status, output.buffer.getvalue().decode()


class ToolTest(unittest.TestCase):
    """The commands check, render, diff and bundle on the same files."""

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.base, (self.overlay,) = write_files(self.folder, BASE, rift=OVERLAY)

    def test_exit_statuses(self) -> None:
        self.assertEqual(run_tool("check", self.base, self.overlay)[0], EXIT_OK)
        self.assertEqual(run_tool("check", self.folder + "/none.yaml")[0], EXIT_FOUND)
        self.assertEqual(run_tool("check")[0], EXIT_USAGE)
        self.assertEqual(run_tool("status")[0], EXIT_USAGE)
        self.assertEqual(run_tool("--help")[0], EXIT_OK)
        pathlib.Path(self.base).write_text(BASE + "modles: {}\n", encoding="utf-8")
        status, output = run_tool("check", self.base, self.overlay)
        self.assertEqual(status, EXIT_FOUND)
        expected = f"{self.base}:19:1: KEY-UNKNOWN the file has no key modles; did you mean models?"
        self.assertEqual(output.strip(), expected)
        for command in ("render", "bundle"):
            self.assertEqual(run_tool(command, self.base)[0], EXIT_FOUND)

    def test_render_prints_the_source_of_each_value(self) -> None:
        lines = run_tool("render", self.base, self.overlay, "--sources")[1].splitlines()
        self.assertIn(f"  body_bytes: 2000  # {self.overlay}:1:22", lines)
        self.assertIn(f'    version: "v1"  # {self.base}:4:14', lines)
        bundled = decode_bundle(run_tool("bundle", self.base, self.overlay)[1].encode())
        self.assertEqual(list(bundled.overlays), ["rift"])

    def test_diff_ignores_order_and_comments(self) -> None:
        moved = pathlib.Path(self.folder) / "moved.yaml"
        moved.write_text("# A comment.\n" + BASE, encoding="utf-8")
        self.assertEqual(run_tool("diff", self.base, str(moved)), (EXIT_OK, ""))
        status, output = run_tool("diff", self.base, f"{self.base},{self.overlay}")
        self.assertEqual(status, EXIT_FOUND)
        self.assertIn(f"+ limits.body_bytes: 2000  # {self.overlay}:1:22", output)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.dictionaries(PLAIN_TEXT, TREES, max_size=4))
    def test_a_rendering_is_read_back_as_the_same_values(self, tree: dict[str, object]) -> None:
        """Operators keep a rendering and check it later. If a key such as "no" or "1.10" were
        read back as another type, it would describe a different fleet."""
        lines = Rendering(tree, (LocatedTree("f", tree),)).lines(sources=False)
        text = "\n".join(lines) or "{}"
        read, findings = read_yaml("rendering", text.encode())
        self.assertEqual(findings, [])
        self.assertEqual(read.values, tree)
