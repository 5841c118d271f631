"""Checks that the decisions do not depend on the network, so that they can be tested alone."""

import ast
import pathlib
import unittest

FOLDER = pathlib.Path(__file__).parent
FORBIDDEN = {"asyncio", "tornado", "grpclib", "socket", "ssl", "http", "urllib", "time"}
FORBIDDEN_PACKAGES = {"platform", "endpoints", "peers", "entry", "sidecar", "wire", "observe"}


def imported_names(path: pathlib.Path) -> set[str]:
    """Returns the first component of every name that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
    return names


class PurityTest(unittest.TestCase):
    """No module of this package imports the network, the clock, or a package that does."""

    def test_no_module_imports_the_network_or_the_clock(self) -> None:
        for path in FOLDER.glob("*.py"):
            if path.name.endswith("_test.py"):
                continue
            forbidden = imported_names(path) & (FORBIDDEN | FORBIDDEN_PACKAGES)
            self.assertEqual(forbidden, set(), path.name)
