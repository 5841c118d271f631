"""Checks that the package has no import cycles, so that each module can be read after those that
it imports.

Imports for type checking only count too: they do not run, but a reader of one module of a cycle
has to read all of them.
"""

import ast
import pathlib
import unittest

PACKAGE = pathlib.Path(__file__).parent.parent
# The four modules that handle a request use each other's types: the daemon creates the exchange,
# which calls forwarding, which creates attempts, and each of them refers back to its callers. Each
# import on that cycle is listed as importer and imported module. The list must not grow.
KNOWN_IMPORTS = frozenset(
    (
        ("wasabidrum.gateway.attempt", "wasabidrum.gateway.daemon"),
        ("wasabidrum.gateway.attempt", "wasabidrum.gateway.exchange"),
        ("wasabidrum.gateway.daemon", "wasabidrum.gateway.exchange"),
        ("wasabidrum.gateway.exchange", "wasabidrum.gateway.daemon"),
        ("wasabidrum.gateway.exchange", "wasabidrum.gateway.forwarding"),
        ("wasabidrum.gateway.forwarding", "wasabidrum.gateway.attempt"),
        ("wasabidrum.gateway.forwarding", "wasabidrum.gateway.daemon"),
        ("wasabidrum.gateway.forwarding", "wasabidrum.gateway.exchange"),
    )
)


def name_of(path: pathlib.Path) -> str:
    """Returns the dotted name of a module; for an __init__.py, the name of its package."""
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def base_of(package: str, node: ast.ImportFrom) -> str:
    """Returns the absolute dotted name that follows "from" in an import."""
    if not node.level:
        return node.module or ""
    parents = package.split(".")
    kept = parents[: len(parents) - (node.level - 1)]
    return ".".join(kept + ([node.module] if node.module else []))


def imports_of(package: str, source: str, modules: frozenset[str]) -> set[str]:
    """Returns the modules that a source imports anywhere, including within functions.

    Args:
      package: The package to which the source's relative imports refer.
      modules: The dotted names of all modules to consider.
    """
    imported = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            base = base_of(package, node)
            for alias in node.names:
                # The name may be a module of a package, or a definition in a module.
                name = f"{base}.{alias.name}"
                imported.add(name if name in modules else base)
    return imported & modules


def read_imports() -> dict[str, set[str]]:
    """Returns, for each module of the package, the modules of the package that it imports."""
    paths = {name_of(path): path for path in PACKAGE.rglob("*.py")}
    modules = frozenset(paths)
    imports = {}
    for name, path in paths.items():
        package = name if path.name == "__init__.py" else name.rpartition(".")[0]
        imports[name] = imports_of(package, path.read_text(encoding="utf-8"), modules)
    return imports


def reached_from(start: str, imports: dict[str, set[str]]) -> set[str]:
    """Returns every module that one imports transitively; itself only if it is on a cycle."""
    reached: set[str] = set()
    pending = list(imports[start])
    while pending:
        name = pending.pop()
        if name not in reached:
            reached.add(name)
            pending.extend(imports[name])
    return reached


def imports_on_cycles(imports: dict[str, set[str]]) -> set[tuple[str, str]]:
    """Returns each import on a cycle, as importer and imported module."""
    reached = {name: reached_from(name, imports) for name in imports}
    return {
        (importer, imported)
        for importer, names in imports.items()
        for imported in names
        if importer == imported or importer in reached[imported]
    }


class ImportCyclesTest(unittest.TestCase):
    """No module imports itself transitively, not even for type checking."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.found = imports_on_cycles(read_imports())

    def test_only_listed_imports_are_on_a_cycle(self) -> None:
        """Two modules that import each other, directly or not, can only be read, tested and moved
        together. A Protocol that declares what one needs of the other removes the cycle."""
        self.assertEqual(sorted(self.found - KNOWN_IMPORTS), [])

    def test_every_listed_import_is_still_on_a_cycle(self) -> None:
        """An import that stays on the list after its removal could be added again unnoticed."""
        self.assertEqual(sorted(KNOWN_IMPORTS - self.found), [])


class ImportReadingTest(unittest.TestCase):
    """Which statements count as imports, and which imports form a cycle."""

    def read(self, source: str) -> set[str]:
        """Returns which of four modules a source in the package p.a imports."""
        return imports_of("p.a", source, frozenset(("p", "p.a", "p.a.x", "p.b.y")))

    def test_every_form_of_import_is_found(self) -> None:
        self.assertEqual(self.read("from .x import Thing"), {"p.a.x"})
        self.assertEqual(self.read("from . import x"), {"p.a.x"})
        self.assertEqual(self.read("from ..b.y import Thing"), {"p.b.y"})
        self.assertEqual(self.read("from ..b import y as other"), {"p.b.y"})
        self.assertEqual(self.read("from .. import VERSION"), {"p"})
        self.assertEqual(self.read("import p.b.y"), {"p.b.y"})
        self.assertEqual(self.read("from p.b import y"), {"p.b.y"})
        self.assertEqual(self.read("import asyncio\nfrom json import loads"), set())

    def test_imports_for_types_and_within_functions_count(self) -> None:
        types = "import typing\nif typing.TYPE_CHECKING:\n    from .x import Thing"
        local = "def f():\n    from ..b.y import Thing"
        self.assertEqual(self.read(types), {"p.a.x"})
        self.assertEqual(self.read(local), {"p.b.y"})

    def test_cycles_of_any_length_are_found(self) -> None:
        imports = {"a": {"b"}, "b": {"c"}, "c": {"a", "d"}, "d": set(), "e": {"a"}, "f": {"f"}}
        expected = {("a", "b"), ("b", "c"), ("c", "a"), ("f", "f")}
        self.assertEqual(imports_on_cycles(imports), expected)


if __name__ == "__main__":
    unittest.main()
