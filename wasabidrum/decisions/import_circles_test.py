"""Holds the package free of circles of imports, so that each module can be read after those
that it imports.

Imports for the type checker alone count too: they run nothing, but whoever reads one module of
a circle has to read all of them.
"""

import ast
import pathlib
import unittest

PACKAGE = pathlib.Path(__file__).parent.parent
# One request's four modules know each other's types: the daemon makes the exchange, which asks
# forwarding, which makes attempts, and each of them reaches back to those that it serves. Each
# import on the circle is listed by its modules, and the list may only become shorter.
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
    """Returns the dotted name of a module, for an __init__.py that of its package."""
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def base_of(package: str, node: ast.ImportFrom) -> str:
    """Returns the dotted name that follows "from", with the dots of a relative one resolved."""
    if not node.level:
        return node.module or ""
    parents = package.split(".")
    kept = parents[: len(parents) - (node.level - 1)]
    return ".".join(kept + ([node.module] if node.module else []))


def imports_of(package: str, source: str, modules: frozenset[str]) -> set[str]:
    """Returns which modules a source imports, wherever in it the import stands.

    Args:
      package: The package that the source's relative imports start from.
      modules: The dotted names of all modules that count.
    """
    imported = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            base = base_of(package, node)
            for alias in node.names:
                # The name may be a module of a package, or something that a module holds.
                name = f"{base}.{alias.name}"
                imported.add(name if name in modules else base)
    return imported & modules


def read_imports() -> dict[str, set[str]]:
    """Returns what each module of the package imports of it."""
    paths = {name_of(path): path for path in PACKAGE.rglob("*.py")}
    modules = frozenset(paths)
    imports = {}
    for name, path in paths.items():
        package = name if path.name == "__init__.py" else name.rpartition(".")[0]
        imports[name] = imports_of(package, path.read_text(encoding="utf-8"), modules)
    return imports


def reached_from(start: str, imports: dict[str, set[str]]) -> set[str]:
    """Returns every module that reading one leads to, itself only where it is on a circle."""
    reached: set[str] = set()
    waiting = list(imports[start])
    while waiting:
        name = waiting.pop()
        if name not in reached:
            reached.add(name)
            waiting.extend(imports[name])
    return reached


def imports_on_circles(imports: dict[str, set[str]]) -> set[tuple[str, str]]:
    """Returns each import, as importer and imported, whose imported module leads back."""
    reached = {name: reached_from(name, imports) for name in imports}
    return {
        (importer, imported)
        for importer, names in imports.items()
        for imported in names
        if importer == imported or importer in reached[imported]
    }


class ImportCirclesTest(unittest.TestCase):
    """No module leads back to itself, whatever its imports are for."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.found = imports_on_circles(read_imports())

    def test_no_import_is_on_a_circle_but_those_listed(self) -> None:
        """Two modules that import each other, through others or for their types alone, can be
        read, tested and moved only together. A Protocol that names what one needs of the other
        unties them."""
        self.assertEqual(sorted(self.found - KNOWN_IMPORTS), [])

    def test_a_listed_import_that_is_untied_leaves_the_list(self) -> None:
        """Kept on the list, it could come back unnoticed."""
        self.assertEqual(sorted(KNOWN_IMPORTS - self.found), [])


class ImportReadingTest(unittest.TestCase):
    """What counts as an import, and as a circle."""

    def read(self, source: str) -> set[str]:
        """Returns what a source in the package p.a imports of four modules."""
        return imports_of("p.a", source, frozenset(("p", "p.a", "p.a.x", "p.b.y")))

    def test_every_form_is_read(self) -> None:
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
        late = "def f():\n    from ..b.y import Thing"
        self.assertEqual(self.read(types), {"p.a.x"})
        self.assertEqual(self.read(late), {"p.b.y"})

    def test_a_circle_is_found_whatever_its_length(self) -> None:
        imports = {"a": {"b"}, "b": {"c"}, "c": {"a", "d"}, "d": set(), "e": {"a"}, "f": {"f"}}
        expected = {("a", "b"), ("b", "c"), ("c", "a"), ("f", "f")}
        self.assertEqual(imports_on_circles(imports), expected)


if __name__ == "__main__":
    unittest.main()
